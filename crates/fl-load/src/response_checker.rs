//! Checks that a streamed response is complete and belongs to the caller's own request.

use crate::sse::SseEvent;
use fl_protocol::TokenOffset;
use fl_protocol::chat::{
    ChatChunk, ChatRequest, END_MARKER, MOVED_EVENT, PROBLEM_EVENT, RESTART_EVENT,
};
use fl_protocol::engine::stand_in_token;

/// What a server-sent event means for the response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseEvent {
    /// The expected next token.
    Token,
    /// An event without content, such as a comment.
    Ignored,
    /// The response starts again from its first token.
    Restart,
    /// The request continues at another node, to which the caller has to reconnect.
    Moved,
    /// The end of a response with all of its tokens.
    Complete,
    /// The request failed. Holds the problem body as JSON.
    Problem(String),
    /// An event that does not belong to this response or is out of order. Holds a description.
    Mismatch(String),
}

/// Compares the events of one response with the tokens expected for its prompt.
#[derive(Debug, Clone)]
pub struct ResponseChecker {
    /// The text that follows the offset in every token of the response.
    token_suffix: String,
    max_tokens: TokenOffset,
    next_offset: TokenOffset,
}

impl ResponseChecker {
    /// Creates a checker for the response to a request.
    pub fn new(request: &ChatRequest) -> ResponseChecker {
        let first_token = stand_in_token(&request.prompt_text(), 0);
        let token_suffix = first_token[1..].to_string();
        ResponseChecker { token_suffix, max_tokens: request.max_tokens, next_offset: 0 }
    }

    /// Returns the offset of the next expected token, which is also the number of tokens received
    /// since the response last started.
    pub fn next_offset(&self) -> TokenOffset {
        self.next_offset
    }

    /// Checks one event and advances the expected offset.
    pub fn check_event(&mut self, event: &SseEvent) -> ResponseEvent {
        match event.name.as_str() {
            RESTART_EVENT => {
                self.next_offset = 0;
                ResponseEvent::Restart
            }
            MOVED_EVENT => ResponseEvent::Moved,
            PROBLEM_EVENT => ResponseEvent::Problem(event.data.clone()),
            _ if event.data.is_empty() => ResponseEvent::Ignored,
            _ if event.data == END_MARKER => self.check_end(),
            _ => self.check_token(event),
        }
    }

    fn check_end(&self) -> ResponseEvent {
        if self.next_offset == self.max_tokens {
            return ResponseEvent::Complete;
        }
        ResponseEvent::Mismatch(format!(
            "end after {} of {} tokens",
            self.next_offset, self.max_tokens
        ))
    }

    fn check_token(&mut self, event: &SseEvent) -> ResponseEvent {
        let chunk: ChatChunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(error) => return ResponseEvent::Mismatch(format!("no chunk: {error}")),
        };
        let id = event.id.as_deref().and_then(|id| id.parse::<TokenOffset>().ok());
        let content = chunk.choices.first().map(|choice| choice.delta.content.as_str());
        let expected = format!("{}{}", self.next_offset, self.token_suffix);
        if id != Some(self.next_offset) || content != Some(expected.as_str()) {
            let (id, content) = (event.id.as_deref(), content.unwrap_or_default());
            return ResponseEvent::Mismatch(format!(
                "token {id:?} {content:?}, expected {expected:?}"
            ));
        }
        self.next_offset += 1;
        ResponseEvent::Token
    }
}
