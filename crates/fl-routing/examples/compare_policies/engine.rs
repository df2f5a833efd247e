//! A runner in virtual time: a queue by priority, slots, one prefill at a time, and an LRU cache.

use fl_protocol::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, LoadReport};
use fl_protocol::{BlockHash, Priority};

/// Streams a runner holds.
const SLOTS: u32 = 32;
/// Prompt tokens a second it computes.
const PREFILL_TOKENS_PER_S: u64 = 12_000;
/// Blocks its cache holds.
const CACHE_BLOCKS: usize = 4_096;
/// Time between tokens with an empty batch, in microseconds.
const BETWEEN_TOKENS_US: u64 = 10_000;
/// What each further stream adds to it, in microseconds.
const BETWEEN_TOKENS_PER_STREAM_US: u64 = 500;
/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// A call at a runner.
#[derive(Debug, Clone)]
pub struct Job {
    pub call: usize,
    pub priority: Priority,
    pub blocks: Vec<BlockHash>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

/// What a prefill took.
pub struct Prefill {
    pub done_at_us: u64,
    pub computed: Vec<BlockHash>,
    pub computed_tokens: u64,
}

/// A runner.
#[derive(Default)]
pub struct Engine {
    waiting: Vec<Job>,
    prefilling: Option<Job>,
    prefill_left_tokens: u64,
    running: u32,
    /// Sorted by block, with the time of the last use.
    cache: Vec<(BlockHash, u64)>,
    uses: u64,
    events: Vec<(u64, CacheEvent)>,
    reports: Vec<(u64, LoadReport)>,
}

impl Engine {
    pub fn enqueue(&mut self, job: Job) {
        let place = self.waiting.partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(place, job);
    }

    /// Starts the next prefill if there is a slot and no other one runs.
    pub fn start(&mut self, now_us: u64) -> Option<Prefill> {
        if self.prefilling.is_some() || self.running >= SLOTS || self.waiting.is_empty() {
            return None;
        }
        let job = self.waiting.remove(0);
        let cached = self.leading_cached(&job.blocks);
        self.touch(&job.blocks[..cached]);
        let computed_tokens = job.prompt_tokens - (cached * BLOCK_TOKENS) as u64;
        let took_us = computed_tokens * US_PER_S / PREFILL_TOKENS_PER_S;
        let computed = job.blocks[cached..].to_vec();
        self.running += 1;
        self.prefill_left_tokens = computed_tokens;
        self.prefilling = Some(job);
        Some(Prefill { done_at_us: now_us + took_us, computed, computed_tokens })
    }

    /// Ends the prefill; gives the job and when its last token comes.
    pub fn prefilled(&mut self, now_us: u64) -> Option<(Job, u64)> {
        let job = self.prefilling.take()?;
        self.prefill_left_tokens = 0;
        self.store(&job.blocks, now_us);
        let between_us = BETWEEN_TOKENS_US + BETWEEN_TOKENS_PER_STREAM_US * u64::from(self.running);
        let ends_at_us = now_us + job.answer_tokens * between_us;
        Some((job, ends_at_us))
    }

    pub fn ended(&mut self) {
        self.running -= 1;
    }

    /// Takes a snapshot that nodes see later.
    pub fn snapshot(&mut self, now_us: u64) {
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
            waiting_prefill_tokens: waiting + self.prefill_left_tokens,
            slots: SLOTS,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            ..LoadReport::default()
        };
        self.reports.push((now_us, report));
    }

    /// The report that is visible at a time.
    pub fn report(&self, at_us: u64) -> Option<&LoadReport> {
        let count = self.reports.partition_point(|(time_us, _)| *time_us <= at_us);
        count.checked_sub(1).map(|index| &self.reports[index].1)
    }

    /// The events of a span of time, by the times they happened.
    pub fn events(&self, from_us: u64, to_us: u64) -> &[(u64, CacheEvent)] {
        let start = self.events.partition_point(|(time_us, _)| *time_us < from_us);
        let end = self.events.partition_point(|(time_us, _)| *time_us < to_us);
        &self.events[start..end.max(start)]
    }

    fn leading_cached(&self, blocks: &[BlockHash]) -> usize {
        let held = |block: &BlockHash| self.cache.binary_search_by_key(block, |(b, _)| *b).is_ok();
        blocks.iter().position(|block| !held(block)).unwrap_or(blocks.len())
    }

    /// Marks blocks as used, the last one as the oldest, so that it is evicted first.
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
        let surplus = self.cache.len().saturating_sub(CACHE_BLOCKS);
        if surplus == 0 {
            return;
        }
        let mut by_use: Vec<(u64, BlockHash)> =
            self.cache.iter().map(|(block, used)| (*used, *block)).collect();
        by_use.select_nth_unstable(surplus - 1);
        let mut oldest: Vec<BlockHash> =
            by_use[..surplus].iter().map(|(_, block)| *block).collect();
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
