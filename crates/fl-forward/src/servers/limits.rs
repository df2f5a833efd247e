//! The rate limits that backend servers name for all nodes together.

use super::{KnownServer, Servers, State};
use crate::clock::boot_time;
use crate::log::event::ServerLimitChanged;
use crate::node::Node;
use fl_limits::LimitStatement;
use fl_limits::named_limit::sharing_nodes;
use fl_protocol::forward::{ServerEntry, ServerName};
use fl_routing::rendezvous::is_among_highest;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a node reports to its peers of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// The hash of the server's name.
    pub name_hash: u64,
    /// The limit in calls per second from all nodes together; `None` if it has ended.
    pub limit_per_s: Option<f64>,
    /// How long ago the node received the response that said so, in microseconds.
    pub age_us: u64,
}

/// The nodes that admit calls and therefore may share limits, by the hashes of their addresses.
#[derive(Debug, Clone, Default)]
pub struct AdmittingNodes {
    /// The hash of this node.
    pub own: u64,
    /// The hashes of its peers.
    pub peers: Vec<u64>,
}

/// Applies what a response of a server said about its limit.
pub fn note_limit(node: &Node, server: &str, limit_per_s: Option<f64>) {
    let now = boot_time();
    let mut has_changed = false;
    node.servers.with_known(server, |known| has_changed = known.limit.hear(limit_per_s, now));
    if has_changed {
        node.log.write(&ServerLimitChanged { server, limit_per_s, source: "response" });
        node.peers.request_urgent_report();
    }
}

/// Applies the limits that a peer reported.
pub fn apply_reported_limits(node: &Node, reported: &[ReportedLimit]) {
    let now = boot_time();
    for limit in reported {
        let heard_at = now.saturating_sub(Duration::from_micros(limit.age_us));
        let statement = LimitStatement { limit_per_s: limit.limit_per_s, heard_at };
        if let Some(server) = node.servers.learn_limit(limit.name_hash, statement, now) {
            let limit_per_s = limit.limit_per_s;
            node.log.write(&ServerLimitChanged { server: &server, limit_per_s, source: "peer" });
        }
    }
}

impl Servers {
    /// Sets the nodes that may share limits.
    pub fn set_admitting_nodes(&self, nodes: AdmittingNodes) {
        self.state.lock().admitting_nodes = nodes;
    }

    /// Returns the limits that this node knows from responses, for its peers.
    pub fn limits_to_report(&self) -> Vec<ReportedLimit> {
        let now = boot_time();
        let state = self.state.lock();
        let reported = state.known.iter().filter_map(|known| {
            let statement = known.limit.report(now)?;
            let age_us = now.saturating_sub(statement.heard_at).as_micros() as u64;
            let (name_hash, limit_per_s) = (known.name_hash(), statement.limit_per_s);
            Some(ReportedLimit { name_hash, limit_per_s, age_us })
        });
        reported.collect()
    }

    /// Returns the number of servers with a limit in force.
    pub fn limited(&self) -> usize {
        let now = boot_time();
        let state = self.state.lock();
        state.known.iter().filter(|known| known.limit.in_force(now).is_some()).count()
    }

    /// Applies what a peer reported of one server. Returns the server's name if its limit changed.
    fn learn_limit(
        &self,
        name_hash: u64,
        statement: LimitStatement,
        now: Duration,
    ) -> Option<ServerName> {
        let mut state = self.state.lock();
        let known = state.known.iter_mut().find(|known| known.name_hash() == name_hash)?;
        known.limit.learn(statement, now).then(|| known.name.clone())
    }
}

impl State {
    /// Returns whether the limit of a server lets this node send it a call now.
    pub(super) fn limit_permits(&self, entry: &ServerEntry, now: Duration) -> bool {
        let known = self.known_server(&entry.name);
        known.is_none_or(|known| known.limit.may_send(self.sharing_nodes(known, now), now))
    }

    /// Counts a call that is sent to a server now.
    pub(super) fn count_limited_call(&mut self, server: &str, now: Duration) {
        let Ok(index) = self.known.binary_search_by(|known| known.name.as_str().cmp(server)) else {
            return;
        };
        if let Some(sharing) = self.sharing_nodes(&self.known[index], now) {
            self.known[index].limit.count_call(sharing, now);
        }
    }

    /// Returns how many nodes share the limit of a server, `None` if it names no limit or this node
    /// is not one of them.
    fn sharing_nodes(&self, known: &KnownServer, now: Duration) -> Option<usize> {
        let AdmittingNodes { own, peers } = &self.admitting_nodes;
        let sharing = sharing_nodes(known.limit.in_force(now)?, peers.len() + 1);
        is_among_highest(known.name_hash(), *own, peers, sharing).then_some(sharing)
    }
}
