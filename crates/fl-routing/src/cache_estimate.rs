//! What a node believes of the prefix caches of runners.
//!
//! Cache events come late and with gaps, so the belief joins them with the node's own sent work
//! and reads a believed block as proof of all blocks before it. See `docs/design/050-routing.md`.

use fl_protocol::engine::{CacheChange, CacheEvent};
use fl_protocol::{BlockHash, VmName};

/// Share of the confidence kept for each lost event.
const KEPT_PER_LOST_EVENT: f64 = 0.995;
/// Share of the missing confidence regained with each event that follows without a gap.
const REGAINED_PER_EVENT: f64 = 0.002;
/// The confidence never falls below this, since engines evict seldom compared with what they hold.
const LEAST_CONFIDENCE: f64 = 0.5;
/// Blocks believed of one runner at most; beyond it the belief starts again from events.
const BLOCKS_LIMIT: usize = 65_536;

/// The belief about one runner's cache.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheEstimate {
    /// Sorted.
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
    /// Takes events in any order; those at or below the last sequence number are old and dropped.
    pub fn apply_events(&mut self, mut events: Vec<CacheEvent>) {
        events.sort_by_key(|event| event.sequence);
        for event in events {
            if event.sequence > self.last_sequence {
                self.note_gap(event.sequence - self.last_sequence - 1);
                self.last_sequence = event.sequence;
                self.apply(event.change, event.block);
            }
        }
    }

    /// Starts again from all events the engine still has, since some were lost.
    pub fn resync(&mut self, events: Vec<CacheEvent>) {
        let lost_events = self.lost_events;
        let first = events.iter().map(|event| event.sequence).min().unwrap_or(1);
        self.last_sequence = first.saturating_sub(1);
        self.apply_events(events);
        self.lost_events = lost_events;
        self.resync_needed = false;
    }

    /// Forgets everything, since the engine started anew.
    pub fn reset(&mut self) {
        *self = CacheEstimate::default();
    }

    /// Adds blocks that a request sent there will leave in the cache.
    pub fn insert_expected(&mut self, blocks: &[BlockHash]) {
        let mut added: Vec<BlockHash> = blocks.to_vec();
        added.retain(|block| self.blocks.binary_search(block).is_err());
        if added.is_empty() {
            return;
        }
        if self.blocks.len() + added.len() > BLOCKS_LIMIT {
            self.blocks.clear();
        }
        added.sort_unstable();
        self.blocks.append(&mut added);
        // The stable sort merges the two sorted runs in one pass; an unstable one would sort all
        // blocks anew with each request.
        self.blocks.sort();
        self.blocks.dedup();
    }

    /// Counts the leading blocks of a prompt that are believed to be cached.
    ///
    /// Engines store a block after all blocks before it and evict the last ones first, so the
    /// deepest believed block vouches for those whose events were lost.
    pub fn cached_blocks(&self, prompt: &[BlockHash]) -> usize {
        let deepest = prompt.iter().rposition(|block| self.blocks.binary_search(block).is_ok());
        deepest.map_or(0, |index| index + 1)
    }

    /// How far the belief can be trusted, up to 1.
    pub fn confidence(&self) -> f64 {
        self.confidence
    }

    /// Events known to be lost.
    pub fn lost_events(&self) -> u64 {
        self.lost_events
    }

    /// The sequence number after which the next events are asked for; 0 when a resync is wanted.
    pub fn resume_after(&self) -> u64 {
        if self.resync_needed { 0 } else { self.last_sequence }
    }

    /// Whether events were lost since the last resync.
    pub fn needs_resync(&self) -> bool {
        self.resync_needed
    }

    fn note_gap(&mut self, lost: u64) {
        if lost == 0 {
            self.confidence += (1.0 - self.confidence) * REGAINED_PER_EVENT;
            return;
        }
        let kept = KEPT_PER_LOST_EVENT.powi(lost.min(1_000) as i32);
        self.confidence = (self.confidence * kept).max(LEAST_CONFIDENCE);
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

/// The beliefs about all runners, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct CacheEstimates {
    entries: Vec<(VmName, CacheEstimate)>,
}

impl CacheEstimates {
    /// The belief about a runner, if there is any.
    pub fn get(&self, runner: &str) -> Option<&CacheEstimate> {
        let index = self.entries.binary_search_by(|(name, _)| name.as_str().cmp(runner)).ok()?;
        Some(&self.entries[index].1)
    }

    /// The belief about a runner, to change it.
    pub fn get_or_insert(&mut self, runner: &str) -> &mut CacheEstimate {
        let found = self.entries.binary_search_by(|(name, _)| name.as_str().cmp(runner));
        let index = found.unwrap_or_else(|index| {
            self.entries.insert(index, (runner.to_string(), CacheEstimate::default()));
            index
        });
        &mut self.entries[index].1
    }

    /// Forgets runners that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.entries.retain(|(name, _)| is_there(name));
    }
}
