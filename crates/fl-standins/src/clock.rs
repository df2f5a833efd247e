//! Access to the wall clock.

use fl_protocol::UnixMs;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time; a clock before 1970 gives 0.
pub(crate) fn unix_ms() -> UnixMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as UnixMs
}
