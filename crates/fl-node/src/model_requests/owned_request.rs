//! A request that this node owns: its record, the response so far and its readers.

use fl_kernel::services::{Permit, ResponseProgress};
use fl_protocol::chat::ChatRequest;
use fl_protocol::request::{Restart, StreamLocation};
use fl_protocol::{AttemptNumber, OwnerEpoch, RequestId, RequestRecord, TokenOffset, VmName};
use parking_lot::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// A request that this node owns and carries to its end.
pub struct OwnedRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The parsed call.
    pub chat: ChatRequest,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Cancelled when this node must stop working on the request.
    pub cancel: CancellationToken,
    record: Mutex<RequestRecord>,
    response: Mutex<ResponseState>,
    permit: Mutex<Option<Box<dyn Permit>>>,
    attempts: AtomicU32,
    /// Whether the request came from another owner and its text has not been regenerated since.
    inherited: AtomicBool,
    changed: watch::Sender<u64>,
}

struct ResponseState {
    tokens: Vec<String>,
    progress: ResponseProgress,
    readers: u32,
    last_read_at: Instant,
    last_token_at: Instant,
    ended_at: Option<Instant>,
    /// Whether the crash of the current attempt's runner was counted against this request.
    crash_counted: bool,
}

/// A part of a response, as a reader gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseChunk {
    /// The tokens from the requested offset on.
    pub tokens: Vec<String>,
    /// The progress of the response after these tokens.
    pub progress: ResponseProgress,
    /// The epoch with which the ids of its events are marked.
    pub text_epoch: OwnerEpoch,
}

impl OwnedRequest {
    /// Creates a request; `tokens` is the text that was generated before.
    pub fn new(
        record: RequestRecord,
        chat: ChatRequest,
        tokens: Vec<String>,
        cancel: CancellationToken,
        permit: Option<Box<dyn Permit>>,
    ) -> Self {
        let prompt_tokens = fl_protocol::chat::count_tokens(&chat.prompt_text());
        let response = ResponseState {
            tokens,
            progress: ResponseProgress::Running,
            readers: 0,
            last_read_at: Instant::now(),
            last_token_at: Instant::now(),
            ended_at: None,
            crash_counted: false,
        };
        OwnedRequest {
            id: record.id,
            chat,
            prompt_tokens,
            cancel,
            record: Mutex::new(record),
            response: Mutex::new(response),
            permit: Mutex::new(permit),
            attempts: AtomicU32::new(0),
            inherited: AtomicBool::new(false),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns a copy of the current record.
    pub fn record(&self) -> RequestRecord {
        self.record.lock().clone()
    }

    /// Changes the record and returns a copy of it.
    pub fn update_record(&self, change: impl FnOnce(&mut RequestRecord)) -> RequestRecord {
        let mut record = self.record.lock();
        change(&mut record);
        record.clone()
    }

    /// Returns the runner and stream of the current attempt; `None` between attempts.
    pub fn stream_location(&self) -> Option<StreamLocation> {
        self.record.lock().stream.clone()
    }

    /// Returns whether the current attempt is at this runner.
    pub fn is_running_on(&self, runner: &VmName) -> bool {
        self.record.lock().stream.as_ref().is_some_and(|location| &location.runner == runner)
    }

    /// Marks the crash of the current attempt's runner as counted against this request.
    ///
    /// Returns `false` if it was counted before, so that it counts once per attempt.
    pub fn mark_crash_counted(&self) -> bool {
        let mut response = self.response.lock();
        !std::mem::replace(&mut response.crash_counted, true)
    }

    /// Returns the number of this owner's next attempt, from 1.
    pub fn next_attempt_number(&self) -> AttemptNumber {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Begins a new attempt; a crash of its runner counts again.
    pub fn begin_attempt(&self, location: StreamLocation) -> RequestRecord {
        self.response.lock().crash_counted = false;
        self.update_record(|record| record.stream = Some(location))
    }

    /// Returns the offset of the next token.
    pub fn next_offset(&self) -> TokenOffset {
        self.response.lock().tokens.len() as TokenOffset
    }

    /// Returns all tokens so far.
    pub fn tokens(&self) -> Vec<String> {
        self.response.lock().tokens.clone()
    }

    /// Returns the progress of the response.
    pub fn progress(&self) -> ResponseProgress {
        self.response.lock().progress.clone()
    }

    /// Returns whether this node is still working on the response.
    pub fn is_running(&self) -> bool {
        self.response.lock().progress == ResponseProgress::Running
    }

    /// Appends tokens and skips those that are known already.
    ///
    /// Returns `false` and appends nothing if tokens before `first_offset` are missing.
    pub fn append_tokens(&self, first_offset: TokenOffset, tokens: Vec<String>) -> bool {
        let mut response = self.response.lock();
        let known = response.tokens.len() as TokenOffset;
        if first_offset > known {
            return false;
        }
        let already = (known - first_offset) as usize;
        let before = response.tokens.len();
        response.last_token_at = Instant::now();
        response.tokens.extend(tokens.into_iter().skip(already));
        let added = (response.tokens.len() - before) as u64;
        drop(response);
        self.charge(added);
        self.notify();
        true
    }

    /// Marks a request that came from another owner, so that its callers may hold text that is
    /// unknown here.
    pub fn mark_inherited(self) -> Self {
        self.inherited.store(true, Ordering::Relaxed);
        self
    }

    /// Marks the text from the current offset on as regenerated.
    ///
    /// Callers of an inherited request may hold later tokens of the lost text and have to drop
    /// them.
    pub fn mark_regenerated(&self) {
        if !self.inherited.swap(false, Ordering::Relaxed) {
            return;
        }
        let from_offset = self.next_offset();
        self.update_record(|record| {
            let epoch = record.epoch;
            record.restarts.push(Restart { epoch, from_offset });
        });
    }

    /// Ends the response; returns `false` if it has ended before, which then has no effect.
    pub fn finish(&self, progress: ResponseProgress) -> bool {
        let mut response = self.response.lock();
        if response.progress != ResponseProgress::Running {
            return false;
        }
        response.progress = progress;
        response.ended_at = Some(Instant::now());
        drop(response);
        *self.permit.lock() = None;
        self.notify();
        true
    }

    /// Reads from an offset without waiting.
    pub fn read(&self, from: TokenOffset) -> ResponseChunk {
        let text_epoch = self.record.lock().text_epoch();
        let mut response = self.response.lock();
        response.last_read_at = Instant::now();
        let start = (from as usize).min(response.tokens.len());
        ResponseChunk {
            tokens: response.tokens[start..].to_vec(),
            progress: response.progress.clone(),
            text_epoch,
        }
    }

    /// Reads from an offset; if there is nothing new, waits up to `wait` for a change.
    pub async fn read_or_wait(&self, from: TokenOffset, wait: Duration) -> ResponseChunk {
        let mut changes = self.changed.subscribe();
        let chunk = self.read(from);
        if !chunk.tokens.is_empty() || chunk.progress != ResponseProgress::Running {
            return chunk;
        }
        let _ = tokio::time::timeout(wait, changes.changed()).await;
        self.read(from)
    }

    /// Adds a reader; a request with readers is not abandoned.
    pub fn attach_reader(&self) {
        self.response.lock().readers += 1;
    }

    /// Removes a reader; the resume window starts when the last one is removed.
    pub fn detach_reader(&self) {
        let mut response = self.response.lock();
        response.readers = response.readers.saturating_sub(1);
        response.last_read_at = Instant::now();
    }

    /// Returns the time since the last token arrived.
    pub fn time_since_last_token(&self) -> Duration {
        self.response.lock().last_token_at.elapsed()
    }

    /// Returns whether nobody has read the response for longer than `window`.
    pub fn is_abandoned(&self, window: Duration) -> bool {
        let response = self.response.lock();
        response.readers == 0 && response.last_read_at.elapsed() > window
    }

    /// Returns whether the request ended longer than `window` ago and has no reader.
    pub fn is_expired(&self, window: Duration) -> bool {
        let response = self.response.lock();
        response.readers == 0 && response.ended_at.is_some_and(|at| at.elapsed() > window)
    }

    fn charge(&self, tokens: u64) {
        if let Some(permit) = self.permit.lock().as_ref() {
            permit.charge(tokens);
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}
