//! How many places a node has while others leave theirs idle.

use fl_protocol::UnixMs;

/// Times its share that a node uses at most.
const LIMIT_SHARES: f64 = 4.0;
/// Part of what reports show as idle that one node takes, since others take some as well.
const TAKEN_PART: f64 = 0.5;
/// Samples of running calls that are kept; reports lag less than they reach back.
const SAMPLES: usize = 64;

/// What the reports of all runners together show.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdleCapacity {
    /// When the oldest report was true.
    pub as_of_ms: UnixMs,
    /// Streams that the runners take beyond those they had.
    pub streams: f64,
}

/// Remembers what ran at this node, to compare it with reports that come later.
#[derive(Debug, Clone, Default)]
pub struct CapacityBorrowing {
    /// Running calls, by time.
    running: Vec<(UnixMs, usize)>,
}

impl CapacityBorrowing {
    /// Takes a sample of the calls that run at this node.
    pub fn record_running(&mut self, running: usize, now_ms: UnixMs) {
        self.running.push((now_ms, running));
        let surplus = self.running.len().saturating_sub(SAMPLES);
        self.running.drain(..surplus);
    }

    /// The places of a node with a share: at least that, and more while others leave theirs idle.
    ///
    /// What a lagged report shows as idle is added to what ran here when it was true, since what
    /// was let through since then uses it up.
    pub fn concurrency_limit(&self, share: f64, idle: Option<IdleCapacity>) -> f64 {
        let Some(idle) = idle else {
            return share;
        };
        let with_idle = self.ran_at(idle.as_of_ms) + idle.streams.max(0.0) * TAKEN_PART;
        share.max(with_idle.min(share * LIMIT_SHARES))
    }

    /// What ran here at a time, from the first sample at or after it.
    fn ran_at(&self, at_ms: UnixMs) -> f64 {
        let index = self.running.partition_point(|(time_ms, _)| *time_ms < at_ms);
        let sample = self.running.get(index).or(self.running.last());
        sample.map_or(0.0, |(_, running)| *running as f64)
    }
}
