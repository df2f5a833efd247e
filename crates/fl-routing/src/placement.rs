//! Places a forwarded call on the backend server with the lowest predicted wait, and where servers
//! differ in pace on one that holds the call's target without taking a fast server for a short call.
//!
//! Calls that share a prompt part are placed on the part's home server, whose cache is likely to
//! hold it, as long as prefilling the part on another server would take longer than waiting for the
//! home. Homes are chosen by rendezvous hashing, so all nodes agree on them without exchanging
//! messages. See `docs/design/140-placement-by-cost.md`.

mod cost;
mod homes;

pub use crate::prefill_rate::PrefillRate;

use crate::server_speed::ServerSpeed;
use cost::{PredictedTimes, cost_ms};
use fl_protocol::forward::{ModelCall, ServerEntry};
use homes::Homes;
use std::time::Duration;

/// Delay that each call in flight adds to the first token of a new call, in milliseconds.
const IN_FLIGHT_CALL_MS: f64 = 1.0;
/// Share of the pending prompts of less urgent calls that is still prefilled before an urgent call.
const NON_URGENT_AHEAD_SHARE: f64 = 0.3;
/// Cost of each call in flight beyond the server's slots, in milliseconds.
const QUEUED_CALL_MS: f64 = 50.0;

const MS_PER_S: f64 = 1000.0;

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
    /// Time within which the first token is due, if a target is declared.
    pub target: Option<Duration>,
    /// What the call is expected to cost beyond its prompt.
    pub expected: ExpectedCost,
    /// Data centre of this node, which received the call.
    pub own_zone: &'a str,
}

/// What a call is expected to cost beyond its prompt. By default nothing is known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpectedCost {
    /// Time that the call occupies a slot of a server of mean pace, for a model call that of its
    /// expected response tokens.
    pub running: Option<Duration>,
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
    /// Speed of the server.
    pub speed: ServerSpeed,
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

/// Chooses the server with the lowest cost, or `None` if there are no candidates. `rate` is that of
/// a server of mean pace.
///
/// `tie_breaker` is called once for each candidate and returns a value from 0 to 1. It is added to
/// the candidate's cost in milliseconds, where servers differ in pace in multiples of the time that
/// the call's prompt takes.
pub fn place(
    request: &PlacementRequest,
    candidates: &[Candidate],
    rate: PrefillRate,
    mut tie_breaker: impl FnMut() -> f64,
) -> Option<Placement> {
    let shared_part = request.call.and_then(ModelCall::shared_part);
    let homes = shared_part.map_or(Homes::default(), |part| Homes::for_part(part.id, candidates));
    let differ = candidates.iter().any(|candidate| candidate.speed.pace != 1.0);
    let mut best: Option<(f64, Placement)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cached = (cached_tokens(request.call) as f64 * homes.cached_share(index)) as u64;
        let prefill_tokens =
            request.call.map_or(0, |call| call.prompt_tokens.saturating_sub(cached));
        let times = predict_times(request, candidate, prefill_tokens, rate);
        let cost_ms = cost_ms(request, candidate, times, differ, tie_breaker());
        if best.is_none_or(|(best_ms, _)| cost_ms < best_ms) {
            let PredictedTimes { wait_ms, .. } = times;
            best = Some((cost_ms, Placement { index, wait_ms, prefill_tokens }));
        }
    }
    best.map(|(_, placement)| placement)
}

/// Returns the number of prompt tokens that the call's home is expected to hold: those of all parts
/// but the last one, which is the call's own.
fn cached_tokens(call: Option<&ModelCall>) -> u64 {
    let parts = call.map_or(&[][..], |call| &call.parts);
    let shared_parts = parts.len().saturating_sub(1);
    parts[..shared_parts].iter().fold(0, |sum: u64, part| sum.saturating_add(part.tokens))
}

fn predict_times(
    request: &PlacementRequest,
    candidate: &Candidate,
    prefill_tokens: u64,
    rate: PrefillRate,
) -> PredictedTimes {
    let load = &candidate.load;
    let ahead_tokens = tokens_ahead(load, request.is_urgent);
    let prefill_ms = candidate.speed.work_ms(rate.prefill_ms(ahead_tokens + prefill_tokens));
    let mean_ms = rate.prefill_ms(prefill_tokens);
    let slots = candidate.entry.slots.max(1);
    let queued_calls = (load.in_flight + 1).saturating_sub(slots);
    let wait_ms = prefill_ms
        + IN_FLIGHT_CALL_MS * f64::from(load.in_flight)
        + queued_call_ms(request, candidate) * f64::from(queued_calls);
    PredictedTimes { wait_ms, own_ms: candidate.speed.work_ms(mean_ms), mean_ms }
}

/// Returns the prompt tokens that a server prefills before those of a new call.
fn tokens_ahead(load: &ServerLoad, is_urgent: bool) -> u64 {
    if !is_urgent {
        return load.pending_prefill_tokens;
    }
    let non_urgent_tokens =
        load.pending_prefill_tokens.saturating_sub(load.urgent_pending_prefill_tokens);
    load.urgent_pending_prefill_tokens + (non_urgent_tokens as f64 * NON_URGENT_AHEAD_SHARE) as u64
}

/// Returns the time until a slot becomes free once more, for calls that run like this one.
fn queued_call_ms(request: &PlacementRequest, candidate: &Candidate) -> f64 {
    let Some(running) = request.expected.running else { return QUEUED_CALL_MS };
    let running_ms = candidate.speed.work_ms(running.as_secs_f64() * MS_PER_S);
    running_ms / f64::from(candidate.entry.slots.max(1))
}
