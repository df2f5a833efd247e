//! Tests the demand meter under steady, varying and missing demand, and at a new holder of the
//! lease.

use fl_fleet::demand::DemandMeter;
use std::time::Duration;

/// Converts work per second to busy servers that each do 100 units per second.
fn busy(work_per_s: f64) -> f64 {
    work_per_s / 100.0
}

/// A demand meter that records a total every second.
#[derive(Default)]
struct MeterInput {
    meter: DemandMeter,
    now: Duration,
    total: u64,
}

impl MeterInput {
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
    let mut input = MeterInput::default();
    input.feed(&[500; 10]);
    assert!((input.needed() - 5.0).abs() < 0.01, "{}", input.needed());
}

#[test]
fn short_dip_keeps_peak() {
    let mut input = MeterInput::default();
    input.feed(&[[500; 8], [100; 8]].concat());
    assert!(input.needed() > 4.9, "{}", input.needed());
}

/// A dip that is shorter than the boot time of a server must not remove on-demand servers, because
/// replacements would come too late.
#[test]
fn short_dip_keeps_recent_peak() {
    let mut input = MeterInput::default();
    input.feed(&[[500; 8], [100; 8]].concat());
    let boot = Duration::from_secs(8);
    let needed = input.meter.recent_peak(input.now, boot);
    assert!((needed - 5.0).abs() < 0.01, "{needed}");
}

#[test]
fn drop_lowers_recent_peak() {
    let mut input = MeterInput::default();
    input.feed(&[[500; 8], [100; 8]].concat());
    let needed = input.meter.recent_peak(input.now, Duration::ZERO);
    assert!((needed - 1.0).abs() < 0.01, "{needed}");
}

#[test]
fn long_drop_lowers_peak() {
    let mut input = MeterInput::default();
    input.feed(&[[500; 8].to_vec(), [100; 40].to_vec()].concat());
    assert!((input.needed() - 1.0).abs() < 0.01, "{}", input.needed());
}

#[test]
fn new_holder_keeps_estimate() {
    let mut input = MeterInput::default();
    input.meter.assume_at_least(9.0);
    input.feed(&[100; 10]);
    assert!(input.needed() >= 9.0);
    assert!(!input.meter.has_enough_history(input.now));
    input.feed(&[100; 30]);
    assert!(input.meter.has_enough_history(input.now));
    assert!(input.needed() < 2.0, "{}", input.needed());
}

#[test]
fn no_demand_keeps_estimate() {
    let mut input = MeterInput::default();
    input.meter.assume_at_least(4.0);
    input.feed(&[0; 60]);
    assert!(input.needed() >= 4.0);
}
