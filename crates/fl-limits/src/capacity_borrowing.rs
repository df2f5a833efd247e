//! Lets a node exceed its share of the runners' capacity while other nodes leave theirs idle.

use fl_protocol::UnixMs;

/// Maximum concurrency limit of a node, as a multiple of its share.
const MAX_SHARES: f64 = 4.0;
/// Fraction of the reported idle capacity that one node borrows, since other nodes borrow as well.
const BORROWED_FRACTION: f64 = 0.5;
/// Number of samples of running calls that are kept. They reach back further than load reports lag.
const MAX_SAMPLES: usize = 64;

/// The idle capacity that the load reports of all runners show together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdleCapacity {
    /// Time of the oldest report.
    pub as_of_ms: UnixMs,
    /// Number of streams that the runners can take in addition to those they had. Negative if the
    /// runners had more streams than they can take without queueing.
    pub streams: f64,
}

/// The recent history of this node's running calls, to combine with load reports that arrive later.
#[derive(Debug, Clone, Default)]
pub struct CapacityBorrowing {
    /// Number of running calls at each sampled time, ordered by time.
    samples: Vec<(UnixMs, usize)>,
}

impl CapacityBorrowing {
    /// Records the number of calls that run on this node.
    pub fn record_running(&mut self, running: usize, now_ms: UnixMs) {
        self.samples.push((now_ms, running));
        let excess = self.samples.len().saturating_sub(MAX_SAMPLES);
        self.samples.drain(..excess);
    }

    /// Returns the concurrency limit of this node: at least its share, and more while other nodes
    /// leave theirs idle.
    ///
    /// Idle capacity from a lagging report is added to the number of calls that ran here at the
    /// time of the report, since the calls admitted since then already use that capacity.
    pub fn concurrency_limit(&self, share: f64, idle: Option<IdleCapacity>) -> f64 {
        let Some(idle) = idle else {
            return share;
        };
        let with_borrowed =
            self.running_at(idle.as_of_ms) + idle.streams.max(0.0) * BORROWED_FRACTION;
        share.max(with_borrowed.min(share * MAX_SHARES))
    }

    /// Returns the number of calls that ran at a time, from the first sample at or after it.
    fn running_at(&self, at_ms: UnixMs) -> f64 {
        let index = self.samples.partition_point(|(time_ms, _)| *time_ms < at_ms);
        let sample = self.samples.get(index).or(self.samples.last());
        sample.map_or(0.0, |(_, running)| *running as f64)
    }
}
