//! Servers that are brittle: a node sends them calls only into slots that belong to it, or through
//! a node to which they belong.
//!
//! [`fl_limits::brittle_server`] decides. See `docs/design/115-brittle-servers.md`.

use super::{AdmittingNodes, InFlightCall, KnownServer, Servers, State};
use crate::clock::boot_time;
use crate::node::Node;
use fl_limits::brittle_server::owner_count;
use fl_limits::{SendDenial, SlotUse, Statement};
use fl_protocol::forward::ServerEntry;
use fl_routing::rendezvous::highest_ranked;
use rand::seq::IndexedRandom as _;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Owners that are tried for one attempt. Another one is tried only if nothing was sent.
const OWNERS_TRIED: usize = 2;

/// What a node reports to its peers of one server that is brittle, or no longer is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedBrittleServer {
    /// The hash of the server's name.
    pub name_hash: u64,
    /// Start of the server's instance, in Unix milliseconds, if its entry says so.
    pub born_ms: Option<u64>,
    /// Calls per second that it may turn away; `None` if it is no longer brittle.
    pub rejections_per_s: Option<f64>,
    /// How long ago the node received the response, in microseconds.
    pub age_us: u64,
    /// For how long the server is still closed, since it turned a call away, in microseconds.
    pub closed_for_us: u64,
}

/// Applies what a peer reported of brittle servers.
pub fn apply_reported_brittle_servers(node: &Node, reported: &[ReportedBrittleServer]) {
    let now = boot_time();
    let mut state = node.servers.state.lock();
    for server in reported {
        let heard_at = now.saturating_sub(Duration::from_micros(server.age_us));
        let statement = Statement { value: server.rejections_per_s, heard_at };
        let closed_for = Duration::from_micros(server.closed_for_us);
        if let Some(known) = state.known_instance(server.name_hash, server.born_ms) {
            known.notices.brittle.learn(statement, closed_for, now);
        }
    }
}

impl Servers {
    /// Returns what this node knows of brittle servers from responses to it, for its peers.
    pub fn brittle_servers_to_report(&self) -> Vec<ReportedBrittleServer> {
        let now = boot_time();
        let state = self.state.lock();
        let reported = state.known.iter().filter_map(|known| {
            let brittle = &known.notices.brittle;
            let statement = brittle.rejections_per_s.report(now)?;
            Some(ReportedBrittleServer {
                name_hash: known.name_hash(),
                born_ms: known.born_ms,
                rejections_per_s: statement.value,
                age_us: now.saturating_sub(statement.heard_at).as_micros() as u64,
                closed_for_us: brittle.closed_for(now).as_micros() as u64,
            })
        });
        reported.collect()
    }

    /// Returns the number of servers that say that they are brittle.
    pub fn brittle(&self) -> usize {
        let now = boot_time();
        let state = self.state.lock();
        state.known.iter().filter(|known| known.notices.brittle.is_brittle(now)).count()
    }

    /// Counts a call that this node sends to a server for another node, until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns why the server must not be sent a call now: it asked this node for a pause, leaves,
    /// or is brittle and none of this node's slots is free. Limits are kept by the other node.
    pub fn begin_proxied_call(
        node: &Arc<Node>,
        server: &ServerEntry,
    ) -> Result<InFlightCall, SendDenial> {
        let now = boot_time();
        let mut state = node.servers.state.lock();
        if let Err(denial @ (SendDenial::Paused(_) | SendDenial::Leaving)) =
            state.check_notices(server, now)
        {
            return Err(denial);
        }
        let is_brittle = state.is_service_brittle(&server.service, now);
        if is_brittle && !state.has_free_slot(server, now) {
            return Err(SendDenial::Full);
        }
        if !is_brittle {
            return Ok(InFlightCall::uncounted(node, server));
        }
        let index = state.known.binary_search_by(|known| known.name.cmp(&server.name));
        if let Ok(index) = index {
            state.known[index].own.begin(0, false);
        }
        Ok(InFlightCall::for_peer(node, server))
    }
}

/// How a call gets to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Way {
    /// This node sends it, or any peer while the links are lost.
    Direct,
    /// One of these peers sends it, as slots of the server belong to them.
    Through(Vec<SocketAddr>),
}

impl State {
    /// Returns whether the servers of a service are brittle: one that has just started may not have
    /// said so yet, so the word of any holds for all.
    pub(super) fn is_service_brittle(&self, service: &str, now: Duration) -> bool {
        let of_service = self.usable().filter(|entry| entry.service == service);
        let mut known = of_service.filter_map(|entry| self.known_server(&entry.name));
        known.any(|known| known.notices.brittle.is_brittle(now))
    }

    /// Returns how a call gets to a brittle server; `None` if it has no room.
    pub(super) fn way_to_brittle(
        &self,
        entry: &ServerEntry,
        has_links: bool,
        now: Duration,
    ) -> Option<Way> {
        if has_links && self.has_free_slot(entry, now) {
            return Some(Way::Direct);
        }
        let owners = self.slot_owners(entry, now);
        (!owners.is_empty()).then_some(Way::Through(owners))
    }

    /// Returns whether a slot of a brittle server that belongs to this node is free.
    fn has_free_slot(&self, entry: &ServerEntry, now: Duration) -> bool {
        let Some(known) = self.known_server(&entry.name) else { return false };
        let (owners, count) = self.owners(known, entry);
        let is_owner = owners.contains(&self.admitting_nodes.owners.len());
        let own_slots = if is_owner { entry.slots / count as u32 } else { 0 };
        let slots = SlotUse { in_flight: known.own.in_flight, own_slots };
        self.slot_tenure.may_use_slots(now) && known.notices.brittle.has_room(slots, now)
    }

    /// Returns some peers to which slots of a brittle server belong, at random; none if the server
    /// is closed.
    fn slot_owners(&self, entry: &ServerEntry, now: Duration) -> Vec<SocketAddr> {
        let known = self.known_server(&entry.name);
        let open = known.filter(|known| known.notices.brittle.closed_for(now).is_zero());
        let Some(known) = open else { return Vec::new() };
        let nodes = &self.admitting_nodes.owners;
        let (owners, _) = self.owners(known, entry);
        let peers: Vec<usize> = owners.into_iter().filter(|index| *index < nodes.len()).collect();
        let chosen = peers.sample(&mut rand::rng(), OWNERS_TRIED);
        chosen.map(|index| nodes[*index].1).collect()
    }

    /// Returns the nodes to which the slots of a server belong, and among how many the slots are
    /// divided. A node is an index of the peers that may own slots, or their number for this node.
    fn owners(&self, known: &KnownServer, entry: &ServerEntry) -> (Vec<usize>, usize) {
        let AdmittingNodes { own, owners, owns_slots, .. } = &self.admitting_nodes;
        let mut hashes: Vec<u64> = owners.iter().map(|(hash, _)| *hash).collect();
        hashes.extend(owns_slots.then_some(*own));
        let count = owner_count(entry.slots, hashes.len());
        (highest_ranked(known.name_hash(), &hashes, count), count)
    }
}
