//! What the nodes take from a quota: their rates, and what silent ones may have taken.

use std::time::Duration;

/// Time over which a recent consumption rate is averaged, and for which a peer is assumed to
/// continue at it after its latest report.
pub(super) const RECENT_RATE_WINDOW: Duration = Duration::from_millis(1500);
/// Time over which a usual consumption rate is averaged, at which a peer that stays silent is
/// assumed to continue.
const USUAL_RATE_WINDOW: Duration = Duration::from_secs(8);

/// The rate at which a node takes units, in units per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ConsumptionRate {
    pub(super) recent_per_s: f64,
    pub(super) usual_per_s: f64,
    observed_for: Duration,
}

impl ConsumptionRate {
    pub(super) fn observe(&mut self, units: f64, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64().max(0.001);
        let share = (elapsed_s / RECENT_RATE_WINDOW.as_secs_f64()).min(1.0);
        self.recent_per_s += (units / elapsed_s - self.recent_per_s) * share;
        // The usual rate is the plain mean until it has been observed for its whole window.
        self.observed_for = (self.observed_for + elapsed).min(USUAL_RATE_WINDOW);
        let share = (elapsed_s / self.observed_for.as_secs_f64().max(0.001)).min(1.0);
        self.usual_per_s += (units / elapsed_s - self.usual_per_s) * share;
    }
}

/// A peer's consumption of a quota as of its latest report.
#[derive(Debug, Clone)]
pub(super) struct PeerConsumption {
    pub(super) peer: u64,
    pub(super) taken: f64,
    pub(super) rate: ConsumptionRate,
    pub(super) reported_at: Duration,
    /// Units that this node had taken at that time.
    pub(super) own_taken: f64,
    /// Units that were available at that time.
    pub(super) available: f64,
}

impl PeerConsumption {
    pub(super) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.reported_at)
    }

    /// Estimates what the peer has taken since its latest report: at its recent rate at first, then
    /// at its usual rate. `allowed_share` limits the latter.
    pub(super) fn estimate_unreported(&self, allowed_share: f64, now: Duration) -> f64 {
        let silence = self.silence(now);
        let at_recent_rate = silence.min(RECENT_RATE_WINDOW);
        let at_usual_rate = silence - at_recent_rate;
        self.rate.recent_per_s * at_recent_rate.as_secs_f64()
            + self.rate.usual_per_s * allowed_share * at_usual_rate.as_secs_f64()
    }
}
