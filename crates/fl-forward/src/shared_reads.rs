//! What the store says, read by a few nodes for all.
//!
//! Every node can read the store, but a read is paid for. So most nodes ask a peer that reads often
//! what it knows and how old that is. An asker counts the whole time of its question into the age,
//! on its own clock, so that a datagram that was held up or a suspension makes nothing look fresh.
//! A node whose knowledge grows older than its limits reads the store itself. Who reads is decided
//! in `fl_routing::readers`; see `docs/design/100-on-the-platform.md`.

use crate::clock::boot_time;
use crate::log::event::ReaderChanged;
use crate::node::Node;
use crate::peers::Datagram;
use crate::servers::apply_list;
use fl_kernel::forward::{ForwardBounds, ServerList, StoreRevision};
use fl_protocol::forward::{ServerEntry, TableVersion};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Part of the time in which a leaving server has to be known that a node's list may be old before
/// it reads the store itself. The rest covers a read that fails and one that takes its time.
const REGISTRY_AGE_SHARE: f64 = 0.45;
/// Part of that time between two reads of a node that reads for others.
const REGISTRY_READ_SHARE: f64 = 0.15;
/// Part of the time in which a declared version has to be in force that a node's knowledge may be
/// old before it reads the store itself.
const TABLE_AGE_SHARE: f64 = 0.6;
/// Part of that time for which one question for changes is held open at the store. Its end without
/// a change confirms the version in force.
const TABLE_WAIT_SHARE: f64 = 0.3;
/// Questions that a node asks while its knowledge grows from fresh to too old.
const QUERIES_PER_AGE_MAX: u32 = 3;

/// The shortest interval, whatever was promised; it bounds what reading costs.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);

/// How old what a node knows of the store may become.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadIntervals {
    /// How old the list of servers may be.
    pub registry_age_max: Duration,
    /// Time between two reads of it by a node that reads for others.
    pub registry_interval: Duration,
    /// How old what is declared may be.
    pub table_age_max: Duration,
    /// How long one question for changes of it is held open.
    pub table_wait: Duration,
    /// Time between two questions to a peer.
    pub query_interval: Duration,
}

impl ReadIntervals {
    /// The pace that keeps what was promised.
    pub fn new(bounds: &ForwardBounds) -> Self {
        let part = |bound: Duration, share: f64| bound.mul_f64(share).max(LEAST_INTERVAL);
        let registry_age_max = part(bounds.drain_timeout, REGISTRY_AGE_SHARE);
        let table_age_max = part(bounds.propagation_delay, TABLE_AGE_SHARE);
        ReadIntervals {
            registry_age_max,
            registry_interval: part(bounds.drain_timeout, REGISTRY_READ_SHARE),
            table_age_max,
            table_wait: part(bounds.propagation_delay, TABLE_WAIT_SHARE),
            query_interval: (registry_age_max.min(table_age_max) / QUERIES_PER_AGE_MAX)
                .max(LEAST_INTERVAL),
        }
    }
}

/// A question for what a peer knows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreQuery {
    /// When it was asked, on the asker's boot clock.
    pub asked_us: u64,
    /// The digest of the list of servers that the asker has.
    pub registry_digest: u64,
}

/// What a node knows of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreReply {
    /// The asker's time, given back.
    pub asked_us: u64,
    /// The declared version in force.
    pub table_version: TableVersion,
    /// How long ago that was known to be the newest.
    pub table_age_us: Option<u64>,
    /// How long ago the list of servers was true.
    pub registry_age_us: Option<u64>,
    /// The store's revision of that list.
    pub revision: StoreRevision,
    /// The digest of that list.
    pub registry_digest: u64,
    /// The list, unless the asker has it.
    pub entries: Option<Vec<ServerEntry>>,
}

/// The peer that this node asks; none if it reads the store itself.
pub fn chosen_reader(node: &Node) -> Option<SocketAddr> {
    let fresh_peers = node.peers.fresh_addresses();
    fl_routing::readers::reader_of(node.settings.peer_address, &fresh_peers)
}

/// Whether what this node knows is fresh enough to tell others.
pub fn is_fresh(node: &Node) -> bool {
    let intervals = &node.read_intervals;
    let within = |age: Option<Duration>, limit: Duration| age.is_some_and(|age| age < limit);
    !node.is_leaving()
        && within(node.servers.age(), intervals.registry_age_max)
        && within(node.route_table.age(), intervals.table_age_max)
}

/// Asks the reader again and again, until the node ends.
pub async fn query_reader(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut asked = None;
    loop {
        let chosen = chosen_reader(&node);
        if chosen != asked {
            asked = chosen;
            note_change(&node, chosen);
        }
        if let Some(reader) = chosen {
            let asked_us = boot_time().as_micros() as u64;
            let query = StoreQuery { asked_us, registry_digest: node.servers.digest() };
            Datagram::Query(query).send(&socket, reader);
        }
        tokio::select! {
            () = node.cancel.cancelled() => return,
            () = tokio::time::sleep(node.read_intervals.query_interval) => {}
            () = node.peers.wait_for_reader_list_change() => {}
        }
    }
}

fn note_change(node: &Node, reader: Option<SocketAddr>) {
    let millis = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
    node.log.write(&ReaderChanged {
        reader,
        registry_age_ms: millis(node.servers.age()),
        table_age_ms: millis(node.route_table.age()),
    });
}

/// Tells what this node knows.
pub fn reply_to(node: &Node, query: StoreQuery) -> StoreReply {
    let age_us = |age: Option<Duration>| age.map(|age| age.as_micros() as u64);
    let (list, digest) = node.servers.list();
    StoreReply {
        asked_us: query.asked_us,
        table_version: node.route_table.current().version,
        table_age_us: age_us(node.route_table.age()),
        registry_age_us: age_us(node.servers.age()),
        revision: list.revision,
        registry_digest: digest,
        entries: (query.registry_digest != digest).then(|| list.entries.clone()),
    }
}

/// Applies the reply of a peer.
pub fn apply_reply(node: &Node, reply: StoreReply) {
    let asked_at = Duration::from_micros(reply.asked_us);
    if asked_at > boot_time() {
        return;
    }
    let true_at = |age_us: u64| asked_at.checked_sub(Duration::from_micros(age_us));
    node.route_table.note_version(reply.table_version);
    if let Some(at) = reply.table_age_us.and_then(true_at) {
        node.route_table.confirm_version(reply.table_version, at);
    }
    let Some(at) = reply.registry_age_us.and_then(true_at) else { return };
    let (own, own_digest) = node.servers.list();
    let entries = match reply.entries {
        Some(entries) => entries,
        None if reply.registry_digest == own_digest => own.entries.clone(),
        None => return,
    };
    apply_list(node, ServerList { entries, faults: Vec::new(), revision: reply.revision }, at);
}
