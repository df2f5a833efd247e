//! Model calls as callers send them: chat completions, streamed as server-sent events.
//!
//! `docs/API.md` describes this API for callers.

use serde::{Deserialize, Serialize};

/// Path of model calls.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix below which callers reread, resume or cancel an accepted request.
pub const REQUESTS_PATH: &str = "/v1/requests/";
/// Path prefix below which callers call plain services by name.
pub const SERVICES_PATH: &str = "/v1/services/";
/// Header with the name of the caller's workspace.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// Header with the class of the call; the default is the workspace's first class.
pub const CLASS_HEADER: &str = "x-class";
/// Response header with the request id; it is part of the first bytes that are sent.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with a key that identifies a call, so that a retry by the caller is recognised.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the value `true` when the caller sends an idempotency key for the first time.
///
/// HTTP clients that retry requests on their own must not set it.
pub const FIRST_TRY_HEADER: &str = "x-first-try";
/// Header with the id of the last event that the caller received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Data of the event that ends a complete response.
pub const END_MARKER: &str = "[DONE]";
/// Name of the event after which the caller must drop the text so far, since the response restarts.
pub const RESTART_EVENT: &str = "restart";
/// Name of the event that asks the caller to reconnect, since another node continues the request.
pub const MOVED_EVENT: &str = "moved";
/// Name of the event that carries a problem body and ends the stream for good.
pub const PROBLEM_EVENT: &str = "problem";

/// Request body of a model call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model, as `model` or `model:adapter`.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Largest number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
}

/// Message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Streamed part of a response with one token; the id of its event is the token's offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Request id in hexadecimal.
    pub id: String,
    /// Choices; always exactly one.
    pub choices: Vec<ChunkChoice>,
}

/// Choice in a [`ChatChunk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Index of the choice; always 0.
    pub index: u32,
    /// Text that this chunk adds.
    pub delta: ChunkDelta,
}

/// Added text of a [`ChunkChoice`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// Text of the token.
    pub content: String,
}

/// Response body of a call that does not stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatResponse {
    /// Request id in hexadecimal.
    pub id: String,
    /// Choices; always exactly one.
    pub choices: Vec<ResponseChoice>,
    /// Token counts of the call.
    pub usage: Usage,
}

/// Choice in a [`ChatResponse`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseChoice {
    /// Index of the choice; always 0.
    pub index: u32,
    /// Message with the generated text.
    pub message: ChatMessage,
    /// Reason why the response ended; always `stop` for a complete response.
    pub finish_reason: String,
}

/// Token counts of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the response.
    pub completion_tokens: u64,
}

fn default_max_tokens() -> u64 {
    256
}

impl ChatRequest {
    /// Returns the prompt as one text, in the order in which an engine reads it.
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

/// Counts the tokens of a text as the stand-in engines do: each word is one token.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}
