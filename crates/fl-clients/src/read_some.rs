//! Reads that keep the buffers of the HTTP library small.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};

/// Most bytes that one read returns, since the HTTP library's buffer grows with its last reads.
const READ_BYTES_MAX: usize = 16 * 1024;

/// Reads at most 16 KiB from a connection; returns how many bytes were read.
pub(crate) fn poll_read_some<C: AsyncRead>(
    connection: Pin<&mut C>,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    if buffer.remaining() <= READ_BYTES_MAX {
        let before = buffer.filled().len();
        ready!(connection.poll_read(cx, buffer))?;
        return Poll::Ready(Ok(buffer.filled().len() - before));
    }
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(READ_BYTES_MAX));
    ready!(connection.poll_read(cx, &mut part))?;
    let bytes = part.filled().len();
    buffer.advance(bytes);
    Poll::Ready(Ok(bytes))
}
