//! The wall clock, in the one unit the protocols use.

use fl_protocol::UnixMs;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the wall clock in milliseconds since the Unix epoch; 0 for a clock set before it.
pub fn unix_ms() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as UnixMs)
}
