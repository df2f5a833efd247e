//! The open connections of one kind, and which of them is closed when there is room for no more.

use crate::connection_timer::ConnectionTimer;
use crate::limits::SOCKET_BUFFER_BYTES;
use parking_lot::Mutex;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A client that has not gone on for this long may lose its connection to others. A sound client on
/// a slow link sends or reads something more often.
const STOPPED_TIME_MIN: Duration = Duration::from_secs(1);
/// Pause after a failure to accept, such as when the process has no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of a connection in its table; later connections have greater ones.
type ConnectionNumber = u64;

/// The open connections of one kind. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    name: &'static str,
    connections_max: usize,
    free: Arc<Semaphore>,
    open: Mutex<OpenConnections>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_number: ConnectionNumber,
    /// Sorted by number.
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    number: ConnectionNumber,
    timer: ConnectionTimer,
    closing: CancellationToken,
}

/// The place of an open connection in its table, which is free again when it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    table: ConnectionTable,
    number: ConnectionNumber,
    timer: ConnectionTimer,
    closing: CancellationToken,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionTable {
    /// Creates an empty table; `name` stands in metrics.
    pub fn new(name: &'static str, connections_max: usize) -> Self {
        let shared = Shared {
            name,
            connections_max,
            free: Arc::new(Semaphore::new(connections_max)),
            open: Mutex::default(),
        };
        ConnectionTable { shared: Arc::new(shared) }
    }

    /// Accepts the next connection that there is room for. Its timer has these timeouts.
    ///
    /// If the table is full, the connection is closed whose client has not gone on for the longest
    /// time: first those without a request, then those that stopped in the middle of one. If all go
    /// on, the new connection is closed unread, so that its client knows that nothing has run.
    pub async fn accept(
        &self,
        listener: &TcpListener,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> (TcpStream, SocketAddr, ConnectionSlot) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                self.count_closed("not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Some(permit) = self.take_place().await else {
                self.count_closed("no room");
                continue;
            };
            limit_buffers(&stream);
            let timer = ConnectionTimer::new(head_timeout, idle_timeout);
            return (stream, address, self.insert(timer, permit));
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.connections_max - self.shared.free.available_permits()
    }

    /// Returns the most connections that may be open.
    pub fn connections_max(&self) -> usize {
        self.shared.connections_max
    }

    async fn take_place(&self) -> Option<OwnedSemaphorePermit> {
        let free = self.shared.free.clone();
        if let Ok(permit) = free.clone().try_acquire_owned() {
            return Some(permit);
        }
        if !self.close_longest_stopped() {
            return None;
        }
        free.acquire_owned().await.ok()
    }

    fn insert(&self, timer: ConnectionTimer, permit: OwnedSemaphorePermit) -> ConnectionSlot {
        let closing = CancellationToken::new();
        let mut open = self.shared.open.lock();
        let number = open.next_number;
        open.next_number += 1;
        open.entries.push(Entry { number, timer: timer.clone(), closing: closing.clone() });
        ConnectionSlot { table: self.clone(), number, timer, closing, _permit: permit }
    }

    /// Closes the connection whose client has not gone on for the longest time. Returns whether there
    /// is one.
    fn close_longest_stopped(&self) -> bool {
        let now = Instant::now();
        let may_close = |entry: &Entry| {
            let stopped_at = entry.timer.stopped_at()?;
            let is_idle = entry.timer.is_idle();
            let is_stopped = is_idle || now.duration_since(stopped_at) >= STOPPED_TIME_MIN;
            is_stopped.then_some((!is_idle, stopped_at))
        };
        self.close_first(may_close, "table full").is_some()
    }

    /// Closes the connection that holds shared memory and whose client has not gone on for the
    /// longest time. Returns the bytes that this will free; `None` if there is no such connection.
    pub(crate) fn close_stopped_holder(&self) -> Option<usize> {
        let now = Instant::now();
        let may_close = |entry: &Entry| {
            let stopped_at = entry.timer.stopped_at()?;
            let is_stopped = now.duration_since(stopped_at) >= STOPPED_TIME_MIN;
            (is_stopped && entry.timer.held_bytes() > 0).then_some(stopped_at)
        };
        let closed = self.close_first(may_close, "memory short")?;
        Some(closed.held_bytes())
    }

    /// Closes the connection for which `rank` returns the least value.
    fn close_first<R: Ord>(
        &self,
        rank: impl Fn(&Entry) -> Option<R>,
        reason: &'static str,
    ) -> Option<ConnectionTimer> {
        let mut open = self.shared.open.lock();
        let ranked = open.entries.iter().enumerate();
        let candidates = ranked.filter_map(|(index, entry)| Some((rank(entry)?, index)));
        let (_, index) = candidates.min()?;
        let entry = open.entries.remove(index);
        entry.closing.cancel();
        self.count_closed(reason);
        Some(entry.timer)
    }

    fn remove(&self, number: ConnectionNumber) {
        let mut open = self.shared.open.lock();
        if let Ok(index) = open.entries.binary_search_by_key(&number, |entry| entry.number) {
            open.entries.remove(index);
        }
    }

    fn count_closed(&self, reason: &'static str) {
        let labels = [("clients", self.shared.name), ("reason", reason)];
        metrics::counter!("fl_client_connections_closed_total", &labels).increment(1);
    }
}

impl ConnectionSlot {
    /// Returns the timer of the connection.
    pub fn timer(&self) -> &ConnectionTimer {
        &self.timer
    }

    /// Returns the token that is cancelled when the connection has to make room for others.
    pub fn closing(&self) -> &CancellationToken {
        &self.closing
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.remove(self.number);
    }
}

/// Bounds what the kernel keeps for a connection, or for those that wait to be accepted by a listener.
/// If that fails, they take more memory and work all the same.
pub fn limit_buffers<'a>(socket: impl Into<SockRef<'a>>) {
    let socket = socket.into();
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
}
