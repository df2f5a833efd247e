//! Wall clock in the unit that all protocols use, and a clock that keeps running while the VM is
//! suspended.

use fl_protocol::UnixMs;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set before
/// it.
pub fn unix_ms() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as UnixMs)
}

/// Returns the time since the VM started, including suspensions.
pub fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
