//! A TCP connection that can be silenced permanently: writes are discarded and reads never
//! complete, as if the network dropped every packet.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection with the flag that silences it.
pub(crate) struct SilenceableStream {
    inner: TcpStream,
    silent: Arc<AtomicBool>,
}

impl SilenceableStream {
    pub(crate) fn new(inner: TcpStream, silent: Arc<AtomicBool>) -> Self {
        SilenceableStream { inner, silent }
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

impl AsyncRead for SilenceableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(ctx, buffer)
    }
}

impl AsyncWrite for SilenceableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(ctx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(ctx)
    }

    /// Leaves a silenced connection open, since the peer would notice that it closes.
    fn poll_shutdown(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(ctx)
    }
}
