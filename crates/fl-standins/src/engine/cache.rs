//! The prefix cache, and its events, which are published late and may be lost.

use fl_protocol::BlockHash;
use fl_protocol::engine::{CacheChange, CacheEvent, CacheEvents};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Events kept for readers; the oldest are dropped beyond that.
const MAX_KEPT_EVENTS: usize = 65_536;
/// Events in one response at most.
const MAX_EVENTS_PER_RESPONSE: usize = 8_192;

struct CachedBlock {
    block: BlockHash,
    /// The rank of the last use; see [`use_rank`].
    last_use: u64,
}

/// An event with the time from which readers see it.
struct DelayedEvent {
    visible_at: Instant,
    event: CacheEvent,
}

/// Cached blocks, sorted by hash; the least recently used ones are evicted first.
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    blocks: Vec<CachedBlock>,
    /// Prompts looked up or stored so far.
    uses: u64,
    events: VecDeque<DelayedEvent>,
    last_sequence: u64,
    event_lag: Duration,
    event_loss_percent: u32,
    rng: ChaCha8Rng,
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
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Drops all blocks and events without publishing evictions, as a crash does.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
    }

    /// Returns how many leading blocks of a prompt are cached, and marks them as used.
    pub(crate) fn use_prefix(&mut self, prompt: &[BlockHash]) -> usize {
        self.uses += 1;
        let mut found = 0;
        for block in prompt {
            let Ok(index) = self.find_index(*block) else { break };
            self.blocks[index].last_use = use_rank(self.uses, found);
            found += 1;
        }
        found
    }

    /// Stores the blocks of a prompt and evicts the least recently used blocks beyond the capacity.
    pub(crate) fn store(&mut self, prompt: &[BlockHash], now: Instant) {
        self.uses += 1;
        for (position, block) in prompt.iter().enumerate() {
            let last_use = use_rank(self.uses, position);
            match self.find_index(*block) {
                Ok(index) => self.blocks[index].last_use = last_use,
                Err(index) => {
                    self.blocks.insert(index, CachedBlock { block: *block, last_use });
                    self.publish(CacheChange::Stored, *block, now);
                }
            }
        }
        self.evict(now);
    }

    /// Returns those of the given blocks that are cached.
    pub(crate) fn filter_cached(&self, blocks: &[BlockHash]) -> Vec<BlockHash> {
        blocks.iter().copied().filter(|block| self.find_index(*block).is_ok()).collect()
    }

    /// Returns the events above a sequence number that are old enough to be published.
    pub(crate) fn events_after(&self, sequence: u64, now: Instant) -> CacheEvents {
        let start = self.events.partition_point(|delayed| delayed.event.sequence <= sequence);
        let visible = self.events.range(start..).take_while(|delayed| delayed.visible_at <= now);
        CacheEvents {
            events: visible
                .take(MAX_EVENTS_PER_RESPONSE)
                .map(|delayed| delayed.event.clone())
                .collect(),
        }
    }

    fn evict(&mut self, now: Instant) {
        let excess = self.blocks.len().saturating_sub(self.capacity_blocks);
        if excess == 0 {
            return;
        }
        let mut uses: Vec<u64> = self.blocks.iter().map(|cached| cached.last_use).collect();
        let (_, newest_evicted_use, _) = uses.select_nth_unstable(excess - 1);
        let newest_evicted = *newest_evicted_use;
        let evicted: Vec<BlockHash> = self
            .blocks
            .iter()
            .filter(|cached| cached.last_use <= newest_evicted)
            .map(|c| c.block)
            .collect();
        self.blocks.retain(|cached| cached.last_use > newest_evicted);
        evicted.into_iter().for_each(|block| self.publish(CacheChange::Evicted, block, now));
    }

    fn publish(&mut self, change: CacheChange, block: BlockHash, now: Instant) {
        self.last_sequence += 1;
        if self.rng.random_range(0..100) < self.event_loss_percent {
            return;
        }
        let event = CacheEvent { sequence: self.last_sequence, change, block };
        self.events.push_back(DelayedEvent { visible_at: now + self.event_lag, event });
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    fn find_index(&self, block: BlockHash) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&block, |cached| cached.block)
    }

    /// Draws a random delay below the limit, in milliseconds; a limit of 0 gives 0.
    pub(crate) fn random_delay_ms(&mut self, limit_ms: u64) -> u64 {
        if limit_ms == 0 { 0 } else { self.rng.next_u64() % limit_ms }
    }
}

/// Returns the rank of a use for eviction. Later prompts rank above earlier ones. Within a prompt
/// the first block ranks highest, since a block is useless without those before it.
fn use_rank(uses: u64, position: usize) -> u64 {
    const MAX_PROMPT_BLOCKS: u64 = 1 << 20;
    uses * MAX_PROMPT_BLOCKS
        + (MAX_PROMPT_BLOCKS - 1 - (position as u64).min(MAX_PROMPT_BLOCKS - 1))
}
