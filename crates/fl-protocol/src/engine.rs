//! Protocol of model engines, in HTTP and JSON.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/streams/{stream_id}` with [`StreamRequest`] | starts a stream; responds with SSE: `id: <offset>`, `data: <StreamToken>`, at the end `data: [DONE]` |
//! | `GET /v1/streams/{stream_id}?from=N` | resumes a stream from token N (404 if the engine does not know it) |
//! | `DELETE /v1/streams/{stream_id}` | cancels a stream and frees its slot |
//! | `GET /v1/load` | [`LoadReport`], which lags behind |
//! | `GET /v1/cache-events?after=N` | [`CacheEvent`]s above sequence number N, delayed and possibly with gaps |
//! | `GET /v1/state` | [`EngineState`] |
//! | `POST /v1/orders` with [`EngineOrder`] | loads or unloads models or changes the role; 409 for a stale fencing token on engines that check it |
//! | `POST /v1/kv/export`, `POST /v1/kv/import` with [`KvBlocks`] | exports and imports cached prefixes |
//!
//! Each stream id may be started once; a second start with the same id is rejected with 409.

use crate::configuration::Priority;
use crate::ids::*;
use serde::{Deserialize, Serialize};

/// Number of prompt tokens in one block of an engine's prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Request body that starts a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// Model, as `model` or `model:adapter`.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: String,
    /// Text of the response that exists already and is continued; empty for a new response.
    pub continue_text: String,
    /// Number of tokens in `continue_text`; the first new token has this offset.
    pub continue_tokens: TokenOffset,
    /// Largest number of tokens in the whole response, including `continue_tokens`.
    pub max_tokens: u64,
    /// Priority in the engine's queue.
    pub priority: Priority,
}

/// Token of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamToken {
    /// Text of the token, including the space that separates it from the next one.
    pub text: String,
}

/// Load of an engine as of `as_of_ms`, which is earlier than the time of reading.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report on the engine's clock, in milliseconds since the Unix epoch.
    pub as_of_ms: UnixMs,
    /// Number of streams in the batch.
    pub running: u32,
    /// Number of streams in the queue.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u64,
    /// Largest number of streams in the batch.
    pub slots: u32,
    /// Rate of prefill, in prompt tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Current time between two tokens of a stream, in milliseconds.
    pub between_tokens_ms: u64,
    /// Prompt tokens computed since the engine started.
    pub prefilled_tokens_total: u64,
    /// Prompt tokens found in the prefix cache since the engine started.
    pub cached_tokens_total: u64,
    /// Tokens generated since the engine started.
    pub generated_tokens_total: u64,
    /// Time at which the engine's VM is reclaimed, if it was announced.
    pub leaving_at_ms: Option<UnixMs>,
}

/// Change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, one greater for each event; a gap means that events were lost.
    pub sequence: u64,
    /// Kind of change.
    pub change: CacheChange,
    /// Chained hash of the block; see [`hash_prompt_blocks`].
    pub block: BlockHash,
}

/// Kind of change of a cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Cache events above the requested sequence number that the engine still has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in ascending order of sequence number.
    pub events: Vec<CacheEvent>,
}

/// Models and role of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Loaded models and adapters, sorted, each as `model` or `model:adapter`.
    pub models: Vec<ModelName>,
    /// Role of the engine: `serve` or `standby`.
    pub role: String,
    /// Greatest fencing token that the engine has seen; 0 for engines that do not check the token.
    pub fencing: FencingToken,
}

/// Order to an engine; it gives the complete desired state, so that applying it twice is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token of the lease under which the order is given.
    pub fencing: FencingToken,
    /// Models that the engine must have loaded, sorted.
    pub models: Vec<ModelName>,
    /// Role that the engine must take.
    pub role: String,
}

/// Cached blocks that are exported or imported.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlocks {
    /// Chained hashes of the blocks; see [`hash_prompt_blocks`].
    pub blocks: Vec<BlockHash>,
}

/// Returns the chained hashes of a prompt's blocks; each hash covers all blocks before it.
///
/// A last block that is not full has no hash, since engines cache only full blocks.
pub fn hash_prompt_blocks(model: &str, prompt: &str) -> Vec<BlockHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hashes = Vec::with_capacity(words.len() / BLOCK_TOKENS);
    let mut previous = hash64(&[model.as_bytes()]);
    for block in words.chunks_exact(BLOCK_TOKENS) {
        previous = hash64(&[&previous.to_be_bytes(), block.join(" ").as_bytes()]);
        hashes.push(previous);
    }
    hashes
}

/// Returns the text of one token as the stand-in engines generate it.
///
/// The text depends only on the prompt and the offset, so that a test caller can verify that an
/// response is complete and belongs to its prompt.
pub fn stand_in_token(prompt: &str, offset: TokenOffset) -> String {
    format!("{offset}.{:08x} ", hash64(&[prompt.as_bytes()]) as u32)
}
