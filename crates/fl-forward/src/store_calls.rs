//! Counts this node's calls to the platform's store, by purpose.

use crate::clock::boot_time;
use parking_lot::Mutex;
use std::time::Duration;

/// Time over which the calls of one purpose are summed in one log line.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// The calls that no log line has reported yet, sorted by purpose.
#[derive(Debug, Default)]
pub struct StoreCalls {
    unreported: Mutex<Vec<PurposeCalls>>,
}

/// The calls for one purpose since a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PurposeCalls {
    /// What the calls were for.
    pub purpose: &'static str,
    /// Number of calls, including those that failed.
    pub calls: u64,
    /// Number of calls that failed.
    pub failed: u64,
    /// Boot time of the first of them.
    pub since: Duration,
}

impl StoreCalls {
    /// Counts a call. Returns the calls for its purpose once they are due to be reported.
    pub fn count(&self, purpose: &'static str, is_ok: bool) -> Option<PurposeCalls> {
        let now = boot_time();
        let mut unreported = self.unreported.lock();
        let index = match unreported.binary_search_by(|known| known.purpose.cmp(purpose)) {
            Ok(index) => index,
            Err(index) => {
                unreported.insert(index, PurposeCalls { purpose, calls: 0, failed: 0, since: now });
                index
            }
        };
        let known = &mut unreported[index];
        known.calls += 1;
        known.failed += u64::from(!is_ok);
        (now.saturating_sub(known.since) >= LINE_INTERVAL).then(|| unreported.remove(index))
    }
}
