//! A stream as its readers see it.

use fl_protocol::TokenOffset;
use fl_protocol::engine::{StreamRequest, stand_in_token};
use tokio::sync::watch;

/// How far a stream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The offset of the next token to be generated.
    pub(crate) next: TokenOffset,
    pub(crate) phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Running,
    Whole,
    Cancelled,
}

/// What readers need of a stream; its text follows from the prompt, so none is stored.
pub(crate) struct Stream {
    pub(crate) id: String,
    /// The offset of its first token.
    pub(crate) first: TokenOffset,
    /// Tokens of the whole answer.
    pub(crate) end: TokenOffset,
    /// What follows the offset in the text of each token.
    pub(crate) token_tail: String,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Stream {
    pub(crate) fn new(id: String, order: &StreamRequest) -> Stream {
        let first = order.continue_tokens;
        let first_token = stand_in_token(&order.prompt, 0);
        let progress = Progress { next: first, phase: Phase::Running };
        Stream {
            id,
            first,
            end: order.max_tokens.max(first),
            token_tail: first_token[1..].to_string(),
            progress: watch::Sender::new(progress),
        }
    }
}
