//! Exponential backoff with full jitter.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Number of doublings after which the delay no longer grows, whatever its limit.
const MAX_DOUBLINGS: u32 = 16;

/// Returns a random delay before a retry. `retries` is the number of earlier retries, from 0.
///
/// The delay is between zero and `first` doubled `retries` times, and at most `limit`. The jitter
/// keeps callers that failed at the same time from retrying at the same time.
pub fn backoff_delay(
    retries: u32,
    first: Duration,
    limit: Duration,
    random: &mut impl Rng,
) -> Duration {
    let max_delay = first.saturating_mul(1 << retries.min(MAX_DOUBLINGS)).min(limit);
    max_delay.mul_f64(random.random::<f64>())
}
