//! Wall clock in the unit that all protocols use.

use fl_protocol::UnixMs;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set before
/// it.
pub fn unix_ms() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as UnixMs)
}
