//! The time between the events of one stream.

use std::time::Duration;

/// Intervals that are measured together. A node with a part of a core reads events in bunches, so
/// single intervals say little.
const GROUP: u32 = 7;
/// Most groups of a stream that are measured, to bound the memory.
const GROUPS_MAX: usize = 32;
/// The slowest groups, one in this many, are left out: the server or the node was stopped meanwhile.
const SLOWEST_DIVISOR: usize = 4;

/// Measures the time between the events of a stream, without the time to the first one.
#[derive(Debug, Clone, Default)]
pub struct StreamInterval {
    last_at: Option<Duration>,
    count: u32,
    sum: Duration,
    groups: Vec<Duration>,
}

impl StreamInterval {
    /// Records that an event arrived.
    pub fn record(&mut self, at: Duration) {
        let last_at = self.last_at.replace(at);
        let Some(last_at) = last_at.filter(|_| self.groups.len() < GROUPS_MAX) else { return };
        self.sum += at.saturating_sub(last_at);
        self.count += 1;
        if self.count == GROUP {
            self.groups.push(std::mem::take(&mut self.sum));
            self.count = 0;
        }
    }

    /// Returns the mean time between two events, `None` if the stream had too few.
    pub fn mean(&self) -> Option<Duration> {
        let mut groups = self.groups.clone();
        groups.sort_unstable();
        groups.truncate(groups.len() - groups.len() / SLOWEST_DIVISOR);
        let intervals = u32::try_from(groups.len()).ok()? * GROUP;
        groups.iter().sum::<Duration>().checked_div(intervals)
    }
}
