//! Calls in flight at backend servers and their pending prefill.

use super::ChosenServer;
use crate::node::Node;
use fl_protocol::forward::{ServerEntry, ServerName};
use std::sync::Arc;
use std::time::Duration;

/// Counts a call as in flight at a server until it is dropped.
pub struct InFlightCall {
    node: Arc<Node>,
    server: ServerName,
    pending_prefill_tokens: u64,
    is_urgent: bool,
    /// Whether the call counts as this node's at the server.
    is_counted: bool,
    /// Tokens that the server had to prefill first, if known well enough to estimate its prefill
    /// rate.
    tokens_ahead: Option<u64>,
}

impl InFlightCall {
    /// Counts a call as in flight at the chosen server.
    pub fn begin(node: &Arc<Node>, chosen: &ChosenServer, is_urgent: bool) -> Self {
        let pending_prefill_tokens = chosen.placement.prefill_tokens;
        let server = chosen.entry.name.clone();
        node.servers.record_demand(&chosen.entry.service, pending_prefill_tokens);
        if !chosen.slot_owners.is_empty() {
            // The owner of the slot counts the call.
            return InFlightCall::uncounted(node, &chosen.entry);
        }
        node.servers
            .with_known(&server, |known| known.own.begin(pending_prefill_tokens, is_urgent));
        // The tokens ahead of an urgent call are unknown: which prompts an engine prefills before
        // it depends on the engine's own scheduling.
        let tokens_ahead = (!is_urgent).then_some(chosen.pending_prefill_tokens);
        let node = node.clone();
        let is_counted = true;
        InFlightCall { node, server, pending_prefill_tokens, is_urgent, is_counted, tokens_ahead }
    }

    /// Creates the guard of a call that another node counts.
    pub(super) fn uncounted(node: &Arc<Node>, server: &ServerEntry) -> Self {
        let mut call = InFlightCall::for_peer(node, server);
        call.is_counted = false;
        call
    }

    /// Creates the guard of another node's call, which is counted here already.
    pub(super) fn for_peer(node: &Arc<Node>, server: &ServerEntry) -> Self {
        InFlightCall {
            node: node.clone(),
            server: server.name.clone(),
            pending_prefill_tokens: 0,
            is_urgent: false,
            is_counted: true,
            tokens_ahead: None,
        }
    }

    /// Records that the first token arrived, which means that the prompt was prefilled.
    pub fn on_first_token(&mut self, elapsed: Duration) {
        let prefilled = std::mem::take(&mut self.pending_prefill_tokens);
        let is_urgent = self.is_urgent;
        self.node
            .servers
            .with_known(&self.server, |known| known.own.record_prefilled(prefilled, is_urgent));
        if let Some(tokens_ahead) = self.tokens_ahead.take() {
            let first_token_ms = elapsed.as_secs_f64() * 1000.0;
            self.node
                .servers
                .state
                .lock()
                .prefill_rate
                .observe(prefilled + tokens_ahead, first_token_ms);
        }
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
    }
}
