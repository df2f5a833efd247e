//! The measured demand: waves, a young demand, a new holder.

use fl_fleet::demand::DemandMeter;
use std::time::Duration;

/// Servers read 100 units a second each.
fn busy(work_per_s: f64) -> f64 {
    work_per_s / 100.0
}

/// A meter that is fed by the second.
#[derive(Default)]
struct Fed {
    meter: DemandMeter,
    now: Duration,
    total: u64,
}

impl Fed {
    fn feed(&mut self, work_by_second: &[u64]) {
        for work in work_by_second {
            self.total += work;
            self.meter.record_total(self.now, self.total, busy);
            self.now += Duration::from_secs(1);
        }
    }

    fn needed(&self) -> f64 {
        self.meter.peak()
    }
}

#[test]
fn steady_demand() {
    let mut fed = Fed::default();
    fed.feed(&[500; 10]);
    assert!((fed.needed() - 5.0).abs() < 0.01, "{}", fed.needed());
}

#[test]
fn trough_orders_nothing_away() {
    let mut fed = Fed::default();
    fed.feed(&[[500; 8], [100; 8]].concat());
    assert!(fed.needed() > 4.9, "{}", fed.needed());
}

/// A wave whose trough is shorter than a server takes to come: lasting servers stay.
#[test]
fn short_trough_keeps_servers() {
    let mut fed = Fed::default();
    fed.feed(&[[500; 8], [100; 8]].concat());
    let boot = Duration::from_secs(8);
    let needed = fed.meter.recent_peak(fed.now, boot);
    assert!((needed - 5.0).abs() < 0.01, "{needed}");
}

#[test]
fn fall_is_followed_after_a_boot_time() {
    let mut fed = Fed::default();
    fed.feed(&[[500; 8], [100; 8]].concat());
    let needed = fed.meter.recent_peak(fed.now, Duration::ZERO);
    assert!((needed - 1.0).abs() < 0.01, "{needed}");
}

#[test]
fn lasting_fall_is_followed() {
    let mut fed = Fed::default();
    fed.feed(&[[500; 8].to_vec(), [100; 40].to_vec()].concat());
    assert!((fed.needed() - 1.0).abs() < 0.01, "{}", fed.needed());
}

#[test]
fn new_holder_keeps_what_is_there() {
    let mut fed = Fed::default();
    fed.meter.assume_at_least(9.0);
    fed.feed(&[100; 10]);
    assert!(fed.needed() >= 9.0);
    assert!(!fed.meter.has_enough_history(fed.now));
    fed.feed(&[100; 30]);
    assert!(fed.meter.has_enough_history(fed.now));
    assert!(fed.needed() < 2.0, "{}", fed.needed());
}

#[test]
fn no_demand_yet() {
    let mut fed = Fed::default();
    fed.meter.assume_at_least(4.0);
    fed.feed(&[0; 60]);
    assert!(fed.needed() >= 4.0);
}
