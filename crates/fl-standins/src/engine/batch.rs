//! The continuous batch: which streams wait for a slot, are in prefill or decode.
//!
//! The caller passes the current time in; the batch reads no clock.

use super::EngineOptions;
use super::cache::PrefixCache;
use super::stream::{Phase, Progress, Stream};
use fl_protocol::chat::count_tokens;
use fl_protocol::engine::{BLOCK_TOKENS, LoadReport, StreamRequest, hash_prompt_blocks};
use fl_protocol::{BlockHash, Priority};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Prompt tokens in one chunk of prefill. A more urgent prompt can only go first between chunks.
const CHUNK_TOKENS: u64 = 256;
/// The lateness of a decoding step beyond which missed steps are dropped instead of run late.
const MAX_STEP_LATENESS: Duration = Duration::from_secs(1);

/// A stream that waits for a slot or runs.
struct Job {
    stream: Arc<Stream>,
    priority: Priority,
    /// The number of the stream in the order of arrival.
    arrival: u64,
    blocks: Vec<BlockHash>,
    prompt_tokens: u64,
    /// Prompt tokens still to compute; `None` until the prefix cache was looked up.
    prefill_left: Option<u64>,
    /// Whether the engine crashes once the prefill of this prompt is done.
    triggers_crash: bool,
}

impl Job {
    fn is_decoding(&self) -> bool {
        self.prefill_left == Some(0)
    }
}

/// The chunk of prefill that is being computed.
struct Chunk {
    arrival: u64,
    tokens: u64,
    done_at: Instant,
}

/// A stream by its id, with the time from which its retention counts.
struct StreamRecord {
    stream: Arc<Stream>,
    ended_at: Option<Instant>,
}

/// The result of [`Batch::advance`].
#[derive(Default)]
pub(crate) struct Advanced {
    /// When to call [`Batch::advance`] again; `None` when nothing is due before the next change.
    pub(crate) wake_at: Option<Instant>,
    /// Whether the prefill of a prompt with the crash marker is done.
    pub(crate) crashed: bool,
}

/// All streams of one engine instance, from a start to the next crash.
pub(crate) struct Batch {
    slots: usize,
    prefill_tokens_per_s: u64,
    step_duration: Duration,
    step_growth_percent: u64,
    retention: Duration,
    /// Running and recently ended streams, sorted by id.
    streams: Vec<StreamRecord>,
    /// Streams without a slot, by priority and then by arrival.
    waiting: Vec<Job>,
    running: Vec<Job>,
    /// Streams that ever arrived.
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
            step_duration: Duration::from_millis(options.between_tokens_ms),
            step_growth_percent: options.step_growth_percent,
            retention: Duration::from_millis(options.retention_ms),
            streams: Vec::new(),
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

    /// Drops all streams and cached blocks, as a crash does. The totals continue to count.
    pub(crate) fn clear(&mut self) {
        self.streams.clear();
        self.waiting.clear();
        self.running.clear();
        self.chunk = None;
        self.step_at = None;
        self.crashed = false;
        self.cache.clear();
    }

    /// Queues a new stream; returns `None` if its id was used before.
    pub(crate) fn start(
        &mut self,
        id: String,
        request: &StreamRequest,
        triggers_crash: bool,
    ) -> Option<Arc<Stream>> {
        let Err(index) = self.find_index(&id) else { return None };
        let stream = Arc::new(Stream::new(id, request));
        self.streams.insert(index, StreamRecord { stream: stream.clone(), ended_at: None });
        let text = format!("{} {}", request.prompt, request.continue_text);
        self.arrivals += 1;
        let job = Job {
            stream: stream.clone(),
            priority: request.priority,
            arrival: self.arrivals,
            blocks: hash_prompt_blocks(&request.model, &text),
            prompt_tokens: count_tokens(&text),
            prefill_left: None,
            triggers_crash,
        };
        let position = self.waiting.partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(position, job);
        Some(stream)
    }

    pub(crate) fn find(&self, id: &str) -> Option<Arc<Stream>> {
        self.find_index(id).ok().map(|index| self.streams[index].stream.clone())
    }

    /// Cancels a stream and frees its slot; returns whether the stream is known.
    pub(crate) fn cancel(&mut self, id: &str) -> bool {
        let Ok(index) = self.find_index(id) else { return false };
        self.waiting.retain(|job| job.stream.id != id);
        self.running.retain(|job| job.stream.id != id);
        let record = self.streams.remove(index);
        record.stream.progress.send_modify(|progress| {
            if progress.phase == Phase::Running {
                progress.phase = Phase::Cancelled;
            }
        });
        true
    }

    /// Computes everything that is due by `now`.
    pub(crate) fn advance(&mut self, now: Instant) -> Advanced {
        self.fill_slots();
        self.prefill(now);
        self.decode(now);
        self.fill_slots();
        self.start_chunk(now);
        let chunk_at = self.chunk.as_ref().map(|chunk| chunk.done_at);
        let wake_at = [chunk_at, self.step_at].into_iter().flatten().min();
        Advanced { wake_at, crashed: self.crashed }
    }

    /// Removes the streams that ended longer ago than the retention time.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let retention = self.retention;
        self.streams
            .retain(|record| record.ended_at.is_none_or(|ended_at| ended_at + retention > now));
    }

    pub(crate) fn load_report(&self) -> LoadReport {
        let waiting = self.waiting.iter().map(|job| job.prompt_tokens);
        let running = self.running.iter().map(|job| job.prefill_left.unwrap_or(job.prompt_tokens));
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_prefill_tokens: waiting.chain(running).sum(),
            slots: self.slots as u32,
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            between_tokens_ms: self.current_step_duration().as_millis() as u64,
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
        self.start_chunk(now);
        while let Some(chunk) = self.chunk.take() {
            if chunk.done_at > now {
                self.chunk = Some(chunk);
                return;
            }
            self.finish_chunk(&chunk);
            self.start_chunk(chunk.done_at);
        }
    }

    /// Starts the next chunk of the most urgent prompt, unless one is being computed.
    fn start_chunk(&mut self, at: Instant) {
        if self.chunk.is_some() {
            return;
        }
        let prefilling = self.running.iter_mut().filter(|job| !job.is_decoding());
        let Some(job) = prefilling.min_by_key(|job| (job.priority, job.arrival)) else { return };
        if job.prefill_left.is_none() {
            let cached = self.cache.use_prefix(&job.blocks) as u64 * BLOCK_TOKENS as u64;
            // The last prompt token is always computed, since it yields the first generated token.
            let left = job.prompt_tokens.saturating_sub(cached).max(1);
            self.cached_tokens += job.prompt_tokens.saturating_sub(left);
            job.prefill_left = Some(left);
        }
        let tokens = job.prefill_left.unwrap_or_default().min(CHUNK_TOKENS);
        let duration = prefill_time(tokens, self.prefill_tokens_per_s);
        self.chunk = Some(Chunk { arrival: job.arrival, tokens, done_at: at + duration });
    }

    fn finish_chunk(&mut self, chunk: &Chunk) {
        let found = self.running.iter().position(|job| job.arrival == chunk.arrival);
        // The stream may have been cancelled while its chunk was being computed.
        let Some(index) = found else { return };
        let job = &mut self.running[index];
        self.prefilled_tokens += chunk.tokens;
        job.prefill_left = job.prefill_left.map(|left| left - chunk.tokens);
        if !job.is_decoding() {
            return;
        }
        self.crashed |= job.triggers_crash;
        self.cache.store(&job.blocks, chunk.done_at);
        if !self.crashed {
            self.generate(index, chunk.done_at);
            self.fill_slots();
        }
        if self.step_at.is_none() && self.running.iter().any(Job::is_decoding) {
            self.step_at = Some(chunk.done_at + self.current_step_duration());
        }
    }

    fn decode(&mut self, now: Instant) {
        while let Some(step_at) = self.step_at.filter(|step_at| *step_at <= now) {
            for index in (0..self.running.len()).rev() {
                if self.running[index].is_decoding() {
                    self.generate(index, step_at);
                }
            }
            self.fill_slots();
            let is_late = now.duration_since(step_at) > MAX_STEP_LATENESS;
            let next_at = if is_late { now } else { step_at } + self.current_step_duration();
            self.step_at = self.running.iter().any(Job::is_decoding).then_some(next_at);
        }
    }

    /// Generates the next token of a running stream, or all of them when a step takes no time.
    fn generate(&mut self, index: usize, now: Instant) {
        let stream = self.running[index].stream.clone();
        let next = stream.progress.borrow().next;
        let count = if self.step_duration.is_zero() { stream.end } else { 1 };
        let after = (next + count).min(stream.end);
        let complete = after == stream.end;
        self.generated_tokens += after - next;
        let phase = if complete { Phase::Complete } else { Phase::Running };
        stream.progress.send_replace(Progress { next: after, phase });
        if complete {
            self.running.remove(index);
            self.ended += 1;
            if let Ok(index) = self.find_index(&stream.id) {
                self.streams[index].ended_at = Some(now);
            }
        }
    }

    fn current_step_duration(&self) -> Duration {
        let decoding = self.running.iter().filter(|job| job.is_decoding()).count() as u64;
        let percent = 100 + self.step_growth_percent * decoding.saturating_sub(1);
        self.step_duration * percent as u32 / 100
    }

    fn find_index(&self, id: &str) -> Result<usize, usize> {
        self.streams.binary_search_by(|record| record.stream.id.as_str().cmp(id))
    }
}

fn prefill_time(tokens: u64, tokens_per_s: u64) -> Duration {
    if tokens_per_s == 0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(tokens as f64 / tokens_per_s as f64)
}
