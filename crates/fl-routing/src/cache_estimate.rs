//! Estimates which blocks the prefix caches of runners hold.
//!
//! Cache events arrive late and some are lost. The estimate therefore also includes the blocks of
//! requests that this node sent, and takes a block as evidence that the runner holds all blocks
//! before it in a prompt. See `docs/design/050-routing.md`.

use fl_protocol::engine::{CacheChange, CacheEvent};
use fl_protocol::{BlockHash, VmName};

/// Factor by which each lost event reduces the confidence.
const CONFIDENCE_FACTOR_PER_LOST_EVENT: f64 = 0.995;
/// Share of the missing confidence that each event without a gap before it restores.
const CONFIDENCE_RESTORED_PER_EVENT: f64 = 0.002;
/// Lower bound of the confidence. Engines evict few blocks compared with the number they hold.
const MIN_CONFIDENCE: f64 = 0.5;
/// Maximum number of blocks in the estimate of one runner. An estimate that would exceed it is
/// cleared and rebuilt from events.
const MAX_BLOCKS: usize = 65_536;

/// The estimated content of one runner's prefix cache.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheEstimate {
    /// Hashes of the blocks, sorted.
    blocks: Vec<BlockHash>,
    last_sequence: u64,
    confidence: f64,
    lost_events: u64,
    resync_needed: bool,
}

impl Default for CacheEstimate {
    fn default() -> Self {
        CacheEstimate {
            blocks: Vec::new(),
            last_sequence: 0,
            confidence: 1.0,
            lost_events: 0,
            resync_needed: false,
        }
    }
}

impl CacheEstimate {
    /// Applies events, which may be in any order.
    ///
    /// Events at or below the last sequence number were applied before and are dropped.
    pub fn apply_events(&mut self, mut events: Vec<CacheEvent>) {
        events.sort_by_key(|event| event.sequence);
        for event in events {
            if event.sequence > self.last_sequence {
                self.record_gap(event.sequence - self.last_sequence - 1);
                self.last_sequence = event.sequence;
                self.apply(event.change, event.block);
            }
        }
    }

    /// Applies all events that the engine still has, after some were lost.
    pub fn resync(&mut self, events: Vec<CacheEvent>) {
        let lost_events = self.lost_events;
        let first = events.iter().map(|event| event.sequence).min().unwrap_or(1);
        self.last_sequence = first.saturating_sub(1);
        self.apply_events(events);
        self.lost_events = lost_events;
        self.resync_needed = false;
    }

    /// Clears the estimate after a restart of the engine.
    pub fn reset(&mut self) {
        *self = CacheEstimate::default();
    }

    /// Adds the blocks that a request sent to the runner will leave in its cache.
    pub fn insert_expected(&mut self, blocks: &[BlockHash]) {
        let mut added: Vec<BlockHash> = blocks.to_vec();
        added.retain(|block| self.blocks.binary_search(block).is_err());
        if added.is_empty() {
            return;
        }
        if self.blocks.len() + added.len() > MAX_BLOCKS {
            self.blocks.clear();
        }
        added.sort_unstable();
        self.blocks.append(&mut added);
        // The stable sort merges the two sorted runs in one pass. An unstable sort would sort all
        // blocks again for each request.
        self.blocks.sort();
        self.blocks.dedup();
    }

    /// Returns the number of leading blocks of a prompt that the runner is estimated to hold.
    ///
    /// Engines store a block after all blocks before it and evict the last ones first. The last
    /// block found therefore implies the blocks before it, including those whose events were lost.
    pub fn cached_blocks(&self, prompt: &[BlockHash]) -> usize {
        let last_cached = prompt.iter().rposition(|block| self.blocks.binary_search(block).is_ok());
        last_cached.map_or(0, |index| index + 1)
    }

    /// Returns the confidence in the estimate, at most 1. Lost events reduce it.
    pub fn confidence(&self) -> f64 {
        self.confidence
    }

    /// Returns the number of events that are known to be lost.
    pub fn lost_events(&self) -> u64 {
        self.lost_events
    }

    /// Returns the sequence number after which events are to be requested next; 0 for a resync.
    pub fn resume_after(&self) -> u64 {
        if self.resync_needed { 0 } else { self.last_sequence }
    }

    /// Returns whether events were lost since the last resync.
    pub fn needs_resync(&self) -> bool {
        self.resync_needed
    }

    fn record_gap(&mut self, lost: u64) {
        if lost == 0 {
            self.confidence += (1.0 - self.confidence) * CONFIDENCE_RESTORED_PER_EVENT;
            return;
        }
        let factor = CONFIDENCE_FACTOR_PER_LOST_EVENT.powi(lost.min(1_000) as i32);
        self.confidence = (self.confidence * factor).max(MIN_CONFIDENCE);
        self.lost_events += lost;
        self.resync_needed = true;
    }

    fn apply(&mut self, change: CacheChange, block: BlockHash) {
        match (change, self.blocks.binary_search(&block)) {
            (CacheChange::Stored, Err(index)) => self.blocks.insert(index, block),
            (CacheChange::Evicted, Ok(index)) => {
                self.blocks.remove(index);
            }
            _ => {}
        }
    }
}

/// The cache estimates of all runners.
#[derive(Debug, Clone, Default)]
pub struct CacheEstimates {
    /// Sorted by VM name.
    entries: Vec<(VmName, CacheEstimate)>,
}

impl CacheEstimates {
    /// Returns the estimate of a runner, if there is one.
    pub fn get(&self, runner: &str) -> Option<&CacheEstimate> {
        let index = self.entries.binary_search_by(|(name, _)| name.as_str().cmp(runner)).ok()?;
        Some(&self.entries[index].1)
    }

    /// Returns a mutable reference to the estimate of a runner, and inserts an empty one if there
    /// is none.
    pub fn get_or_insert(&mut self, runner: &str) -> &mut CacheEstimate {
        let found = self.entries.binary_search_by(|(name, _)| name.as_str().cmp(runner));
        let index = found.unwrap_or_else(|index| {
            self.entries.insert(index, (runner.to_string(), CacheEstimate::default()));
            index
        });
        &mut self.entries[index].1
    }

    /// Removes the estimates of runners for which `is_listed` returns `false`.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.entries.retain(|(name, _)| is_listed(name));
    }
}
