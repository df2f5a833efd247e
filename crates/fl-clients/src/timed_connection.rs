//! A connection that observes its timer and takes no more memory than it has reserved.

use crate::connection_timer::ConnectionTimer;
use crate::limits::INCLUDED_BYTES;
use crate::read_some::poll_read_some;
use crate::reserved_buffer::NoMemory;
use crate::resources::ClientResources;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// Memory that a head may take for each of its bytes: the library's buffer grows by doubling, and the
/// parsed head holds copies.
const HEAD_MEMORY_FACTOR: usize = 4;

/// Memory that is being reserved for a head.
type HeadReservation =
    Pin<Box<dyn Future<Output = Result<crate::budget::Reservation, NoMemory>> + Send>>;

/// A connection whose reads and writes fail once the timer's deadline has passed, and whose reads wait
/// for the memory that a large head needs.
pub struct TimedConnection<C> {
    connection: C,
    timer: ConnectionTimer,
    resources: Option<ClientResources>,
    head_reservation: Option<HeadReservation>,
    sleep: Pin<Box<Sleep>>,
}

impl<C> TimedConnection<C> {
    /// Wraps a connection so that its reads and writes observe the timer.
    pub fn new(connection: C, timer: ConnectionTimer) -> Self {
        let deadline = timer.deadline().unwrap_or_else(Instant::now);
        let sleep = Box::pin(tokio::time::sleep_until(deadline));
        TimedConnection { connection, timer, resources: None, head_reservation: None, sleep }
    }

    /// Takes the memory for large heads from these resources.
    pub fn with_resources(self, resources: ClientResources) -> Self {
        TimedConnection { resources: Some(resources), ..self }
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let Some(deadline) = self.timer.deadline() else { return Poll::Pending };
        if self.sleep.deadline() != deadline {
            self.sleep.as_mut().reset(deadline);
        }
        let expired = self.sleep.as_mut().poll(cx);
        expired.map(|()| io::Error::new(io::ErrorKind::TimedOut, "the client did not go on"))
    }

    /// Waits for the memory that the head needs, if some is being reserved.
    fn poll_head_memory(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(reserving) = &mut self.head_reservation else { return Poll::Ready(Ok(())) };
        let reserved = ready!(reserving.as_mut().poll(cx));
        self.head_reservation = None;
        Poll::Ready(match reserved {
            Ok(reservation) => {
                self.timer.hold_head(reservation);
                Ok(())
            }
            Err(error) => Err(io::Error::new(io::ErrorKind::OutOfMemory, error)),
        })
    }

    /// Begins to reserve memory for a head of this size, unless it has enough.
    fn reserve_head(&mut self, head_bytes: usize) {
        let Some(resources) = &self.resources else { return };
        let needed_bytes = head_bytes * HEAD_MEMORY_FACTOR;
        if head_bytes <= INCLUDED_BYTES || needed_bytes <= self.timer.head_memory_bytes() {
            return;
        }
        let resources = resources.clone();
        let bytes = needed_bytes.next_power_of_two();
        self.head_reservation = Some(Box::pin(async move { resources.reserve(bytes).await }));
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
        ready!(self.poll_head_memory(cx))?;
        let bytes = ready!(poll_read_some(Pin::new(&mut self.connection), cx, buffer))?;
        if bytes > 0 {
            let head_bytes = self.timer.on_bytes_read(bytes);
            self.reserve_head(head_bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> TimedConnection<C> {
    /// Notes the result of a write; fails if the client has taken nothing for too long.
    fn on_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => self.timer.on_bytes_written(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                self.timer.on_bytes_written(0);
                return self.poll_deadline(cx).map(Err);
            }
        }
        written
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for TimedConnection<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection).poll_write(cx, bytes);
        self.on_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.connection).poll_flush(cx);
        if flushed.is_ready() {
            self.timer.on_flushed();
        }
        flushed
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
        let written = Pin::new(&mut self.connection).poll_write_vectored(cx, buffers);
        self.on_write(cx, written)
    }
}
