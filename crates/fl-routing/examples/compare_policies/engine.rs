//! A simulated runner with a priority queue, slots, one prefill at a time and an LRU prefix cache.

use fl_protocol::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, LoadReport};
use fl_protocol::{BlockHash, Priority};

/// Maximum number of streams in the batch.
const SLOTS: u32 = 32;
/// Prefill rate in tokens per second.
const PREFILL_TOKENS_PER_S: u64 = 12_000;
/// Capacity of the prefix cache in blocks.
const CACHE_BLOCKS: usize = 4_096;
/// Time between two tokens of a stream in an empty batch, in microseconds.
const BETWEEN_TOKENS_US: u64 = 10_000;
/// Time that each stream in the batch adds between two tokens, in microseconds.
const BETWEEN_TOKENS_PER_STREAM_US: u64 = 500;
const US_PER_S: u64 = 1_000_000;

/// A call to run on the simulated runner.
#[derive(Debug, Clone)]
pub struct Job {
    pub call: usize,
    pub priority: Priority,
    pub blocks: Vec<BlockHash>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

/// The work and the end of a prefill that was started.
pub struct Prefill {
    pub done_at_us: u64,
    /// Blocks that were not in the cache.
    pub computed: Vec<BlockHash>,
    pub computed_tokens: u64,
}

/// The state of a simulated runner.
#[derive(Default)]
pub struct Engine {
    waiting: Vec<Job>,
    prefilling: Option<Job>,
    remaining_prefill_tokens: u64,
    running: u32,
    /// Cached blocks with the value of `uses` at their last use, sorted by block.
    cache: Vec<(BlockHash, u64)>,
    /// Logical clock of the LRU cache.
    uses: u64,
    events: Vec<(u64, CacheEvent)>,
    reports: Vec<(u64, LoadReport)>,
}

impl Engine {
    pub fn enqueue(&mut self, job: Job) {
        let index = self.waiting.partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(index, job);
    }

    /// Starts the next prefill if a slot is free and no other prefill runs.
    pub fn start(&mut self, now_us: u64) -> Option<Prefill> {
        if self.prefilling.is_some() || self.running >= SLOTS || self.waiting.is_empty() {
            return None;
        }
        let job = self.waiting.remove(0);
        let cached = self.leading_cached(&job.blocks);
        self.touch(&job.blocks[..cached]);
        let computed_tokens = job.prompt_tokens - (cached * BLOCK_TOKENS) as u64;
        let duration_us = computed_tokens * US_PER_S / PREFILL_TOKENS_PER_S;
        let computed = job.blocks[cached..].to_vec();
        self.running += 1;
        self.remaining_prefill_tokens = computed_tokens;
        self.prefilling = Some(job);
        Some(Prefill { done_at_us: now_us + duration_us, computed, computed_tokens })
    }

    /// Ends the current prefill. Returns its job and the time of the job's last token.
    pub fn end_prefill(&mut self, now_us: u64) -> Option<(Job, u64)> {
        let job = self.prefilling.take()?;
        self.remaining_prefill_tokens = 0;
        self.store(&job.blocks, now_us);
        let between_us = BETWEEN_TOKENS_US + BETWEEN_TOKENS_PER_STREAM_US * u64::from(self.running);
        let ends_at_us = now_us + job.answer_tokens * between_us;
        Some((job, ends_at_us))
    }

    pub fn end_stream(&mut self) {
        self.running -= 1;
    }

    /// Records a load report, which nodes see later.
    pub fn record_report(&mut self, now_us: u64) {
        let waiting: u64 = self
            .waiting
            .iter()
            .map(|job| {
                let cached = self.leading_cached(&job.blocks) * BLOCK_TOKENS;
                job.prompt_tokens - cached as u64
            })
            .sum();
        let report = LoadReport {
            as_of_ms: now_us / 1_000,
            running: self.running,
            waiting: self.waiting.len() as u32,
            waiting_prefill_tokens: waiting + self.remaining_prefill_tokens,
            slots: SLOTS,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            ..LoadReport::default()
        };
        self.reports.push((now_us, report));
    }

    /// Returns the latest report that was recorded by a time.
    pub fn report(&self, at_us: u64) -> Option<&LoadReport> {
        let count = self.reports.partition_point(|(time_us, _)| *time_us <= at_us);
        count.checked_sub(1).map(|index| &self.reports[index].1)
    }

    /// Returns the cache events of a span of time, ordered by time.
    pub fn events(&self, from_us: u64, to_us: u64) -> &[(u64, CacheEvent)] {
        let start = self.events.partition_point(|(time_us, _)| *time_us < from_us);
        let end = self.events.partition_point(|(time_us, _)| *time_us < to_us);
        &self.events[start..end.max(start)]
    }

    fn leading_cached(&self, blocks: &[BlockHash]) -> usize {
        let is_cached =
            |block: &BlockHash| self.cache.binary_search_by_key(block, |(b, _)| *b).is_ok();
        blocks.iter().position(|block| !is_cached(block)).unwrap_or(blocks.len())
    }

    /// Marks blocks as used, the last block as the least recently used, so that it is evicted
    /// first.
    fn touch(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.uses += 1;
            if let Ok(index) = self.cache.binary_search_by_key(block, |(b, _)| *b) {
                self.cache[index].1 = self.uses;
            }
        }
    }

    fn store(&mut self, blocks: &[BlockHash], now_us: u64) {
        for block in blocks {
            if let Err(index) = self.cache.binary_search_by_key(block, |(b, _)| *b) {
                self.cache.insert(index, (*block, self.uses));
                self.publish(now_us, CacheChange::Stored, *block);
            }
        }
        self.touch(blocks);
        self.evict(now_us);
    }

    fn evict(&mut self, now_us: u64) {
        let excess = self.cache.len().saturating_sub(CACHE_BLOCKS);
        if excess == 0 {
            return;
        }
        let mut by_use: Vec<(u64, BlockHash)> =
            self.cache.iter().map(|(block, used)| (*used, *block)).collect();
        by_use.select_nth_unstable(excess - 1);
        let mut oldest: Vec<BlockHash> = by_use[..excess].iter().map(|(_, block)| *block).collect();
        oldest.sort_unstable();
        self.cache.retain(|(block, _)| oldest.binary_search(block).is_err());
        for block in oldest {
            self.publish(now_us, CacheChange::Evicted, block);
        }
    }

    fn publish(&mut self, now_us: u64, change: CacheChange, block: BlockHash) {
        let sequence = self.events.len() as u64 + 1;
        self.events.push((now_us, CacheEvent { sequence, change, block }));
    }
}
