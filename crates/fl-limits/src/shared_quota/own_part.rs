//! The part of a quota that one node may take before the others hear of it.

use super::SharedQuota;
use std::time::Duration;

/// An urgent round of reports takes this share of the usual interval.
const URGENT_ROUND_SHARE: f64 = 1.0 / 6.0;
/// How much more than its part of a scarce quota a node may take in one round. Most nodes take less
/// in so short a time, since calls are few and large.
const ROUND_PARTS: f64 = 3.0;
/// A node keeps to its part when fewer units are left than the quota gains in so many intervals of
/// reports, which are a few urgent rounds.
const SCARCE_INTERVALS: f64 = 0.5;
/// A quota is scarce when fewer units are left than it gains in this time.
const SCARCE_TIME: Duration = Duration::from_millis(1000);

/// Units that a node has taken until the last two marks, which are an urgent round apart.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoundMarks {
    last: f64,
    before: f64,
    marked_at: Duration,
}

impl RoundMarks {
    pub(super) fn new(now: Duration) -> Self {
        RoundMarks { last: 0.0, before: 0.0, marked_at: now }
    }

    /// Sets a mark if the last one is an urgent round old. `interval` is that of usual rounds.
    pub(super) fn observe(&mut self, taken: f64, interval: Duration, now: Duration) {
        if now.saturating_sub(self.marked_at) >= interval.mul_f64(URGENT_ROUND_SHARE) {
            *self = RoundMarks { last: taken, before: self.last, marked_at: now };
        }
    }
}

impl SharedQuota {
    /// Returns whether so few units are left that nodes must report to each other at once. Each
    /// node would otherwise grant the same remaining units.
    pub fn is_scarce(&mut self, now: Duration) -> bool {
        self.refill(now);
        let available = self.level - self.estimate_unreported(now) + self.limit.tolerance;
        let scarce_time = SCARCE_TIME.max(self.sharing.interval);
        available < self.limit.rate_per_s * scarce_time.as_secs_f64()
    }

    /// Returns the units that have to become available before a request can be granted; at most 0
    /// if it can be granted now.
    pub(super) fn shortfall(&self, needed: f64, free: f64, now: Duration) -> f64 {
        let needed_here = needed * (1.0 - self.sharing.phase);
        let is_whole = self.unheard_nodes(now) == 0;
        let shortfall = if is_whole { needed - free } else { needed_here - free };
        // While more is left, urgent reports arrive before it is used up.
        let reported_after = self.sharing.interval.mul_f64(SCARCE_INTERVALS).min(SCARCE_TIME);
        if free >= self.limit.rate_per_s * reported_after.as_secs_f64() {
            return shortfall;
        }
        shortfall.max(self.shortfall_in_round(needed_here, free, now))
    }

    /// Returns the shortfall within this node's part of a scarce quota, of which it takes no more until
    /// the others have heard of it.
    fn shortfall_in_round(&self, needed: f64, free: f64, now: Duration) -> f64 {
        let taken = self.taken - self.round_marks.before;
        let part = (ROUND_PARTS * self.own_share(now)).min(1.0);
        (taken + needed) / part - (free + taken)
    }

    /// Returns this node's share of what the heard nodes take, or an equal one if that is more.
    fn own_share(&self, now: Duration) -> f64 {
        let heard_nodes = self.fleet_size() - self.unheard_nodes(now);
        let equal_share = 1.0 / heard_nodes.max(1) as f64;
        let total_per_s = self.total_usual_per_s().max(f64::MIN_POSITIVE);
        (self.rate.usual_per_s / total_per_s).max(equal_share)
    }
}
