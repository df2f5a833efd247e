//! Where a forwarded call goes: the server with the least predicted wait.
//!
//! Calls that share a prompt part meet at the part's home, as long as reading the part again
//! elsewhere costs more than the home's queue. All nodes rank homes alike without a message.

use crate::rendezvous::rank;
use fl_protocol::forward::{ModelCall, ServerEntry};

/// Reading rate assumed before one was observed, in tokens a millisecond.
const FIRST_READ_RATE: f64 = 50.0;
/// Readings over which the rate is averaged.
const READINGS_AVERAGED: u32 = 20;
/// Reads shorter than this say little about the rate, in tokens.
const LEARNED_TOKENS: u64 = 5000;
/// What each running call adds to the first token of a new one, in milliseconds.
const RUNNING_MS: f64 = 1.0;
/// What a call to another data centre costs more, in milliseconds.
const FAR_MS: f64 = 3.0;
/// What a failure of a server seen lately costs, in milliseconds.
const SUSPECT_MS: f64 = 400.0;
/// Part of the prompts of less urgent calls that is still read before an urgent one.
const PASSED_SHARE: f64 = 0.3;
/// Share of a shared part that its second home is expected to hold.
const SECOND_HOME_SHARE: f64 = 0.5;
/// Calls in flight beyond the slots cost this much each, in milliseconds.
const QUEUED_MS: f64 = 50.0;

/// What a node knows of one server's load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLoad {
    /// Calls of all nodes in flight there.
    pub in_flight: u32,
    /// Prompt tokens that it has not read yet.
    pub pending_prefill_tokens: u64,
    /// Those of urgent calls among them.
    pub urgent_pending_prefill_tokens: u64,
    /// How suspect it is, 0 to 1, from failures seen lately.
    pub failure_score: f64,
}

/// A call that wants a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// What a model call says of itself.
    pub call: Option<&'a ModelCall>,
    /// Whether model engines read its prompt before those of other calls.
    pub is_urgent: bool,
    /// The data centre that it came to.
    pub own_zone: &'a str,
}

/// A server that could take a call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// What its entry says.
    pub entry: &'a ServerEntry,
    /// The hash of its name, as [`crate::rendezvous::name_hash`] gives it.
    pub name_hash: u64,
    /// Its load.
    pub load: ServerLoad,
}

/// A chosen server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The index among the candidates.
    pub index: usize,
    /// The predicted time to the first token or to the start, in milliseconds.
    pub wait_ms: f64,
    /// Prompt tokens that it is expected to read.
    pub prefill_tokens: u64,
}

/// The rate at which servers read prompts while they generate for others, as observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens_per_ms: f64,
    observations: u32,
}

impl Default for PrefillRate {
    fn default() -> Self {
        PrefillRate { tokens_per_ms: FIRST_READ_RATE, observations: 0 }
    }
}

impl PrefillRate {
    /// Takes how long a server took for a prompt and for those that it had to read before.
    pub fn observe(&mut self, tokens: u64, first_token_ms: f64) {
        if tokens < LEARNED_TOKENS || first_token_ms <= 0.0 {
            return;
        }
        let seen = tokens as f64 / first_token_ms;
        // The first readings count alike; later ones move the mean slowly.
        self.observations = (self.observations + 1).min(READINGS_AVERAGED);
        self.tokens_per_ms += (seen - self.tokens_per_ms) / f64::from(self.observations);
    }

    /// The rate.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// The rate, if any was observed.
    pub fn observed(&self) -> Option<f64> {
        (self.observations > 0).then_some(self.tokens_per_ms)
    }

    /// The time to read tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms.max(f64::MIN_POSITIVE)
    }
}

/// Chooses the server with the least predicted wait; `tie_breaker` breaks ties, 0 to 1 per candidate.
pub fn place(
    request: &PlacementRequest,
    candidates: &[Candidate],
    rate: PrefillRate,
    mut tie_breaker: impl FnMut() -> f64,
) -> Option<Placement> {
    let shared = request.call.and_then(ModelCall::shared_part);
    let homes = shared.map_or(Homes::default(), |part| Homes::of(part.id, candidates));
    let mut best: Option<(f64, Placement)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cached = (cached_tokens(request.call) as f64 * homes.held_share(index)) as u64;
        let prefill_tokens =
            request.call.map_or(0, |call| call.prompt_tokens.saturating_sub(cached));
        let wait_ms = wait_ms(request, candidate, prefill_tokens, rate);
        let far_ms = if candidate.entry.zone == request.own_zone { 0.0 } else { FAR_MS };
        let cost_ms = wait_ms + far_ms + SUSPECT_MS * candidate.load.failure_score + tie_breaker();
        if best.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
            best = Some((cost_ms, Placement { index, wait_ms, prefill_tokens }));
        }
    }
    best.map(|(_, placement)| placement)
}

/// Where a prompt part is expected to be held: its home, and the server that takes over what the
/// home is too busy for.
#[derive(Debug, Clone, Copy, Default)]
struct Homes {
    first: Option<usize>,
    second: Option<usize>,
}

impl Homes {
    fn of(part: u64, candidates: &[Candidate]) -> Self {
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

    fn held_share(&self, index: usize) -> f64 {
        if self.first == Some(index) {
            1.0
        } else if self.second == Some(index) {
            SECOND_HOME_SHARE
        } else {
            0.0
        }
    }
}

/// Tokens of a call that its home is expected to hold: all parts but the call's own.
fn cached_tokens(call: Option<&ModelCall>) -> u64 {
    let parts = call.map_or(&[][..], |call| &call.parts);
    let shared = parts.len().saturating_sub(1);
    parts[..shared].iter().map(|part| part.tokens).sum()
}

fn wait_ms(
    request: &PlacementRequest,
    candidate: &Candidate,
    prefill_tokens: u64,
    rate: PrefillRate,
) -> f64 {
    let load = &candidate.load;
    let ahead = match request.is_urgent {
        true => {
            let others =
                load.pending_prefill_tokens.saturating_sub(load.urgent_pending_prefill_tokens);
            load.urgent_pending_prefill_tokens + (others as f64 * PASSED_SHARE) as u64
        }
        false => load.pending_prefill_tokens,
    };
    let prefill_ms = rate.prefill_ms(ahead + prefill_tokens);
    let slots = candidate.entry.slots.max(1);
    let queued = (load.in_flight + 1).saturating_sub(slots);
    prefill_ms + RUNNING_MS * f64::from(load.in_flight) + QUEUED_MS * f64::from(queued)
}
