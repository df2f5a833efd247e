//! Timeouts of a caller's connection: between requests, and for receiving a request's head.
//!
//! The HTTP library has one timeout for both, but an idle connection may stay open much longer than
//! a slow head is allowed to take.

use parking_lot::Mutex;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// The state of a connection, which decides the timeout that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Idle,
    ReadingHead,
    Serving,
}

/// Tracks the requests of a connection and the deadline that follows from them.
#[derive(Debug, Clone)]
pub struct ConnectionTimer {
    shared: Arc<Mutex<TimerState>>,
}

#[derive(Debug)]
struct TimerState {
    state: ConnectionState,
    deadline: Option<Instant>,
    head_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionTimer {
    /// Creates a timer for an idle connection.
    pub fn new(head_timeout: Duration, idle_timeout: Duration) -> Self {
        let shared = TimerState {
            state: ConnectionState::Idle,
            deadline: Some(Instant::now() + idle_timeout),
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

    /// Stops the timeout once a request's head was received.
    pub fn on_head_read(&self) {
        let mut shared = self.shared.lock();
        shared.state = ConnectionState::Serving;
        shared.deadline = None;
    }

    /// Starts the idle timeout once a request was answered.
    pub fn on_answered(&self) {
        let mut shared = self.shared.lock();
        shared.state = ConnectionState::Idle;
        shared.deadline = Some(Instant::now() + shared.idle_timeout);
    }

    fn on_bytes_read(&self) {
        let mut shared = self.shared.lock();
        if shared.state == ConnectionState::Idle {
            shared.state = ConnectionState::ReadingHead;
            shared.deadline = Some(Instant::now() + shared.head_timeout);
        }
    }

    fn deadline(&self) -> Option<Instant> {
        self.shared.lock().deadline
    }
}

/// A connection whose reads fail once the timer's deadline has passed.
pub struct TimedConnection<C> {
    connection: C,
    timer: ConnectionTimer,
    sleep: Pin<Box<Sleep>>,
}

impl<C> TimedConnection<C> {
    /// Wraps a connection so that its reads observe the timer.
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
        expired.map(|()| io::Error::new(io::ErrorKind::TimedOut, "reading a request timed out"))
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
            self.timer.on_bytes_read();
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
