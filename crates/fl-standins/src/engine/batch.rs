//! The batch: who waits, who is computed, who decodes. It is told the time and asks no clock.

use super::EngineOptions;
use super::cache::PrefixCache;
use super::stream::{Phase, Progress, Stream};
use fl_protocol::chat::count_tokens;
use fl_protocol::engine::{BLOCK_TOKENS, LoadReport, StreamRequest, hash_prompt_blocks};
use fl_protocol::{BlockHash, Priority};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Prompt tokens computed at a stretch, before a more urgent prompt may go first.
const CHUNK_TOKENS: u64 = 256;
/// A driver that is later than this drops the steps it missed.
const LATEST_STEP: Duration = Duration::from_secs(1);

/// A stream that is not done.
struct Job {
    stream: Arc<Stream>,
    priority: Priority,
    arrival: u64,
    blocks: Vec<BlockHash>,
    prompt_tokens: u64,
    /// Prompt tokens still to compute; `None` until the cache was asked.
    prefill_left: Option<u64>,
    crashes: bool,
}

impl Job {
    fn decodes(&self) -> bool {
        self.prefill_left == Some(0)
    }
}

struct Chunk {
    arrival: u64,
    tokens: u64,
    done_at: Instant,
}

struct Kept {
    stream: Arc<Stream>,
    ended_at: Option<Instant>,
}

/// What happened while the time went on.
#[derive(Default)]
pub(crate) struct Advance {
    /// When to call again; `None`: after the next change.
    pub(crate) wake_at: Option<Instant>,
    /// A prompt with the crash marker was reached.
    pub(crate) crashed: bool,
}

/// All streams of one life of an engine.
pub(crate) struct Batch {
    slots: usize,
    prefill_tokens_per_s: u64,
    step: Duration,
    step_growth_percent: u64,
    keep: Duration,
    /// Streams by id, for their readers.
    kept: Vec<Kept>,
    /// In the order in which they get a slot.
    waiting: Vec<Job>,
    running: Vec<Job>,
    arrivals: u64,
    chunk: Option<Chunk>,
    step_at: Option<Instant>,
    crashed: bool,
    pub(crate) cache: PrefixCache,
    pub(crate) prefilled_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) generated_tokens: u64,
    pub(crate) ended: u64,
}

impl Batch {
    pub(crate) fn new(options: &EngineOptions) -> Batch {
        Batch {
            slots: options.slots.max(1) as usize,
            prefill_tokens_per_s: options.prefill_tokens_per_s,
            step: Duration::from_millis(options.between_tokens_ms),
            step_growth_percent: options.step_growth_percent,
            keep: Duration::from_millis(options.retention_ms),
            kept: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            arrivals: 0,
            chunk: None,
            step_at: None,
            crashed: false,
            cache: PrefixCache::new(options),
            prefilled_tokens: 0,
            cached_tokens: 0,
            generated_tokens: 0,
            ended: 0,
        }
    }

    /// Starts a life with nothing in memory; the totals go on.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
        self.waiting.clear();
        self.running.clear();
        self.chunk = None;
        self.step_at = None;
        self.crashed = false;
        self.cache.clear();
    }

    /// Takes a new stream; `None` if its id was used before.
    pub(crate) fn start(
        &mut self,
        id: String,
        order: &StreamRequest,
        crashes: bool,
    ) -> Option<Arc<Stream>> {
        let Err(index) = self.index(&id) else { return None };
        let stream = Arc::new(Stream::new(id, order));
        self.kept.insert(index, Kept { stream: stream.clone(), ended_at: None });
        let text = format!("{} {}", order.prompt, order.continue_text);
        self.arrivals += 1;
        let job = Job {
            stream: stream.clone(),
            priority: order.priority,
            arrival: self.arrivals,
            blocks: hash_prompt_blocks(&order.model, &text),
            prompt_tokens: count_tokens(&text),
            prefill_left: None,
            crashes,
        };
        let place = self.waiting.partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(place, job);
        Some(stream)
    }

    pub(crate) fn find(&self, id: &str) -> Option<Arc<Stream>> {
        self.index(id).ok().map(|index| self.kept[index].stream.clone())
    }

    /// Ends a stream early and frees its slot; false if it is not known.
    pub(crate) fn cancel(&mut self, id: &str) -> bool {
        let Ok(index) = self.index(id) else { return false };
        self.waiting.retain(|job| job.stream.id != id);
        self.running.retain(|job| job.stream.id != id);
        let kept = self.kept.remove(index);
        kept.stream.progress.send_modify(|progress| {
            if progress.phase == Phase::Running {
                progress.phase = Phase::Cancelled;
            }
        });
        true
    }

    /// Lets time go on up to now.
    pub(crate) fn advance(&mut self, now: Instant) -> Advance {
        self.fill_slots();
        self.prefill(now);
        self.decode(now);
        self.fill_slots();
        self.begin_chunk(now);
        let chunk_at = self.chunk.as_ref().map(|chunk| chunk.done_at);
        let wake_at = [chunk_at, self.step_at].into_iter().flatten().min();
        Advance { wake_at, crashed: self.crashed }
    }

    /// Forgets streams that ended long ago.
    pub(crate) fn forget(&mut self, now: Instant) {
        let keep = self.keep;
        self.kept.retain(|kept| kept.ended_at.is_none_or(|ended_at| ended_at + keep > now));
    }

    pub(crate) fn report(&self) -> LoadReport {
        let waiting = self.waiting.iter().map(|job| job.prompt_tokens);
        let running = self.running.iter().map(|job| job.prefill_left.unwrap_or(job.prompt_tokens));
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_prefill_tokens: waiting.chain(running).sum(),
            slots: self.slots as u32,
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            between_tokens_ms: self.step_time().as_millis() as u64,
            prefilled_tokens_total: self.prefilled_tokens,
            cached_tokens_total: self.cached_tokens,
            generated_tokens_total: self.generated_tokens,
            ..LoadReport::default()
        }
    }

    fn fill_slots(&mut self) {
        let free = self.slots.saturating_sub(self.running.len()).min(self.waiting.len());
        self.running.extend(self.waiting.drain(..free));
    }

    fn prefill(&mut self, now: Instant) {
        self.begin_chunk(now);
        while let Some(chunk) = self.chunk.take() {
            if chunk.done_at > now {
                self.chunk = Some(chunk);
                return;
            }
            self.end_chunk(&chunk);
            self.begin_chunk(chunk.done_at);
        }
    }

    /// Begins the next chunk of the most urgent prompt.
    fn begin_chunk(&mut self, at: Instant) {
        if self.chunk.is_some() {
            return;
        }
        let unready = self.running.iter_mut().filter(|job| !job.decodes());
        let Some(job) = unready.min_by_key(|job| (job.priority, job.arrival)) else { return };
        if job.prefill_left.is_none() {
            let cached = self.cache.use_prefix(&job.blocks) as u64 * BLOCK_TOKENS as u64;
            // The last token of a prompt is always computed, since it gives the first one.
            let left = job.prompt_tokens.saturating_sub(cached).max(1);
            self.cached_tokens += job.prompt_tokens.saturating_sub(left);
            job.prefill_left = Some(left);
        }
        let tokens = job.prefill_left.unwrap_or_default().min(CHUNK_TOKENS);
        let takes = prefill_time(tokens, self.prefill_tokens_per_s);
        self.chunk = Some(Chunk { arrival: job.arrival, tokens, done_at: at + takes });
    }

    fn end_chunk(&mut self, chunk: &Chunk) {
        let found = self.running.iter().position(|job| job.arrival == chunk.arrival);
        // A cancelled stream has no job any more.
        let Some(index) = found else { return };
        let job = &mut self.running[index];
        self.prefilled_tokens += chunk.tokens;
        job.prefill_left = job.prefill_left.map(|left| left - chunk.tokens);
        if !job.decodes() {
            return;
        }
        self.crashed |= job.crashes;
        self.cache.store(&job.blocks, chunk.done_at);
        if !self.crashed {
            self.generate(index, chunk.done_at);
            self.fill_slots();
        }
        if self.step_at.is_none() && self.running.iter().any(Job::decodes) {
            self.step_at = Some(chunk.done_at + self.step_time());
        }
    }

    fn decode(&mut self, now: Instant) {
        while let Some(step_at) = self.step_at.filter(|step_at| *step_at <= now) {
            for index in (0..self.running.len()).rev() {
                if self.running[index].decodes() {
                    self.generate(index, step_at);
                }
            }
            self.fill_slots();
            let late = now.duration_since(step_at) > LATEST_STEP;
            let next_at = if late { now } else { step_at } + self.step_time();
            self.step_at = self.running.iter().any(Job::decodes).then_some(next_at);
        }
    }

    /// Generates the next token of a running stream, or all of them where a step takes no time.
    fn generate(&mut self, index: usize, now: Instant) {
        let stream = self.running[index].stream.clone();
        let next = stream.progress.borrow().next;
        let count = if self.step.is_zero() { stream.end } else { 1 };
        let after = (next + count).min(stream.end);
        let whole = after == stream.end;
        self.generated_tokens += after - next;
        let phase = if whole { Phase::Whole } else { Phase::Running };
        stream.progress.send_replace(Progress { next: after, phase });
        if whole {
            self.running.remove(index);
            self.ended += 1;
            if let Ok(index) = self.index(&stream.id) {
                self.kept[index].ended_at = Some(now);
            }
        }
    }

    fn step_time(&self) -> Duration {
        let decoding = self.running.iter().filter(|job| job.decodes()).count() as u64;
        let percent = 100 + self.step_growth_percent * decoding.saturating_sub(1);
        self.step * percent as u32 / 100
    }

    fn index(&self, id: &str) -> Result<usize, usize> {
        self.kept.binary_search_by(|kept| kept.stream.id.as_str().cmp(id))
    }
}

fn prefill_time(tokens: u64, tokens_per_s: u64) -> Duration {
    if tokens_per_s == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(tokens as f64 / tokens_per_s as f64)
}
