//! Bounds how long a connection may stay idle and how long a request's head may take.
//!
//! The HTTP library has one timeout for both, but an idle connection may live much longer than a
//! head that arrives byte by byte.

use parking_lot::Mutex;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Head,
    Serving,
}

/// Tells the connection when requests begin and end.
#[derive(Debug, Clone)]
pub struct ConnectionTimer {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    phase: Phase,
    deadline: Option<Instant>,
    head_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionTimer {
    /// Starts with an idle connection.
    pub fn new(head_timeout: Duration, idle_timeout: Duration) -> Self {
        let shared = Shared {
            phase: Phase::Idle,
            deadline: Some(Instant::now() + idle_timeout),
            head_timeout,
            idle_timeout,
        };
        ConnectionTimer { shared: Arc::new(Mutex::new(shared)) }
    }

    /// Takes the timeouts of another version; they count from the next answer on.
    pub fn set_timeouts(&self, head_timeout: Duration, idle_timeout: Duration) {
        let mut shared = self.shared.lock();
        shared.head_timeout = head_timeout;
        shared.idle_timeout = idle_timeout;
    }

    /// Takes word that a request's head is whole.
    pub fn on_head_read(&self) {
        let mut shared = self.shared.lock();
        shared.phase = Phase::Serving;
        shared.deadline = None;
    }

    /// Takes word that a request was answered.
    pub fn on_answered(&self) {
        let mut shared = self.shared.lock();
        shared.phase = Phase::Idle;
        shared.deadline = Some(Instant::now() + shared.idle_timeout);
    }

    fn bytes_read(&self) {
        let mut shared = self.shared.lock();
        if shared.phase == Phase::Idle {
            shared.phase = Phase::Head;
            shared.deadline = Some(Instant::now() + shared.head_timeout);
        }
    }

    fn deadline(&self) -> Option<Instant> {
        self.shared.lock().deadline
    }
}

/// A connection whose reads fail once its time is over.
pub struct TimedConnection<C> {
    connection: C,
    timer: ConnectionTimer,
    sleep: Pin<Box<Sleep>>,
}

impl<C> TimedConnection<C> {
    /// Bounds a connection by a timer.
    pub fn new(connection: C, timer: ConnectionTimer) -> Self {
        let deadline = timer.deadline().unwrap_or_else(Instant::now);
        let sleep = Box::pin(tokio::time::sleep_until(deadline));
        TimedConnection { connection, timer, sleep }
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let Some(deadline) = self.timer.deadline() else { return Poll::Pending };
        if self.sleep.deadline() != deadline {
            self.sleep.as_mut().reset(deadline);
        }
        let expired = self.sleep.as_mut().poll(cx);
        expired.map(|()| io::Error::new(io::ErrorKind::TimedOut, "the caller took too long"))
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for TimedConnection<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(error) = self.poll_deadline(cx) {
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.connection).poll_read(cx, buffer);
        if buffer.filled().len() > filled {
            self.timer.bytes_read();
        }
        read
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for TimedConnection<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write_vectored(cx, buffers)
    }
}
