//! Calls that began to run, counted by window and workspace.

use fl_protocol::{UnixMs, WorkspaceName};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Windows that are kept; a window is reported long before it leaves.
const WINDOWS_KEPT: usize = 5;

/// Counts of one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window's number: it begins that many window lengths after the start of 1970.
    pub window: u64,
    /// Calls by workspace, sorted by name.
    pub counts: Vec<(WorkspaceName, u64)>,
}

/// Counts of the newest windows, sorted by window.
#[derive(Default)]
pub struct UsageCounts {
    windows: Mutex<Vec<WindowCounts>>,
}

impl UsageCounts {
    /// Counts a call that began to run.
    pub fn count(&self, workspace: &str, now_ms: UnixMs, length: Duration) {
        let number = window_number(now_ms, length);
        let mut windows = self.windows.lock();
        let place = windows.binary_search_by_key(&number, |window| window.window);
        let place = place.unwrap_or_else(|place| {
            windows.insert(place, WindowCounts { window: number, counts: Vec::new() });
            place
        });
        add_count(&mut windows[place].counts, workspace, 1);
        let surplus = windows.len().saturating_sub(WINDOWS_KEPT);
        windows.drain(..surplus);
    }

    /// All counts that are kept.
    pub fn all(&self) -> Vec<WindowCounts> {
        self.windows.lock().clone()
    }
}

/// The window of a time.
pub fn window_number(now_ms: UnixMs, length: Duration) -> u64 {
    now_ms / (length.as_millis() as u64).max(1)
}

/// Adds to the count of a name in a list that is sorted by name.
pub fn add_count(counts: &mut Vec<(WorkspaceName, u64)>, name: &str, added: u64) {
    match counts.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
        Ok(place) => counts[place].1 += added,
        Err(place) => counts.insert(place, (name.to_string(), added)),
    }
}
