//! Estimates how long a call waits at the door, and refuses at once what cannot be in time.

use std::time::Duration;

/// Weight of the newest call in the mean time between turns.
const MEAN_WEIGHT: f64 = 0.05;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// The pace at which turns come up.
#[derive(Debug, Clone, PartialEq)]
pub struct Pace {
    mean_running_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { mean_running_ms: MS_PER_S }
    }
}

impl Pace {
    /// Takes word of how long a call held its place.
    pub fn ended(&mut self, held: Duration) {
        let held_ms = held.as_secs_f64() * MS_PER_S;
        self.mean_running_ms += (held_ms - self.mean_running_ms) * MEAN_WEIGHT;
    }

    /// Estimates the wait of a call with `ahead` calls before it, when `places` run at a time.
    pub fn wait(&self, ahead: usize, places: f64) -> Duration {
        let between_ms = self.mean_running_ms / places.max(1.0);
        Duration::from_secs_f64(between_ms * (ahead + 1) as f64 / MS_PER_S)
    }
}

/// Says when to come back if the estimated wait goes beyond the deadline.
pub fn refusal(wait: Duration, deadline: Duration) -> Option<Duration> {
    (wait > deadline).then(|| wait - deadline)
}
