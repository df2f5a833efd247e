//! The prefix cache and the events it publishes late and with gaps.

use fl_protocol::BlockHash;
use fl_protocol::engine::{CacheChange, CacheEvent, CacheEvents};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 65_536;
/// Events in one answer at most.
const ANSWERED_EVENTS: usize = 8_192;

struct CachedBlock {
    block: BlockHash,
    /// Greater for a later use; within one prompt greater for an earlier block.
    last_use: u64,
}

struct DatedEvent {
    shown_at: Instant,
    event: CacheEvent,
}

/// Blocks in memory, sorted by hash; the least recently used go first.
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    blocks: Vec<CachedBlock>,
    uses: u64,
    events: VecDeque<DatedEvent>,
    last_sequence: u64,
    event_lag: Duration,
    event_loss_percent: u32,
    random: ChaCha8Rng,
}

impl PrefixCache {
    pub(crate) fn new(options: &super::EngineOptions) -> PrefixCache {
        PrefixCache {
            capacity_blocks: options.cache_blocks,
            blocks: Vec::new(),
            uses: 0,
            events: VecDeque::new(),
            last_sequence: 0,
            event_lag: Duration::from_millis(options.cache_event_lag_ms),
            event_loss_percent: options.cache_event_loss_percent,
            random: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Forgets all blocks without telling anybody, as a process that died.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
    }

    /// Counts the leading blocks that are cached, and marks them as used.
    pub(crate) fn use_prefix(&mut self, prompt: &[BlockHash]) -> usize {
        self.uses += 1;
        let mut found = 0;
        for block in prompt {
            let Ok(index) = self.index(*block) else { break };
            self.blocks[index].last_use = rank(self.uses, found);
            found += 1;
        }
        found
    }

    /// Stores the blocks of a prompt and evicts what does not fit.
    pub(crate) fn store(&mut self, prompt: &[BlockHash], now: Instant) {
        self.uses += 1;
        for (position, block) in prompt.iter().enumerate() {
            let last_use = rank(self.uses, position);
            match self.index(*block) {
                Ok(index) => self.blocks[index].last_use = last_use,
                Err(index) => {
                    self.blocks.insert(index, CachedBlock { block: *block, last_use });
                    self.publish(CacheChange::Stored, *block, now);
                }
            }
        }
        self.evict(now);
    }

    /// Says which of the blocks are cached.
    pub(crate) fn held(&self, blocks: &[BlockHash]) -> Vec<BlockHash> {
        blocks.iter().copied().filter(|block| self.index(*block).is_ok()).collect()
    }

    /// The events above a sequence number that are old enough to be shown.
    pub(crate) fn events_after(&self, sequence: u64, now: Instant) -> CacheEvents {
        let start = self.events.partition_point(|dated| dated.event.sequence <= sequence);
        let shown = self.events.range(start..).take_while(|dated| dated.shown_at <= now);
        CacheEvents {
            events: shown.take(ANSWERED_EVENTS).map(|dated| dated.event.clone()).collect(),
        }
    }

    fn evict(&mut self, now: Instant) {
        let excess = self.blocks.len().saturating_sub(self.capacity_blocks);
        if excess == 0 {
            return;
        }
        let mut uses: Vec<u64> = self.blocks.iter().map(|cached| cached.last_use).collect();
        let (_, oldest_kept, _) = uses.select_nth_unstable(excess - 1);
        let limit = *oldest_kept;
        let evicted: Vec<BlockHash> =
            self.blocks.iter().filter(|cached| cached.last_use <= limit).map(|c| c.block).collect();
        self.blocks.retain(|cached| cached.last_use > limit);
        evicted.into_iter().for_each(|block| self.publish(CacheChange::Evicted, block, now));
    }

    fn publish(&mut self, change: CacheChange, block: BlockHash, now: Instant) {
        self.last_sequence += 1;
        if self.random.random_range(0..100) < self.event_loss_percent {
            return;
        }
        let event = CacheEvent { sequence: self.last_sequence, change, block };
        self.events.push_back(DatedEvent { shown_at: now + self.event_lag, event });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    fn index(&self, block: BlockHash) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&block, |cached| cached.block)
    }

    /// Draws a delay below the limit, in milliseconds.
    pub(crate) fn draw_ms(&mut self, limit_ms: u64) -> u64 {
        if limit_ms == 0 { 0 } else { self.random.next_u64() % limit_ms }
    }
}

/// Orders uses: later prompts above earlier ones, and within a prompt its first block highest,
/// since a block is useless without those before it.
fn rank(uses: u64, position: usize) -> u64 {
    const PROMPT_BLOCKS: u64 = 1 << 20;
    uses * PROMPT_BLOCKS + (PROMPT_BLOCKS - 1 - (position as u64).min(PROMPT_BLOCKS - 1))
}
