//! Counts of calls that began to run, by window and workspace.

use fl_protocol::{UnixMs, WorkspaceName};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of windows kept. A window is reported long before it is dropped.
const WINDOWS_KEPT: usize = 5;

/// Counts of one window, by workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window's number: it begins this many window lengths after the Unix epoch.
    pub window: u64,
    /// Calls by workspace, sorted by name.
    pub counts: Vec<(WorkspaceName, u64)>,
}

/// Counts of the newest windows, sorted by number.
#[derive(Default)]
pub struct UsageCounts {
    windows: Mutex<Vec<WindowCounts>>,
}

impl UsageCounts {
    /// Counts a call that began to run, in the window of `now_ms`.
    pub fn count(&self, workspace: &str, now_ms: UnixMs, length: Duration) {
        let number = window_number(now_ms, length);
        let mut windows = self.windows.lock();
        let index = windows.binary_search_by_key(&number, |window| window.window);
        let index = index.unwrap_or_else(|index| {
            windows.insert(index, WindowCounts { window: number, counts: Vec::new() });
            index
        });
        add_count(&mut windows[index].counts, workspace, 1);
        let surplus = windows.len().saturating_sub(WINDOWS_KEPT);
        windows.drain(..surplus);
    }

    /// Returns the counts of all windows that are kept.
    pub fn all(&self) -> Vec<WindowCounts> {
        self.windows.lock().clone()
    }
}

/// Returns the number of the window that contains a time.
pub fn window_number(now_ms: UnixMs, length: Duration) -> u64 {
    now_ms / (length.as_millis() as u64).max(1)
}

/// Adds to the count of a name in a list that is sorted by name.
pub fn add_count(counts: &mut Vec<(WorkspaceName, u64)>, name: &str, added: u64) {
    match counts.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
        Ok(index) => counts[index].1 = counts[index].1.saturating_add(added),
        Err(index) => counts.insert(index, (name.to_string(), added)),
    }
}
