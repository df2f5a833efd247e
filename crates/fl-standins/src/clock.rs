//! The wall clock.

use fl_protocol::UnixMs;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the wall clock.
pub(crate) fn unix_ms() -> UnixMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as UnixMs
}
