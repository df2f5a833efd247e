//! What a client's connection waits for, and since when its client has not gone on.

use crate::budget::Reservation;
use crate::limits::INCLUDED_BYTES;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes in which a client goes on. One that sends or reads fewer counts as having stopped.
const PROGRESS_BYTES: usize = 1024;

/// The state of a connection, which decides the timeout that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    /// The client may send a request.
    Idle,
    /// The head of a request has begun.
    ReadingHead,
    /// The head is complete; the body may not be.
    ReadingBody,
    /// The node or a server has the request.
    Serving,
}

/// Tracks the requests of a connection, the deadline that follows from them, and the memory that is
/// held for them. Clones share it.
#[derive(Debug, Clone)]
pub struct ConnectionTimer {
    shared: Arc<Mutex<TimerState>>,
}

#[derive(Debug)]
struct TimerState {
    state: ConnectionState,
    /// Number of requests whose heads were complete.
    requests: u64,
    /// Whether the client does not take what is written to it.
    is_write_blocked: bool,
    /// When the connection entered its state, or the client stopped to take what is written.
    turn_began_at: Instant,
    /// When the client last went on, or its turn began.
    progress_at: Instant,
    /// Bytes since then.
    bytes_since: usize,
    head_bytes: usize,
    head_memory: Option<Reservation>,
    held_bytes: usize,
    /// Size of the answer that is being written, if it is known.
    answer_bytes: usize,
    head_timeout: Duration,
    idle_timeout: Duration,
}

/// Shared memory that is held until it is dropped, and counted for the connection that it is for.
#[derive(Debug)]
pub struct HeldBytes {
    timer: Option<ConnectionTimer>,
    reservation: Reservation,
}

impl From<Reservation> for HeldBytes {
    fn from(reservation: Reservation) -> Self {
        HeldBytes { timer: None, reservation }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some(timer) = &self.timer {
            timer.shared.lock().held_bytes -= self.reservation.bytes();
        }
    }
}

/// A request whose head is complete. Dropping it notes that it was answered, and the answer written.
#[derive(Debug)]
pub struct ActiveRequest {
    timer: ConnectionTimer,
    number: u64,
    _head_memory: Option<HeldBytes>,
}

impl ActiveRequest {
    /// Counts memory as held for the connection.
    pub fn hold(&self, reservation: Reservation) -> HeldBytes {
        self.timer.hold(reservation)
    }

    /// Notes the size of the answer that is written next.
    pub fn on_answer(&self, answer_bytes: usize) {
        self.timer.shared.lock().answer_bytes = answer_bytes;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.timer.on_answered(self.number);
    }
}

impl ConnectionTimer {
    /// Creates a timer for an idle connection.
    pub fn new(head_timeout: Duration, idle_timeout: Duration) -> Self {
        let shared = TimerState {
            state: ConnectionState::Idle,
            requests: 0,
            is_write_blocked: false,
            turn_began_at: Instant::now(),
            progress_at: Instant::now(),
            bytes_since: 0,
            head_bytes: 0,
            head_memory: None,
            held_bytes: 0,
            answer_bytes: 0,
            head_timeout,
            idle_timeout,
        };
        ConnectionTimer { shared: Arc::new(Mutex::new(shared)) }
    }

    /// Sets the timeouts of another route table version, used from the next response on.
    pub fn set_timeouts(&self, head_timeout: Duration, idle_timeout: Duration) {
        let mut shared = self.shared.lock();
        shared.head_timeout = head_timeout;
        shared.idle_timeout = idle_timeout;
    }

    /// Stops the timeout once a request's head was received. The idle timeout starts when the request
    /// is dropped.
    pub fn on_head_read(&self) -> ActiveRequest {
        let mut shared = self.shared.lock();
        shared.enter(ConnectionState::ReadingBody);
        shared.requests += 1;
        shared.head_bytes = 0;
        let number = shared.requests;
        let head_memory = shared.head_memory.take();
        drop(shared);
        let _head_memory = head_memory.map(|reservation| self.hold(reservation));
        ActiveRequest { timer: self.clone(), number, _head_memory }
    }

    /// Notes that the whole request was received, so that the client only waits.
    pub fn on_body_read(&self) {
        self.shared.lock().enter(ConnectionState::Serving);
    }

    /// Starts the idle timeout, unless the next request came while the answer was written.
    fn on_answered(&self, number: u64) {
        let mut shared = self.shared.lock();
        if number == shared.requests {
            shared.enter(ConnectionState::Idle);
            shared.answer_bytes = 0;
        }
    }

    /// Counts memory as held for the connection.
    pub fn hold(&self, reservation: Reservation) -> HeldBytes {
        self.shared.lock().held_bytes += reservation.bytes();
        HeldBytes { timer: Some(self.clone()), reservation }
    }

    /// Keeps memory for the head that is being received.
    pub(crate) fn hold_head(&self, reservation: Reservation) {
        self.shared.lock().head_memory = Some(reservation);
    }

    /// Notes bytes that were read. Returns the size of the head that they belong to, 0 if the head was
    /// complete before.
    pub(crate) fn on_bytes_read(&self, bytes: usize) -> usize {
        let mut shared = self.shared.lock();
        if shared.state == ConnectionState::Idle {
            shared.enter(ConnectionState::ReadingHead);
        }
        shared.note_progress(bytes);
        if shared.state != ConnectionState::ReadingHead {
            return 0;
        }
        shared.head_bytes += bytes;
        shared.head_bytes
    }

    /// Notes bytes that the client took; 0 means that it takes none now.
    pub(crate) fn on_bytes_written(&self, bytes: usize) {
        let mut shared = self.shared.lock();
        if bytes > 0 {
            shared.note_progress(bytes);
        } else if !shared.is_write_blocked {
            shared.is_write_blocked = true;
            shared.begin_turn();
        }
    }

    /// Notes that everything was written.
    pub(crate) fn on_flushed(&self) {
        self.shared.lock().is_write_blocked = false;
    }

    /// Returns how much memory the head of the request holds beyond that of the connection.
    pub(crate) fn head_memory_bytes(&self) -> usize {
        self.shared.lock().head_memory.as_ref().map_or(0, Reservation::bytes)
    }

    /// Returns when the connection is closed unless its client goes on; `None` while it waits for the
    /// node, or for a body, which the deadline of its request bounds.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let shared = self.shared.lock();
        match shared.state {
            _ if shared.is_write_blocked => Some(shared.progress_at + shared.idle_timeout),
            ConnectionState::Idle => Some(shared.progress_at + shared.idle_timeout),
            ConnectionState::ReadingHead => Some(shared.turn_began_at + shared.head_timeout),
            ConnectionState::ReadingBody | ConnectionState::Serving => None,
        }
    }

    /// Returns whether the connection waits for a next request.
    pub(crate) fn is_idle(&self) -> bool {
        let shared = self.shared.lock();
        shared.state == ConnectionState::Idle && !shared.is_write_blocked
    }

    /// Returns whether a body is being received, so that a response can still refuse its request.
    pub(crate) fn is_reading_body(&self) -> bool {
        self.shared.lock().state == ConnectionState::ReadingBody
    }

    /// Returns since when the client has not gone on; `None` while it waits for the node.
    pub(crate) fn stopped_at(&self) -> Option<Instant> {
        let shared = self.shared.lock();
        let waits_for_client = shared.is_write_blocked || shared.state != ConnectionState::Serving;
        waits_for_client.then_some(shared.progress_at)
    }

    /// Returns the shared memory that is held for the connection, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        let shared = self.shared.lock();
        let head_bytes = shared.head_memory.as_ref().map_or(0, Reservation::bytes);
        let answer_bytes = Some(shared.answer_bytes).filter(|bytes| *bytes > INCLUDED_BYTES);
        shared.held_bytes + head_bytes + answer_bytes.unwrap_or(0)
    }
}

impl TimerState {
    fn enter(&mut self, state: ConnectionState) {
        self.state = state;
        self.begin_turn();
    }

    fn begin_turn(&mut self) {
        self.turn_began_at = Instant::now();
        self.progress_at = self.turn_began_at;
        self.bytes_since = 0;
    }

    fn note_progress(&mut self, bytes: usize) {
        self.bytes_since += bytes;
        if self.bytes_since >= PROGRESS_BYTES {
            self.progress_at = Instant::now();
            self.bytes_since = 0;
        }
    }
}
