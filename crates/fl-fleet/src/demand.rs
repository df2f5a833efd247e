//! How many servers the demand of a service keeps busy, measured from a running total of work.
//!
//! Every node measures, so that whoever becomes the holder of the fleet's duty knows. Until a node
//! has measured for a while, what is there counts as needed: a new holder must not order away what
//! another ordered for good reasons.

use std::time::Duration;

/// Time over which the work is averaged.
const SPAN: Duration = Duration::from_millis(4000);
/// How long the highest need stays the measure, so that a wave's trough orders nothing away.
const MEMORY: Duration = Duration::from_secs(20);

/// Time of measuring after which servers may be ordered away.
const SETTLED: Duration = Duration::from_secs(10);

/// The demand of one service.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    /// Totals of work, with their times.
    totals: Vec<(Duration, u64)>,
    /// Measured needs, with their times.
    needs: Vec<(Duration, f64)>,
    /// The highest need that what is there suggests.
    initial_estimate: f64,
    began_at: Option<Duration>,
}

impl DemandMeter {
    /// Takes the total of work so far; `busy` gives the servers that an amount of work a second
    /// keeps busy.
    pub fn record_total(&mut self, now: Duration, total: u64, busy: impl Fn(f64) -> f64) {
        self.totals.push((now, total));
        let span_start = now.saturating_sub(SPAN);
        let old = self.totals.iter().take_while(|(at, _)| *at < span_start).count();
        self.totals.drain(..old.saturating_sub(1));
        let Some((from, first)) = self.totals.first().copied() else { return };
        let elapsed = now.saturating_sub(from);
        if total == first || elapsed < SPAN {
            return;
        }
        let began_at = *self.began_at.get_or_insert(now);
        let work_per_s = total.saturating_sub(first) as f64 / elapsed.as_secs_f64();
        self.needs.push((now, busy(work_per_s)));
        self.needs.retain(|(at, _)| now.saturating_sub(*at) < MEMORY);
        if now.saturating_sub(began_at) >= MEMORY {
            self.initial_estimate = 0.0;
        }
    }

    /// Takes the need that servers suggest which others ordered; it holds while the demand is
    /// young.
    pub fn assume_at_least(&mut self, need: f64) {
        self.initial_estimate = self.initial_estimate.max(need);
    }

    /// Says whether the demand was measured long enough to order servers away.
    pub fn has_enough_history(&self, now: Duration) -> bool {
        self.began_at.is_some_and(|began_at| now.saturating_sub(began_at) >= SETTLED)
    }

    /// Servers that the demand of the last while keeps busy at its highest.
    pub fn peak(&self) -> f64 {
        self.needs.iter().map(|(_, need)| *need).fold(self.initial_estimate, f64::max)
    }

    /// Servers that the demand has kept busy at its highest since a server that is ordered now
    /// would have had to be ordered: what comes and goes faster cannot be followed.
    pub fn recent_peak(&self, now: Duration, boot: Duration) -> f64 {
        let since = now.saturating_sub(boot + SPAN);
        let recent = self.needs.iter().filter(|(at, _)| *at >= since);
        recent.map(|(_, need)| *need).fold(self.initial_estimate, f64::max)
    }
}
