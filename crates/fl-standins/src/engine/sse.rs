//! The body of a stream's answer as server-sent events.

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

/// Tokens that share a write at most.
const TOKENS_PER_WRITE: u64 = 512;
/// Room for one event, in bytes.
const EVENT_BYTES: usize = 64;

struct Reader {
    stream: Arc<Stream>,
    progress: watch::Receiver<super::stream::Progress>,
    next: TokenOffset,
    ended: bool,
}

/// Streams the events from one offset on; a cancelled stream ends without its end marker.
pub(crate) fn events(
    stream: Arc<Stream>,
    from: TokenOffset,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send {
    let progress = stream.progress.subscribe();
    let reader = Reader { stream, progress, next: from, ended: false };
    stream::unfold(reader, |mut reader| async {
        let bytes = reader.read().await?;
        Some((Ok(Frame::data(bytes)), reader))
    })
}

impl Reader {
    /// Waits for the next write; `None` ends the body.
    async fn read(&mut self) -> Option<Bytes> {
        loop {
            if self.ended {
                return None;
            }
            let progress = *self.progress.borrow_and_update();
            if self.next < progress.next {
                return Some(self.write_tokens(progress.next));
            }
            match progress.phase {
                Phase::Running => self.progress.changed().await.ok()?,
                Phase::Cancelled => return None,
                Phase::Whole => {
                    self.ended = true;
                    return Some(Bytes::from(format!("data: {END_MARKER}\n\n")));
                }
            }
        }
    }

    fn write_tokens(&mut self, ready: TokenOffset) -> Bytes {
        let end = ready.min(self.next + TOKENS_PER_WRITE);
        let mut text = String::with_capacity((end - self.next) as usize * EVENT_BYTES);
        for offset in self.next..end {
            // Writing into a String cannot fail.
            let tail = &self.stream.token_tail;
            let _ = write!(text, "id: {offset}\ndata: {{\"text\":\"{offset}{tail}\"}}\n\n");
        }
        self.next = end;
        Bytes::from(text)
    }
}
