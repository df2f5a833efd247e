//! The routing policies, all behind one trait so that they can be measured against each other.

pub mod least_loaded;
pub mod prefix_affinity;
pub mod round_robin;

pub use least_loaded::LeastLoaded;
pub use prefix_affinity::{HomeBlockRule, PrefixAffinity, PrefixAffinityOptions};
pub use round_robin::RoundRobin;

use crate::cache_estimate::CacheEstimates;
use crate::load_estimate::LoadEstimate;
use fl_protocol::engine::BLOCK_TOKENS;
use fl_protocol::{BlockHash, Priority, VmName};
use rand::Rng;

/// A runner that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its VM.
    pub name: VmName,
    /// The hash of its name, by [`crate::rendezvous::name_hash`].
    pub name_hash: u64,
    /// Its load now.
    pub load: LoadEstimate,
    /// Whether it stands in this node's data centre.
    pub is_local: bool,
    /// Price of its VM, in thousandths of a cent an hour; 0 when unknown.
    pub price_millicents_per_h: u64,
}

/// A call that needs a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The chained hashes of the prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The class's priority.
    pub priority: Priority,
    /// Target for the time to the first token, in milliseconds.
    pub target_ms: u64,
    /// Latest time to the first token, in milliseconds.
    pub deadline_ms: u64,
}

/// A policy's choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The index among the candidates.
    pub index: usize,
    /// Prompt tokens the runner is expected to compute.
    pub prefill_tokens: u64,
    /// Expected time to the first token, in milliseconds.
    pub first_token_ms: f64,
}

/// Chooses a runner for a call.
pub trait Policy: Send {
    /// Chooses among candidates that are sorted by name; `None` only if there are none.
    fn choose(
        &mut self,
        call: &Call,
        candidates: &[Candidate],
        cache_estimates: &CacheEstimates,
        random: &mut dyn Rng,
    ) -> Option<Choice>;
}

/// Makes a policy by its name in the settings; unknown names give `prefix`.
pub fn policy_by_name(name: &str) -> Box<dyn Policy> {
    match name {
        "round-robin" => Box::new(RoundRobin::default()),
        "least-loaded" => Box::new(LeastLoaded),
        _ => Box::new(PrefixAffinity::new(PrefixAffinityOptions::default())),
    }
}

/// Estimates a call at one candidate.
pub fn evaluate_candidate(
    call: &Call,
    candidates: &[Candidate],
    index: usize,
    cache_estimates: &CacheEstimates,
) -> Choice {
    let candidate = &candidates[index];
    let cached_tokens = cache_estimates.get(&candidate.name).map_or(0, |estimate| {
        let blocks = estimate.cached_blocks(&call.blocks);
        ((blocks * BLOCK_TOKENS) as f64 * estimate.confidence()) as u64
    });
    let prefill_tokens = call.prompt_tokens.saturating_sub(cached_tokens);
    let first_token_ms = candidate.load.queue_ms() + candidate.load.prefill_ms(prefill_tokens);
    Choice { index, prefill_tokens, first_token_ms }
}
