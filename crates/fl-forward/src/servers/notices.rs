//! What backend servers ask of the nodes in their responses: limits, pauses, and that they leave.

use super::{KnownServer, Servers, State};
use crate::clock::boot_time;
use crate::log::event::{
    ServerBrittle, ServerLeaving, ServerLimitChanged, ServerNoticeInvalid, ServerPaused,
};
use crate::node::Node;
use fl_limits::named_limit::sharing_nodes;
use fl_limits::{LimitStatement, NoticeChanges, SendDenial};
use fl_protocol::forward::{ResponseNotices, ServerEntry, ServerName};
use fl_routing::rendezvous::is_among_highest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// How a node knows what a server asks, in log lines.
const FROM_RESPONSE: &str = "response";
const FROM_PEER: &str = "peer";

/// What a node reports to its peers of what one server asked.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedNotices {
    /// The hash of the server's name.
    pub name_hash: u64,
    /// Start of the server's instance, in Unix milliseconds, if its entry says so.
    pub born_ms: Option<u64>,
    /// What the newest response said about the limit, if that matters to peers.
    pub limit: Option<ReportedLimit>,
    /// Whether the server said that it leaves.
    pub is_leaving: bool,
}

/// What a response of a server said about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// The limit in calls per second from all nodes together; `None` if it has ended.
    pub limit_per_s: Option<f64>,
    /// How long ago the node received the response, in microseconds.
    pub age_us: u64,
}

/// The nodes that admit calls and therefore may share limits, by the hashes of their addresses.
#[derive(Debug, Clone, Default)]
pub struct AdmittingNodes {
    /// The hash of this node.
    pub own: u64,
    /// The hashes of its peers.
    pub peers: Vec<u64>,
    /// The peers that may own slots of brittle servers: hash and address.
    pub owners: Vec<(u64, SocketAddr)>,
    /// Whether this node may own slots: it does not leave and reaches the servers.
    pub owns_slots: bool,
}

/// Applies what a response of a server asks of this node.
pub fn note_response(node: &Node, server: &str, notices: &ResponseNotices) {
    let now = boot_time();
    let mut changes = NoticeChanges::default();
    node.servers.with_known(server, |known| changes = known.notices.hear(notices, now));
    if changes.limit {
        let limit_per_s = notices.limit_per_s;
        node.log.write(&ServerLimitChanged { server, limit_per_s, source: FROM_RESPONSE });
    }
    if changes.leaving {
        begin_leaving(node, server, FROM_RESPONSE);
    }
    if let Some(pause) = notices.pause.filter(|_| changes.paused) {
        let pause_ms = pause.as_millis() as u64;
        node.log.write(&ServerPaused { server, pause_ms });
        metrics::counter!("fl_server_pauses_total").increment(1);
    }
    if changes.invalid_value {
        node.log.write(&ServerNoticeInvalid { server });
    }
    if changes.brittle {
        let brittle_per_s = notices.brittle_per_s;
        let turned_away = notices.was_turned_away;
        node.log.write(&ServerBrittle {
            server,
            brittle_per_s,
            turned_away,
            source: FROM_RESPONSE,
        });
    }
    if changes.limit || changes.leaving || changes.brittle {
        node.peers.request_urgent_report();
    }
}

/// Applies what a peer reported.
pub fn apply_reported_notices(node: &Node, reported: &[ReportedNotices]) {
    let now = boot_time();
    for notices in reported {
        if let Some(server) = node.servers.learn_limit(notices, now) {
            let limit_per_s = notices.limit.and_then(|limit| limit.limit_per_s);
            let source = FROM_PEER;
            node.log.write(&ServerLimitChanged { server: &server, limit_per_s, source });
        }
        if let Some(server) = node.servers.learn_leaving(notices) {
            begin_leaving(node, &server, FROM_PEER);
        }
    }
}

/// Closes the idle connections of a server that leaves by its own word.
fn begin_leaving(node: &Node, server: &str, source: &str) {
    node.log.write(&ServerLeaving { server, source });
    metrics::counter!("fl_servers_left_total").increment(1);
    let usable = node.servers.usable();
    node.connections.close_unused(|address| usable.iter().any(|entry| entry.address == address));
    node.duty_lease.notify_servers_changed();
}

impl Servers {
    /// Sets the nodes that may share limits, as this node begins to report to them. A node counts as
    /// silent after `silence_limit` without a report.
    pub fn set_admitting_nodes(&self, nodes: AdmittingNodes, silence_limit: Duration) {
        let mut state = self.state.lock();
        state.admitting_nodes = nodes;
        state.slot_tenure.note_report(boot_time(), silence_limit);
    }

    /// Returns what servers asked of all nodes in responses to this node, for its peers.
    pub fn notices_to_report(&self) -> Vec<ReportedNotices> {
        let now = boot_time();
        let state = self.state.lock();
        state.known.iter().filter_map(|known| known.notices_to_report(now)).collect()
    }

    /// Returns the number of servers with a limit in force.
    pub fn limited(&self) -> usize {
        let now = boot_time();
        let state = self.state.lock();
        state.known.iter().filter(|known| known.notices.limit.in_force(now).is_some()).count()
    }

    /// Applies a peer's report of a limit. Returns the server's name if its limit changed.
    fn learn_limit(&self, reported: &ReportedNotices, now: Duration) -> Option<ServerName> {
        let limit = reported.limit?;
        let heard_at = now.saturating_sub(Duration::from_micros(limit.age_us));
        let statement = LimitStatement { limit_per_s: limit.limit_per_s, heard_at };
        let mut state = self.state.lock();
        let known = state.reported_server(reported)?;
        known.notices.limit.learn(statement, now).then(|| known.name.clone())
    }

    /// Applies a peer's report that a server leaves. Returns the server's name if that is news.
    fn learn_leaving(&self, reported: &ReportedNotices) -> Option<ServerName> {
        let mut state = self.state.lock();
        let known = state.reported_server(reported).filter(|_| reported.is_leaving)?;
        known.notices.learn_leaving().then(|| known.name.clone())
    }
}

impl State {
    /// Returns the servers that may be used: registered, and not leaving by their own word.
    pub(super) fn usable(&self) -> impl Iterator<Item = &ServerEntry> {
        self.registered.usable().filter(|entry| {
            self.known_server(&entry.name).is_none_or(|known| !known.notices.is_leaving())
        })
    }

    /// Returns whether a server may be sent a call now, or why not.
    pub(super) fn check_notices(
        &self,
        entry: &ServerEntry,
        now: Duration,
    ) -> Result<(), SendDenial> {
        let Some(known) = self.known_server(&entry.name) else { return Ok(()) };
        known.notices.check(self.sharing_nodes(known, now), now)
    }

    /// Counts a call that is sent to a server now.
    pub(super) fn count_call(&mut self, server: &str, now: Duration) {
        let index = self.known.binary_search_by(|known| known.name.as_str().cmp(server));
        if let Ok(index) = index {
            let sharing = self.sharing_nodes(&self.known[index], now);
            self.known[index].notices.count_call(sharing, now);
        }
    }

    /// Returns the instance of a server that a peer reported on.
    fn reported_server(&mut self, reported: &ReportedNotices) -> Option<&mut KnownServer> {
        self.known_instance(reported.name_hash, reported.born_ms)
    }

    /// Returns an instance of a server by the hash of its name.
    pub(super) fn known_instance(
        &mut self,
        hash: u64,
        born_ms: Option<u64>,
    ) -> Option<&mut KnownServer> {
        self.known.iter_mut().find(|known| known.name_hash() == hash && known.born_ms == born_ms)
    }

    /// Returns how many nodes share the limit of a server, `None` if it names no limit or this node
    /// is not one of them.
    fn sharing_nodes(&self, known: &KnownServer, now: Duration) -> Option<usize> {
        let AdmittingNodes { own, peers, .. } = &self.admitting_nodes;
        let sharing = sharing_nodes(known.notices.limit.in_force(now)?, peers.len() + 1);
        is_among_highest(known.name_hash(), *own, peers, sharing).then_some(sharing)
    }
}

impl KnownServer {
    /// Returns what peers have to know of what the server asked; `None` if nothing.
    fn notices_to_report(&self, now: Duration) -> Option<ReportedNotices> {
        let limit = self.notices.limit.report(now).map(|statement| {
            let age_us = now.saturating_sub(statement.heard_at).as_micros() as u64;
            ReportedLimit { limit_per_s: statement.limit_per_s, age_us }
        });
        let is_leaving = self.notices.is_leaving();
        let (name_hash, born_ms) = (self.name_hash(), self.born_ms);
        (limit.is_some() || is_leaving).then_some(ReportedNotices {
            name_hash,
            born_ms,
            limit,
            is_leaving,
        })
    }
}
