//! Places a forwarded call on the backend server with the lowest predicted wait.
//!
//! Calls that share a prompt part are placed on the part's home server, whose cache is likely to
//! hold it, as long as prefilling the part on another server would take longer than waiting for the
//! home. Homes are chosen by rendezvous hashing, so all nodes agree on them without exchanging
//! messages.

use crate::rendezvous::rank;
use fl_protocol::forward::{ModelCall, ServerEntry};

/// Prefill rate assumed before the first observation, in tokens per millisecond.
const INITIAL_PREFILL_RATE: f64 = 50.0;
/// Number of observations over which the prefill rate is averaged.
const AVERAGED_OBSERVATIONS: u32 = 20;
/// Smallest prefill, in tokens, that is used as an observation. The duration of a shorter one says
/// little about the rate.
const MIN_OBSERVED_TOKENS: u64 = 5000;
/// Delay that each call in flight adds to the first token of a new call, in milliseconds.
const IN_FLIGHT_CALL_MS: f64 = 1.0;
/// Additional cost of a call to another data centre, in milliseconds.
const REMOTE_ZONE_MS: f64 = 3.0;
/// Cost of a server whose failure score is 1, in milliseconds.
const FAILURE_MS: f64 = 400.0;
/// Share of the pending prompts of less urgent calls that is still prefilled before an urgent call.
const NON_URGENT_AHEAD_SHARE: f64 = 0.3;
/// Share of a prompt part that its second home is expected to hold in its cache.
const SECOND_HOME_SHARE: f64 = 0.5;
/// Cost of each call in flight beyond the server's slots, in milliseconds.
const QUEUED_CALL_MS: f64 = 50.0;

/// The load of one server as this node estimates it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLoad {
    /// Number of calls in flight on the server, from all nodes.
    pub in_flight: u32,
    /// Number of prompt tokens that the server has not prefilled yet.
    pub pending_prefill_tokens: u64,
    /// Number of pending prefill tokens that belong to urgent calls.
    pub urgent_pending_prefill_tokens: u64,
    /// Score of recent failures, from 0 (none) to 1.
    pub failure_score: f64,
}

/// A call to place on a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Description of the prompt of a model call; `None` for any other call.
    pub call: Option<&'a ModelCall>,
    /// Whether model engines prefill the call's prompt before those of other calls.
    pub is_urgent: bool,
    /// Data centre of this node, which received the call.
    pub own_zone: &'a str,
}

/// A server that may be chosen for a call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Entry of the server in the registry.
    pub entry: &'a ServerEntry,
    /// Hash of the server's name, computed by [`crate::rendezvous::name_hash`].
    pub name_hash: u64,
    /// Estimated load of the server.
    pub load: ServerLoad,
}

/// The server chosen for a call, with the predictions that led to the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// Index of the server in the slice of candidates.
    pub index: usize,
    /// Predicted time in milliseconds to the first token of a model call or to the start of any
    /// other call.
    pub wait_ms: f64,
    /// Number of prompt tokens that the server is expected to prefill.
    pub prefill_tokens: u64,
}

/// The observed rate at which servers prefill prompts while they generate tokens for other calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens_per_ms: f64,
    observations: u32,
}

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate { tokens_per_ms: INITIAL_PREFILL_RATE, observations: 0 }
    }
}

impl PrefillRate {
    /// Records the time to the first token of a call and the number of tokens that were prefilled
    /// until then, which includes the prompts that were pending before it.
    pub fn observe(&mut self, tokens: u64, first_token_ms: f64) {
        if tokens < MIN_OBSERVED_TOKENS || first_token_ms <= 0.0 {
            return;
        }
        let observed_rate = tokens as f64 / first_token_ms;
        // The first observations have equal weight; after that this is an exponential moving
        // average.
        self.observations = (self.observations + 1).min(AVERAGED_OBSERVATIONS);
        self.tokens_per_ms += (observed_rate - self.tokens_per_ms) / f64::from(self.observations);
    }

    /// Returns the rate in tokens per millisecond, or the assumed one before the first observation.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns the rate in tokens per millisecond, or `None` before the first observation.
    pub fn observed(&self) -> Option<f64> {
        (self.observations > 0).then_some(self.tokens_per_ms)
    }

    /// Returns the time to prefill a number of tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms.max(f64::MIN_POSITIVE)
    }
}

/// Chooses the server with the lowest predicted wait, or `None` if there are no candidates.
///
/// `tie_breaker` is called once for each candidate and returns a value from 0 to 1 that is added to
/// its cost, in milliseconds.
pub fn place(
    request: &PlacementRequest,
    candidates: &[Candidate],
    rate: PrefillRate,
    mut tie_breaker: impl FnMut() -> f64,
) -> Option<Placement> {
    let shared_part = request.call.and_then(ModelCall::shared_part);
    let homes = shared_part.map_or(Homes::default(), |part| Homes::for_part(part.id, candidates));
    let mut best: Option<(f64, Placement)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cached = (cached_tokens(request.call) as f64 * homes.cached_share(index)) as u64;
        let prefill_tokens =
            request.call.map_or(0, |call| call.prompt_tokens.saturating_sub(cached));
        let wait_ms = predict_wait_ms(request, candidate, prefill_tokens, rate);
        let remote_ms = if candidate.entry.zone == request.own_zone { 0.0 } else { REMOTE_ZONE_MS };
        let cost_ms =
            wait_ms + remote_ms + FAILURE_MS * candidate.load.failure_score + tie_breaker();
        if best.is_none_or(|(best_ms, _)| cost_ms < best_ms) {
            best = Some((cost_ms, Placement { index, wait_ms, prefill_tokens }));
        }
    }
    best.map(|(_, placement)| placement)
}

/// Indexes of the servers that are expected to hold a prompt part in their caches: its home, and
/// its second home, which takes the calls that the home is too busy for.
#[derive(Debug, Clone, Copy, Default)]
struct Homes {
    first: Option<usize>,
    second: Option<usize>,
}

impl Homes {
    fn for_part(part: u64, candidates: &[Candidate]) -> Self {
        let mut best: [Option<(u64, usize)>; 2] = [None, None];
        for (index, candidate) in candidates.iter().enumerate() {
            let ranked = Some((rank(part, candidate.name_hash), index));
            if ranked > best[0] {
                best = [ranked, best[0]];
            } else if ranked > best[1] {
                best[1] = ranked;
            }
        }
        let [first, second] = best.map(|ranked| ranked.map(|(_, index)| index));
        Homes { first, second }
    }

    fn cached_share(&self, index: usize) -> f64 {
        if self.first == Some(index) {
            1.0
        } else if self.second == Some(index) {
            SECOND_HOME_SHARE
        } else {
            0.0
        }
    }
}

/// Returns the number of prompt tokens that the call's home is expected to hold: those of all parts
/// but the last one, which is the call's own.
fn cached_tokens(call: Option<&ModelCall>) -> u64 {
    let parts = call.map_or(&[][..], |call| &call.parts);
    let shared_parts = parts.len().saturating_sub(1);
    parts[..shared_parts].iter().map(|part| part.tokens).sum()
}

fn predict_wait_ms(
    request: &PlacementRequest,
    candidate: &Candidate,
    prefill_tokens: u64,
    rate: PrefillRate,
) -> f64 {
    let load = &candidate.load;
    let ahead_tokens = match request.is_urgent {
        true => {
            let non_urgent_tokens =
                load.pending_prefill_tokens.saturating_sub(load.urgent_pending_prefill_tokens);
            load.urgent_pending_prefill_tokens
                + (non_urgent_tokens as f64 * NON_URGENT_AHEAD_SHARE) as u64
        }
        false => load.pending_prefill_tokens,
    };
    let prefill_ms = rate.prefill_ms(ahead_tokens + prefill_tokens);
    let slots = candidate.entry.slots.max(1);
    let queued_calls = (load.in_flight + 1).saturating_sub(slots);
    prefill_ms
        + IN_FLIGHT_CALL_MS * f64::from(load.in_flight)
        + QUEUED_CALL_MS * f64::from(queued_calls)
}
