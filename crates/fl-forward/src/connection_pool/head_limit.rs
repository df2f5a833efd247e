//! Limits the bytes that a server may send until the head of its response is complete.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that a server may send until the head of its response is complete, which includes
/// interim heads. The first bytes of the body may arrive with them.
const HEAD_BYTES_MAX: usize = 512 * 1024;
/// Stands for the time in which no head is expected.
const UNLIMITED: usize = usize::MAX;

/// the server sent more bytes than a response's head may have; they are no response
#[derive(Debug, Clone, Copy, displaydoc::Display, thiserror::Error)]
struct HeadTooLarge;

/// The bytes that a server may still send until its head is complete.
#[derive(Debug, Clone)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    pub(super) fn new() -> Self {
        HeadLimit(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Begins to count, as a request is sent.
    pub(super) fn expect_head(&self) {
        self.0.store(HEAD_BYTES_MAX, Ordering::Relaxed);
    }

    /// Stops to count, as the head is complete.
    pub(super) fn on_head(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> Result<(), HeadTooLarge> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        if bytes > left { Err(HeadTooLarge) } else { Ok(()) }
    }
}

/// A connection to a server; reading fails once a head is larger than the limit.
pub(super) struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    pub(super) fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        HeadLimitedStream { stream, limit }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(self.limit.take(read).map_err(std::io::Error::other))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
