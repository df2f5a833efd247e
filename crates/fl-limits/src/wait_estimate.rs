//! Estimates how long a call waits for admission, so that a call that would miss its deadline is
//! refused at once.

use std::time::Duration;

/// Weight of the latest call in the moving average of running times.
const MEAN_WEIGHT: f64 = 0.05;
/// Share of the deadline that a call may wait for admission. Estimates are uncertain, and a call
/// that is admitted too late uses capacity in vain.
const MAX_WAIT_SHARE: f64 = 0.7;
/// Shortest estimate from which a correction is learned. Shorter ones say little about the error.
const MIN_LEARNED_ESTIMATE: Duration = Duration::from_millis(50);
/// Weight of the latest wait in the moving average of the correction factor.
const FACTOR_WEIGHT: f64 = 0.05;
/// Largest ratio of an actual to an estimated wait that is learned.
const MAX_FACTOR: f64 = 10.0;
const MS_PER_S: f64 = 1_000.0;

/// Estimates the wait for admission from the mean running time of calls.
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
    /// Records the time from a call's admission to its end.
    pub fn record_running_time(&mut self, running_time: Duration) {
        let running_ms = running_time.as_secs_f64() * MS_PER_S;
        self.mean_running_ms += (running_ms - self.mean_running_ms) * MEAN_WEIGHT;
    }

    /// Estimates the wait of a call with `calls_ahead` calls before it in the queue, under a
    /// concurrency limit.
    pub fn estimate(&self, calls_ahead: usize, concurrency_limit: f64) -> Duration {
        let admission_interval_ms = self.mean_running_ms / concurrency_limit.max(1.0);
        Duration::from_secs_f64(admission_interval_ms * (calls_ahead + 1) as f64 / MS_PER_S)
    }
}

/// Corrects the estimated waits of one workspace by a factor learned from its actual waits.
///
/// Calls of other workspaces that arrive later may be admitted earlier. The estimate does not know
/// of them, so the factor only lengthens it.
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
    /// Records an uncorrected estimate and the actual wait.
    pub fn observe(&mut self, estimated: Duration, waited: Duration) {
        if estimated < MIN_LEARNED_ESTIMATE {
            return;
        }
        let ratio = waited.as_secs_f64() / estimated.as_secs_f64();
        let bounded = ratio.clamp(1.0, MAX_FACTOR);
        self.factor += (bounded - self.factor) * FACTOR_WEIGHT;
    }

    /// Returns the corrected estimate.
    pub fn apply(&self, estimated: Duration) -> Duration {
        estimated.mul_f64(self.factor)
    }
}

/// Returns the time after which to retry if the estimated wait uses up too much of the deadline, or
/// `None` if the call can be in time.
pub fn retry_after_if_late(wait: Duration, deadline: Duration) -> Option<Duration> {
    let max_wait = deadline.mul_f64(MAX_WAIT_SHARE);
    (wait > max_wait).then(|| wait - max_wait)
}
