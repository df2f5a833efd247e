//! The clock that also counts while the VM is suspended.
//!
//! Ages of beliefs and leases are measured on it: the usual steady clock stands still during a
//! suspension, so that a belief would look fresh that is seconds old.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the VM started, suspensions included.
pub fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
