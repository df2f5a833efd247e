//! The options, faults and counters of an engine.

use fl_protocol::engine::EngineState;
use fl_protocol::{ModelName, UnixMs};
use serde::{Deserialize, Serialize};

/// Whether an engine checks the fencing token of an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The engine refuses an order whose token is below the greatest one it has accepted.
    #[default]
    Check,
    /// The engine applies any order and reports 0 as its token.
    Ignore,
}

impl std::str::FromStr for FencingMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "check" => Ok(FencingMode::Check),
            "ignore" => Ok(FencingMode::Ignore),
            _ => Err(format!("{text}: expected check or ignore")),
        }
    }
}

/// The options of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOptions {
    /// The name of the VM that the engine claims to run on.
    pub vm: String,
    /// Streams in the batch at most; 0 counts as 1.
    pub slots: u32,
    /// Prompt tokens computed per second; 0 means that prefill takes no time.
    pub prefill_tokens_per_s: u64,
    /// Duration of a decoding step with one stream, in milliseconds; 0 means no time.
    pub between_tokens_ms: u64,
    /// Extra duration of a step for each further stream, in percent of the step with one stream.
    pub step_growth_percent: u64,
    /// Blocks in the prefix cache at most.
    pub cache_blocks: usize,
    /// Whether fencing tokens are checked.
    pub fencing: FencingMode,
    /// Models loaded at the start, sorted; an engine with none serves every model.
    pub models: Vec<ModelName>,
    /// Delay before an order is applied, in milliseconds.
    pub order_delay_ms: u64,
    /// Age of the published load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until a cache event is published, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Share of the cache events that are never published, in percent.
    pub cache_event_loss_percent: u32,
    /// Cached blocks exported or imported per second; 0 means that a transfer takes no time.
    pub kv_blocks_per_s: u64,
    /// How long a stream that ended can still be resumed, in milliseconds.
    pub retention_ms: u64,
    /// Seed of the random delays and of the loss of cache events.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            vm: "runner-1".to_string(),
            slots: 16,
            prefill_tokens_per_s: 8_000,
            between_tokens_ms: 10,
            step_growth_percent: 4,
            cache_blocks: 4_096,
            fencing: FencingMode::Check,
            models: Vec::new(),
            order_delay_ms: 0,
            load_lag_ms: 100,
            cache_event_lag_ms: 100,
            cache_event_loss_percent: 0,
            kv_blocks_per_s: 20_000,
            retention_ms: 60_000,
            seed: 1,
        }
    }
}

impl EngineOptions {
    pub(crate) fn initial_state(&self) -> EngineState {
        EngineState { models: self.models.clone(), role: "serve".to_string(), fencing: 0 }
    }
}

/// The faults of an engine. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Refuses new streams with status 503.
    pub refuse_streams: bool,
    /// Delay before the first byte of a stream response, in milliseconds.
    pub delay_first_byte_ms: u64,
    /// Upper limit of a random further delay of that byte, in milliseconds; it reorders responses.
    pub delay_first_byte_jitter_ms: u64,
    /// Accepts connections and never responds.
    pub freeze: bool,
    /// Acts once: all open connections go silent permanently; new ones work.
    pub silence_open: bool,
    /// Text in a prompt that crashes the engine once the prefill of that prompt is done.
    pub crash_on_marker: Option<String>,
    /// Time from a crash to the restart with an empty memory on the same port, in milliseconds.
    /// `None`: no restart.
    pub restart_after_ms: Option<u64>,
    /// Acts once: crashes at once.
    pub die: bool,
    /// Acts once: announces that the VM goes away after this time, in milliseconds, and stops the
    /// engine then.
    pub reclaim_in_ms: Option<u64>,
    /// The time at which the VM goes away, as the load report states it.
    pub leaving_at_ms: Option<UnixMs>,
}

/// The counters of an engine, summed over all its restarts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Connections accepted.
    pub connections: u64,
    /// Streams started.
    pub started: u64,
    /// Requests that resumed a stream.
    pub resumed: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Streams that generated all their tokens.
    pub ended: u64,
    /// Streams refused.
    pub refused: u64,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Orders applied.
    pub orders: u64,
    /// Orders refused for a stale fencing token.
    pub stale_orders: u64,
    /// Cached blocks imported.
    pub imported_blocks: u64,
    /// Streams started after the VM was announced to go away.
    pub started_while_leaving: u64,
    /// Wall-clock time at which the last stream started.
    pub last_start_ms: UnixMs,
    /// Crashes, including those that a prompt or a test caused.
    pub crashes: u64,
}
