//! Exponential backoff with full jitter.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Doublings after which the delay no longer grows, whatever its limit.
const DOUBLINGS_LIMIT: u32 = 16;

/// Draws the delay before a retry; `tries` counts those made before, from 0.
///
/// The delay lies between zero and `first` doubled `tries` times, at most `limit`, so that callers
/// that failed together do not come back together.
pub fn backoff_delay(
    tries: u32,
    first: Duration,
    limit: Duration,
    random: &mut impl Rng,
) -> Duration {
    let longest = first.saturating_mul(1 << tries.min(DOUBLINGS_LIMIT)).min(limit);
    longest.mul_f64(random.random::<f64>())
}
