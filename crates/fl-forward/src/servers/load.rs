//! Calls in flight at backend servers and their pending prefill, and what their times say of the
//! servers' speed.

use super::known_server::KnownServer;
use super::{ChosenServer, State};
use crate::clock::boot_time;
use crate::node::Node;
use fl_protocol::forward::{ServerEntry, ServerName};
use fl_routing::placement::Candidate;
use fl_routing::rendezvous::name_hash;
use fl_routing::server_pace::{StreamInterval, TimeClass};
use fl_routing::server_speed::ServerSpeed;
use std::sync::Arc;
use std::time::Duration;

/// Failure score of a server whose data centre seems unreachable. Placement uses it only when the
/// others are full.
const UNREACHABLE_ZONE_SCORE: f64 = 1.0;

/// Shortest time that is measured, in milliseconds.
const MEASURED_MS_MIN: f64 = 0.1;
const MS_PER_S: f64 = 1000.0;
/// Smallest prompt, in tokens, whose first token says something of a server's speed.
const OBSERVED_PROMPT_MIN: u64 = 5000;

/// Counts a call as in flight at a server until it is dropped.
pub struct InFlightCall {
    node: Arc<Node>,
    server: ServerName,
    pending_prefill_tokens: u64,
    is_urgent: bool,
    /// Whether the call counts as this node's at the server.
    is_counted: bool,
    /// What was predicted when the server was chosen; taken at the first token.
    predicted: Option<PredictedFirstToken>,
    /// The time between the events of the call's stream.
    interval: StreamInterval,
    /// The hash of the call's route, whose streams are compared with each other; `None` if another
    /// node observes the server.
    route_hash: Option<u64>,
}

/// What was predicted of a first token when the server was chosen.
#[derive(Debug, Clone, Copy)]
struct PredictedFirstToken {
    wait_ms: f64,
    /// Tokens that the server had to prefill first, if known well enough to estimate its prefill
    /// rate.
    tokens_ahead: Option<u64>,
}

impl InFlightCall {
    /// Counts a call of a route as in flight at the chosen server.
    pub fn begin(node: &Arc<Node>, chosen: &ChosenServer, route: &str, is_urgent: bool) -> Self {
        let pending_prefill_tokens = chosen.placement.prefill_tokens;
        node.servers.record_demand(&chosen.entry.service, pending_prefill_tokens);
        let mut call = InFlightCall::uncounted(node, &chosen.entry);
        if !chosen.slot_owners.is_empty() {
            // The owner of the slot counts the call.
            return call;
        }
        node.servers.with_known(&chosen.entry.name, |known| {
            known.own.begin(pending_prefill_tokens, is_urgent);
        });
        // The tokens ahead of an urgent call are unknown: which prompts an engine prefills before
        // it depends on the engine's own scheduling.
        let tokens_ahead = (!is_urgent).then_some(chosen.pending_prefill_tokens);
        let wait_ms = chosen.placement.wait_ms;
        call.pending_prefill_tokens = pending_prefill_tokens;
        call.is_urgent = is_urgent;
        call.is_counted = true;
        call.predicted = Some(PredictedFirstToken { wait_ms, tokens_ahead });
        call.route_hash = Some(name_hash(route));
        call
    }

    /// Creates the guard of a call that another node counts.
    pub(super) fn uncounted(node: &Arc<Node>, server: &ServerEntry) -> Self {
        InFlightCall {
            node: node.clone(),
            server: server.name.clone(),
            pending_prefill_tokens: 0,
            is_urgent: false,
            is_counted: false,
            predicted: None,
            interval: StreamInterval::default(),
            route_hash: None,
        }
    }

    /// Creates the guard of another node's call, which is counted here already.
    pub(super) fn for_peer(node: &Arc<Node>, server: &ServerEntry) -> Self {
        let mut call = InFlightCall::uncounted(node, server);
        call.is_counted = true;
        call
    }

    /// Records that the first token arrived, which means that the prompt was prefilled.
    pub fn on_first_token(&mut self, elapsed: Duration) {
        let prefilled = std::mem::take(&mut self.pending_prefill_tokens);
        let is_urgent = self.is_urgent;
        self.node
            .servers
            .with_known(&self.server, |known| known.own.record_prefilled(prefilled, is_urgent));
        let Some(predicted) = self.predicted.take() else { return };
        let first_token_ms = elapsed.as_secs_f64() * MS_PER_S;
        metrics::histogram!("fl_first_token_predicted_ratio")
            .record(predicted.wait_ms / first_token_ms.max(MEASURED_MS_MIN));
        if let Some(tokens_ahead) = predicted.tokens_ahead {
            let mut state = self.node.servers.state.lock();
            state.observe_first_token(&self.server, prefilled, tokens_ahead, first_token_ms);
        }
    }

    /// Records that an event of the call's stream arrived.
    pub fn on_event(&mut self) {
        self.interval.record(boot_time());
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        if !self.is_counted {
            return;
        }
        let (pending_prefill_tokens, is_urgent) = (self.pending_prefill_tokens, self.is_urgent);
        self.node.servers.with_known(&self.server, |known| {
            known.own.in_flight = known.own.in_flight.saturating_sub(1);
            known.own.record_prefilled(pending_prefill_tokens, is_urgent);
        });
        if let (Some(route_hash), Some(interval)) = (self.route_hash, self.interval.mean()) {
            let class = TimeClass::BetweenEvents(route_hash);
            let mut state = self.node.servers.state.lock();
            state.observe_time(&self.server, class, interval.as_secs_f64());
        }
    }
}

impl State {
    /// Returns a server with its load estimate and speed, as placement needs them.
    pub(super) fn candidate<'a>(&self, entry: &'a ServerEntry, now: Duration) -> Candidate<'a> {
        let known = self.known_server(&entry.name);
        let peers = |known: &KnownServer| {
            let rate = self.prefill_rate.at_pace(known.pace);
            self.peer_loads.at_server(known.name_hash(), now, rate)
        };
        let load = known.map(|known| known.load(&peers(known), now));
        let mut load = load.unwrap_or_default();
        if self.unreachable_zones.binary_search(&entry.zone).is_ok() {
            load.failure_score = load.failure_score.max(UNREACHABLE_ZONE_SCORE);
        }
        let name_hash = known.map_or(0, KnownServer::name_hash);
        let speed = known.map_or(ServerSpeed::default(), |known| known.speed(now));
        Candidate { entry, name_hash, load, speed }
    }

    /// Records the time to a first token after the server's prefill of `prefilled` tokens and those
    /// ahead of them.
    fn observe_first_token(
        &mut self,
        server: &str,
        prefilled: u64,
        tokens_ahead: u64,
        first_token_ms: f64,
    ) {
        let tokens = prefilled + tokens_ahead;
        self.prefill_rate.observe(tokens, first_token_ms * self.pace(server));
        // What is ahead is known late, so it must not be the greater part.
        if prefilled >= OBSERVED_PROMPT_MIN.max(tokens_ahead) {
            let class = TimeClass::FirstToken(self.service_hash(server));
            self.observe_time(server, class, first_token_ms / tokens as f64);
        }
    }

    fn service_hash(&self, server: &str) -> u64 {
        let entry = self.usable().find(|entry| entry.name == server);
        entry.map_or(0, |entry| name_hash(&entry.service))
    }
}
