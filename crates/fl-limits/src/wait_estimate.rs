//! Estimates how long a call waits at the door, and refuses at once what cannot be in time.

use std::time::Duration;

/// Weight of the newest call in the mean time between turns.
const MEAN_WEIGHT: f64 = 0.05;
/// Share of a deadline that may be spent at the door; estimates are uncertain and a call that was
/// let in too late has used a place for nothing.
const USABLE_SHARE: f64 = 0.7;
/// Estimates below this say little about the error.
const SHORTEST_LEARNED: Duration = Duration::from_millis(50);
/// Weight of the newest wait in a correction.
const FACTOR_WEIGHT: f64 = 0.05;
/// The largest correction.
const LARGEST_FACTOR: f64 = 10.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// The pace at which turns come up.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitEstimator {
    mean_running_ms: f64,
}

impl Default for WaitEstimator {
    fn default() -> Self {
        WaitEstimator { mean_running_ms: MS_PER_S }
    }
}

impl WaitEstimator {
    /// Takes word of how long a call held its place.
    pub fn record_held(&mut self, held: Duration) {
        let held_ms = held.as_secs_f64() * MS_PER_S;
        self.mean_running_ms += (held_ms - self.mean_running_ms) * MEAN_WEIGHT;
    }

    /// Estimates the wait of a call with `ahead` calls before it, when `places` run at a time.
    pub fn estimate(&self, ahead: usize, places: f64) -> Duration {
        let between_ms = self.mean_running_ms / places.max(1.0);
        Duration::from_secs_f64(between_ms * (ahead + 1) as f64 / MS_PER_S)
    }
}

/// Learns by how much the waits of one workspace are underestimated.
///
/// Calls of others that come later may go first, which the queue cannot know beforehand.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitCorrection {
    factor: f64,
}

impl Default for WaitCorrection {
    fn default() -> Self {
        WaitCorrection { factor: 1.0 }
    }
}

impl WaitCorrection {
    /// Takes what was estimated before correction and what the wait came to.
    pub fn observe(&mut self, estimated: Duration, waited: Duration) {
        if estimated < SHORTEST_LEARNED {
            return;
        }
        let ratio = waited.as_secs_f64() / estimated.as_secs_f64();
        let bounded = ratio.clamp(1.0, LARGEST_FACTOR);
        self.factor += (bounded - self.factor) * FACTOR_WEIGHT;
    }

    /// Corrects an estimate.
    pub fn apply(&self, estimated: Duration) -> Duration {
        estimated.mul_f64(self.factor)
    }
}

/// Says when to come back if the estimated wait would use up too much of the deadline.
pub fn retry_after_if_late(wait: Duration, deadline: Duration) -> Option<Duration> {
    let usable = deadline.mul_f64(USABLE_SHARE);
    (wait > usable).then(|| wait - usable)
}
