//! Checks that an answer is whole and its caller's own.

use crate::sse::SseEvent;
use fl_protocol::TokenOffset;
use fl_protocol::chat::{
    ChatChunk, ChatRequest, END_MARKER, MOVED_EVENT, PROBLEM_EVENT, RESTART_EVENT,
};
use fl_protocol::engine::stand_in_token;

/// What an event meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseEvent {
    /// The next token arrived.
    Token,
    /// Nothing to do, such as for a comment.
    Ignored,
    /// The answer starts again.
    Restart,
    /// The request goes on elsewhere; reconnect.
    Moved,
    /// The answer is whole.
    Complete,
    /// The answer will not come; the problem body.
    Problem(String),
    /// The event does not belong to this answer, or not here; what was wrong.
    Mismatch(String),
}

/// The state of one answer as its caller sees it.
#[derive(Debug, Clone)]
pub struct ResponseChecker {
    /// What follows the offset in each of the answer's tokens.
    token_tail: String,
    max_tokens: TokenOffset,
    next: TokenOffset,
}

impl ResponseChecker {
    /// Expects the answer of a call.
    pub fn new(request: &ChatRequest) -> ResponseChecker {
        let first_token = stand_in_token(&request.prompt_text(), 0);
        let token_tail = first_token[1..].to_string();
        ResponseChecker { token_tail, max_tokens: request.max_tokens, next: 0 }
    }

    /// The offset of the token that comes next.
    pub fn next_offset(&self) -> TokenOffset {
        self.next
    }

    /// Takes one event.
    pub fn check_event(&mut self, event: &SseEvent) -> ResponseEvent {
        match event.name.as_str() {
            RESTART_EVENT => {
                self.next = 0;
                ResponseEvent::Restart
            }
            MOVED_EVENT => ResponseEvent::Moved,
            PROBLEM_EVENT => ResponseEvent::Problem(event.data.clone()),
            _ if event.data.is_empty() => ResponseEvent::Ignored,
            _ if event.data == END_MARKER => self.end(),
            _ => self.take_token(event),
        }
    }

    fn end(&self) -> ResponseEvent {
        if self.next == self.max_tokens {
            return ResponseEvent::Complete;
        }
        ResponseEvent::Mismatch(format!("end after {} of {} tokens", self.next, self.max_tokens))
    }

    fn take_token(&mut self, event: &SseEvent) -> ResponseEvent {
        let chunk: ChatChunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(error) => return ResponseEvent::Mismatch(format!("no chunk: {error}")),
        };
        let id = event.id.as_deref().and_then(|id| id.parse::<TokenOffset>().ok());
        let content = chunk.choices.first().map(|choice| choice.delta.content.as_str());
        let expected = format!("{}{}", self.next, self.token_tail);
        if id != Some(self.next) || content != Some(expected.as_str()) {
            let (id, content) = (event.id.as_deref(), content.unwrap_or_default());
            return ResponseEvent::Mismatch(format!(
                "token {id:?} {content:?}, expected {expected:?}"
            ));
        }
        self.next += 1;
        ResponseEvent::Token
    }
}
