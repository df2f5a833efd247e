//! The published protocol of model engines, in HTTP and JSON.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/streams/{stream_id}` with [`StreamRequest`] | starts a stream; answers SSE: `id: <offset>`, `data: <StreamToken>`, at the end `data: [DONE]` |
//! | `GET /v1/streams/{stream_id}?from=N` | resumes a stream from token N (404: not known here) |
//! | `DELETE /v1/streams/{stream_id}` | cancels a stream and frees its slot |
//! | `GET /v1/load` | [`LoadReport`], which lags |
//! | `GET /v1/cache-events?after=N` | [`CacheEvent`]s above sequence number N, late and with gaps |
//! | `GET /v1/state` | [`EngineState`] |
//! | `POST /v1/orders` with [`EngineOrder`] | loads, unloads, changes role; 409 with a stale fencing number on engines that check it |
//! | `POST /v1/kv/export`, `POST /v1/kv/import` with [`KvBlocks`] | exports and imports cached prefixes |
//!
//! A stream id may be started once; a second start with the same id answers 409.

use crate::configuration::Priority;
use crate::ids::*;
use serde::{Deserialize, Serialize};

/// Tokens of prompt in one block of an engine's prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Starts a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// The model, as `model` or `model:adapter`.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Text of the answer that exists already and is to be continued.
    pub continue_text: String,
    /// Tokens in `continue_text`; the first new token has this offset.
    pub continue_tokens: TokenOffset,
    /// Tokens of the whole answer, `continue_tokens` included.
    pub max_tokens: u64,
    /// Its place in the engine's queue.
    pub priority: Priority,
}

/// One token of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamToken {
    /// Its text, with the space that parts it from the next.
    pub text: String,
}

/// What an engine says of its load; true at `as_of_ms`, not when it is read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When it was true, on the engine's clock.
    pub as_of_ms: UnixMs,
    /// Streams in the batch.
    pub running: u32,
    /// Streams that wait.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u64,
    /// Streams the batch holds at most.
    pub slots: u32,
    /// Prompt tokens a second it computes.
    pub prefill_tokens_per_s: u64,
    /// Time between two tokens now, in milliseconds.
    pub between_tokens_ms: u64,
    /// Prompt tokens computed since it started.
    pub prefilled_tokens_total: u64,
    /// Prompt tokens found in the cache since it started.
    pub cached_tokens_total: u64,
    /// Tokens generated since it started.
    pub generated_tokens_total: u64,
    /// When its VM goes away, if that was announced.
    pub leaving_at_ms: Option<UnixMs>,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one an event; a gap means that events were lost.
    pub sequence: u64,
    /// What happened to the block.
    pub change: CacheChange,
    /// The block, by the chained hash of [`block_hashes`].
    pub block: BlockHash,
}

/// What happened to a cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// The cache events an engine still has above the sequence number asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, by sequence number.
    pub events: Vec<CacheEvent>,
}

/// What an engine holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Loaded models and adapters, sorted, as `model` or `model:adapter`.
    pub models: Vec<ModelName>,
    /// Its role: `serve` or `standby`.
    pub role: String,
    /// The greatest fencing number it has seen; engines that ignore the number answer 0.
    pub fencing: FencingToken,
}

/// An order to an engine; absolute, so that obeying it twice changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the lease under which it is given.
    pub fencing: FencingToken,
    /// The models it shall hold, sorted.
    pub models: Vec<ModelName>,
    /// The role it shall have.
    pub role: String,
}

/// Cached blocks on the move.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlocks {
    /// The blocks.
    pub blocks: Vec<BlockHash>,
}

/// Hashes a prompt block by block, each hash covering all blocks before it.
///
/// A block that is not full has no hash, since engines cache full blocks only.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<BlockHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hashes = Vec::with_capacity(words.len() / BLOCK_TOKENS);
    let mut previous = hash64(&[model.as_bytes()]);
    for block in words.chunks_exact(BLOCK_TOKENS) {
        previous = hash64(&[&previous.to_be_bytes(), block.join(" ").as_bytes()]);
        hashes.push(previous);
    }
    hashes
}

/// The text of one token as the stand-in engines produce it, from the prompt and the offset alone.
///
/// A caller that knows its prompt can so verify that an answer is whole and its own.
pub fn stand_in_token(prompt: &str, offset: TokenOffset) -> String {
    format!("{offset}.{:08x} ", hash64(&[prompt.as_bytes()]) as u32)
}
