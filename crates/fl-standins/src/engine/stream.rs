//! The state of a stream that its readers follow.

use fl_protocol::TokenOffset;
use fl_protocol::engine::{StreamRequest, stand_in_token};
use tokio::sync::watch;

/// How far a stream has been generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The offset of the next token to be generated.
    pub(crate) next: TokenOffset,
    pub(crate) phase: Phase,
}

/// Whether a stream still generates tokens, and if not, how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Running,
    Complete,
    Cancelled,
}

/// The part of a stream that its readers need. The text is derived from the prompt, so none is
/// stored.
pub(crate) struct Stream {
    pub(crate) id: String,
    /// The offset of the first token; above 0 when the stream continues an earlier one.
    pub(crate) first: TokenOffset,
    /// The offset behind the last token.
    pub(crate) end: TokenOffset,
    /// The text of each token after its offset; the same for all tokens of a prompt.
    pub(crate) token_tail: String,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Stream {
    pub(crate) fn new(id: String, request: &StreamRequest) -> Stream {
        let first = request.continue_tokens;
        let first_token = stand_in_token(&request.prompt, 0);
        let progress = Progress { next: first, phase: Phase::Running };
        Stream {
            id,
            first,
            end: request.max_tokens.max(first),
            token_tail: first_token[1..].to_string(),
            progress: watch::Sender::new(progress),
        }
    }
}
