//! The callers' shape of model calls: the usual chat completions, streamed as server-sent events.
//!
//! `docs/API.md` is the page for callers.

use serde::{Deserialize, Serialize};

/// The path of model calls.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path below which an accepted request is read again, resumed or cancelled.
pub const REQUESTS_PATH: &str = "/v1/requests/";
/// The path below which plain services are called by name.
pub const SERVICES_PATH: &str = "/v1/services/";
/// Names the workspace.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// Names the class of the call; without it the workspace's first class counts.
pub const CLASS_HEADER: &str = "x-class";
/// Carries the request id, from the first header bytes on.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Names a call, so that sending it again is recognised.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Says `true` when the caller sends an idempotency key for the first time, and not by a client
/// that repeats requests on its own.
pub const FIRST_TRY_HEADER: &str = "x-first-try";
/// Carries the id of the last event the caller has seen.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// The data of the event that ends a whole answer.
pub const END_MARKER: &str = "[DONE]";
/// The name of the event that tells the caller to drop what it has: the answer starts again.
pub const RESTART_EVENT: &str = "restart";
/// The name of the event that asks the caller to reconnect; the request goes on elsewhere.
pub const MOVED_EVENT: &str = "moved";
/// The name of the event that carries a problem body and ends a stream for good.
pub const PROBLEM_EVENT: &str = "problem";

/// A model call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model, as `model` or `model:adapter`.
    pub model: String,
    /// The conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Tokens to generate at most.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// One streamed part of an answer; its event id is the offset of its token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The request id in hexadecimal.
    pub id: String,
    /// Always one choice.
    pub choices: Vec<ChunkChoice>,
}

/// The choice inside a [`ChatChunk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// What is new.
    pub delta: ChunkDelta,
}

/// The new text of a [`ChunkChoice`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// The token's text.
    pub content: String,
}

/// A whole answer, for calls that do not stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatResponse {
    /// The request id in hexadecimal.
    pub id: String,
    /// Always one choice.
    pub choices: Vec<AnswerChoice>,
    /// What it took.
    pub usage: Usage,
}

/// The choice inside a [`ChatResponse`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
    /// Always `stop` for a whole answer.
    pub finish_reason: String,
}

/// Tokens of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

fn default_max_tokens() -> u64 {
    256
}

impl ChatRequest {
    /// The prompt as one text, in the order an engine reads it.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }
}

/// Counts the tokens of a text the way the engines here do: a token a word.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}
