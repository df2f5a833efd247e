//! How an engine is set up, its faults and its counters.

use fl_protocol::engine::EngineState;
use fl_protocol::{ModelName, UnixMs};
use serde::{Deserialize, Serialize};

/// Whether an engine checks the fencing number of an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// It refuses an order with a number below the greatest it has seen.
    #[default]
    Check,
    /// It obeys any order and reports 0 as its number.
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

/// How an engine is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOptions {
    /// The VM it runs on.
    pub vm: String,
    /// Streams in its batch at most.
    pub slots: u32,
    /// Prompt tokens a second it computes; 0 takes no time.
    pub prefill_tokens_per_s: u64,
    /// Time of a decoding step with one stream, in milliseconds; 0 takes no time.
    pub between_tokens_ms: u64,
    /// What each further stream adds to a step, in percent of the step with one stream.
    pub step_growth_percent: u64,
    /// Blocks in its prefix cache at most.
    pub cache_blocks: usize,
    /// Whether it checks fencing numbers.
    pub fencing: FencingMode,
    /// Models loaded at the start, sorted; with none it serves every model.
    pub models: Vec<ModelName>,
    /// How long it takes to obey an order, in milliseconds.
    pub order_delay_ms: u64,
    /// How old its load reports are, in milliseconds.
    pub load_lag_ms: u64,
    /// How late its cache events are, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Share of the cache events that are lost, in percent.
    pub cache_event_loss_percent: u32,
    /// Cached blocks a second that it exports or imports; 0 takes no time.
    pub kv_blocks_per_s: u64,
    /// How long an ended stream can be read again, in milliseconds.
    pub retention_ms: u64,
    /// Seed of its random choices.
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
    pub(crate) fn first_state(&self) -> EngineState {
        EngineState { models: self.models.clone(), role: "serve".to_string(), fencing: 0 }
    }
}

/// Faults of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Refuses new streams with 503.
    pub refuse_streams: bool,
    /// Delay before the first byte of an answer to a stream, in milliseconds.
    pub delay_first_byte_ms: u64,
    /// Random further delay of that first byte, in milliseconds; it reorders answers.
    pub delay_first_byte_jitter_ms: u64,
    /// Accepts connections and never answers.
    pub freeze: bool,
    /// Once: all open connections go silent for good; new ones work.
    pub silence_open: bool,
    /// A prompt that contains this text crashes the engine once its prefill is done.
    pub crash_on_marker: Option<String>,
    /// After a crash the engine comes back empty on the same port, in milliseconds.
    pub restart_after_ms: Option<u64>,
    /// Once: crashes now.
    pub die: bool,
    /// Once: announces that the VM goes away after this time, in milliseconds, and ends then.
    pub reclaim_in_ms: Option<u64>,
    /// When the VM goes away, as the load report says.
    pub leaving_at_ms: Option<UnixMs>,
}

/// What an engine counted over all its lives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Connections accepted.
    pub connections: u64,
    /// Streams started.
    pub started: u64,
    /// Streams read again.
    pub resumed: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Streams that ended whole.
    pub ended: u64,
    /// Streams refused.
    pub refused: u64,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Orders obeyed.
    pub orders: u64,
    /// Orders refused for their stale fencing number.
    pub stale_orders: u64,
    /// Blocks imported.
    pub imported_blocks: u64,
    /// Streams started after the VM was said to be leaving.
    pub started_while_leaving: u64,
    /// When the last stream started, on the wall clock.
    pub last_start_ms: UnixMs,
    /// Crashes, those by request included.
    pub crashes: u64,
}
