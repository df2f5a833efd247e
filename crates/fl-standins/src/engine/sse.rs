//! The response body of a stream, as server-sent events.

use super::stream::{Phase, Stream};
use bytes::Bytes;
use fl_protocol::TokenOffset;
use fl_protocol::chat::END_MARKER;
use futures::stream;
use hyper::body::Frame;
use std::convert::Infallible;
use std::fmt::Write as _;
use std::sync::Arc;
use tokio::sync::watch;

/// Tokens sent in one body frame at most.
const MAX_TOKENS_PER_FRAME: u64 = 512;
/// Buffer space reserved for one event, in bytes.
const EVENT_CAPACITY_BYTES: usize = 64;

/// The position of one reader in a stream.
struct Reader {
    stream: Arc<Stream>,
    progress: watch::Receiver<super::stream::Progress>,
    next: TokenOffset,
    sent_end_marker: bool,
}

/// Returns the body from the given offset on. The body of a cancelled stream ends without the end
/// marker.
pub(crate) fn body_frames(
    stream: Arc<Stream>,
    from: TokenOffset,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send {
    let progress = stream.progress.subscribe();
    let reader = Reader { stream, progress, next: from, sent_end_marker: false };
    stream::unfold(reader, |mut reader| async {
        let bytes = reader.next_frame().await?;
        Some((Ok(Frame::data(bytes)), reader))
    })
}

impl Reader {
    /// Waits for the next frame; `None` ends the body.
    async fn next_frame(&mut self) -> Option<Bytes> {
        loop {
            if self.sent_end_marker {
                return None;
            }
            let progress = *self.progress.borrow_and_update();
            if self.next < progress.next {
                return Some(self.format_tokens(progress.next));
            }
            match progress.phase {
                Phase::Running => self.progress.changed().await.ok()?,
                Phase::Cancelled => return None,
                Phase::Complete => {
                    self.sent_end_marker = true;
                    return Some(Bytes::from(format!("data: {END_MARKER}\n\n")));
                }
            }
        }
    }

    fn format_tokens(&mut self, ready: TokenOffset) -> Bytes {
        let end = ready.min(self.next + MAX_TOKENS_PER_FRAME);
        let mut text = String::with_capacity((end - self.next) as usize * EVENT_CAPACITY_BYTES);
        for offset in self.next..end {
            // Writing to a String cannot fail.
            let tail = &self.stream.token_tail;
            let _ = write!(text, "id: {offset}\ndata: {{\"text\":\"{offset}{tail}\"}}\n\n");
        }
        self.next = end;
        Bytes::from(text)
    }
}
