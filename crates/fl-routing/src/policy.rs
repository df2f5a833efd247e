//! Routing policies, which implement a common trait so that they can be compared by measurement.

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

/// A runner that may be chosen for a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the runner's VM.
    pub name: VmName,
    /// Hash of the name, computed by [`crate::rendezvous::name_hash`].
    pub name_hash: u64,
    /// Estimated current load.
    pub load: LoadEstimate,
    /// Whether the runner is in this node's data centre.
    pub is_local: bool,
    /// Price of the VM in thousandths of a cent per hour; 0 if unknown.
    pub price_millicents_per_h: u64,
}

/// A call to route to a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Hashes of the prompt's full blocks; each also covers the blocks before it.
    pub blocks: Vec<BlockHash>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Priority of the call's class.
    pub priority: Priority,
    /// Target for the time to the first token, in milliseconds.
    pub target_ms: u64,
    /// Deadline for the first token, in milliseconds from the start of the call.
    pub deadline_ms: u64,
}

/// The runner that a policy chose for a call, with the predictions for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the runner in the slice of candidates.
    pub index: usize,
    /// Number of prompt tokens that the runner is expected to prefill.
    pub prefill_tokens: u64,
    /// Expected time to the first token, in milliseconds.
    pub first_token_ms: f64,
}

/// A strategy for choosing the runner of a call.
pub trait Policy: Send {
    /// Chooses one of the candidates, which must be sorted by name. Returns `None` only if there
    /// are no candidates.
    fn choose(
        &mut self,
        call: &Call,
        candidates: &[Candidate],
        cache_estimates: &CacheEstimates,
        random: &mut dyn Rng,
    ) -> Option<Choice>;
}

/// Creates the policy with the given name in the settings. Unknown names select `prefix`.
pub fn policy_by_name(name: &str) -> Box<dyn Policy> {
    match name {
        "round-robin" => Box::new(RoundRobin::default()),
        "least-loaded" => Box::new(LeastLoaded),
        _ => Box::new(PrefixAffinity::new(PrefixAffinityOptions::default())),
    }
}

/// Predicts the prefill and the time to the first token of a call on one candidate.
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
