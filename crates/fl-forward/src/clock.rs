//! A clock that keeps running while the VM is suspended.
//!
//! The ages of leases and of state read from the store or from peers are measured on it. The usual
//! monotonic clock stops during a suspension, so state that is seconds old would look fresh.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Returns the time since the VM started, including suspensions.
pub fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
