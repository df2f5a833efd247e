//! Shared reads of the store: a few nodes read it and reply to the queries of the others.
//!
//! Every node can read the store, but each read costs money. Most nodes therefore query a peer that
//! reads often; the reply contains the peer's state and its age. The querying node adds the whole
//! time since it sent its query to that age, by its own clock, so that a delayed datagram or a
//! suspension makes no state look fresh. A node whose state exceeds its age limits reads the store
//! itself. `fl_routing::store_readers` decides which nodes read; see
//! `docs/design/100-on-the-platform.md`.

use crate::clock::boot_time;
use crate::log::event::ReaderChanged;
use crate::node::Node;
use crate::peers::Datagram;
use crate::route_table::TableId;
use crate::servers::apply_list;
use fl_kernel::forward::{ForwardBounds, ServerList};
use fl_protocol::forward::{ServerEntry, StoreVersion};
use fl_routing::store_readers::is_reader;
use fl_routing::store_retries::{self, RetryRole};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Age limit of a node's list of servers before it reads the store itself, as a share of the drain
/// bound, within which every node has to know that a server is leaving. The rest covers a failed
/// read and a slow one.
const REGISTRY_AGE_SHARE: f64 = 0.45;
/// Read interval of a node that reads for others, as a share of the drain bound.
const REGISTRY_READ_SHARE: f64 = 0.15;
/// Age limit of a node's route table before it reads the store itself, as a share of the
/// propagation bound, within which a new version has to be in force.
const TABLE_AGE_SHARE: f64 = 0.6;
/// How long the store holds one request for changes open, as a share of the propagation bound. If
/// it ends without a change, the version in force is confirmed.
const TABLE_WAIT_SHARE: f64 = 0.3;
/// Queries that a node sends while its state ages from fresh to the limit.
const QUERIES_PER_AGE_MAX: u32 = 3;

/// Shortest interval whatever the bounds are, which limits the cost of reading.
const INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Age limits of the state read from the store, and the intervals of reads that keep them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadIntervals {
    /// Age limit of the list of servers.
    pub registry_age_max: Duration,
    /// Interval at which a node that reads for others reads the list of servers.
    pub registry_interval: Duration,
    /// Age limit of the route table.
    pub table_age_max: Duration,
    /// How long the store holds a request for changes of the route table open.
    pub table_wait: Duration,
    /// Interval of queries to the reader.
    pub query_interval: Duration,
}

impl ReadIntervals {
    /// Creates the intervals that keep the promised bounds.
    pub fn new(bounds: &ForwardBounds) -> Self {
        let interval = |bound: Duration, share: f64| bound.mul_f64(share).max(INTERVAL_MIN);
        let registry_age_max = interval(bounds.drain_timeout, REGISTRY_AGE_SHARE);
        let table_age_max = interval(bounds.propagation_delay, TABLE_AGE_SHARE);
        ReadIntervals {
            registry_age_max,
            registry_interval: interval(bounds.drain_timeout, REGISTRY_READ_SHARE),
            table_age_max,
            table_wait: interval(bounds.propagation_delay, TABLE_WAIT_SHARE),
            query_interval: (registry_age_max.min(table_age_max) / QUERIES_PER_AGE_MAX)
                .max(INTERVAL_MIN),
        }
    }
}

/// A query for a peer's state of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreQuery {
    /// When it was sent, in microseconds of the sender's boot time.
    pub sent_at_us: u64,
    /// The digest of the sender's list of servers.
    pub registry_digest: u64,
}

/// The reply to a query: a node's state of the store and its age.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreReply {
    /// When the query was sent, by the sender's clock; returned unchanged.
    pub query_sent_at_us: u64,
    /// The route table in force at the replying node.
    pub table: TableId,
    /// How long ago that table was known to be the newest, in microseconds.
    pub table_age_us: Option<u64>,
    /// How long ago the list of servers was read, in microseconds.
    pub registry_age_us: Option<u64>,
    /// The store's version of that list.
    pub store_version: StoreVersion,
    /// The digest of that list.
    pub registry_digest: u64,
    /// The list, unless the querying node has it already.
    pub entries: Option<Vec<ServerEntry>>,
}

/// Returns the peer that this node queries, `None` if it reads the store itself.
pub fn chosen_reader(node: &Node) -> Option<SocketAddr> {
    let fresh_peers = node.peers.fresh_addresses();
    fl_routing::store_readers::assigned_reader(node.settings.peer_address, &fresh_peers)
}

/// Returns the pause after a call to the store that failed, `failures` of them in a row; `usual` is
/// the pause of a node that reads for others.
pub fn retry_pause(node: &Node, usual: Duration, failures: u32) -> Duration {
    let peers = node.peers.reporting_addresses();
    let role = match peers.len() {
        0 => RetryRole::Alone,
        _ if is_reader(node.settings.peer_address, &peers) => RetryRole::Reader,
        peers => RetryRole::Served { nodes: peers + 1 },
    };
    store_retries::retry_pause(usual, failures, role, rand::random())
}

/// Tells the peers at once that the store answers again, if this node reads for others: they learn
/// from its report that they may query it.
pub fn announce_return(node: &Node) {
    if is_reader(node.settings.peer_address, &node.peers.reporting_addresses()) {
        node.peers.request_urgent_report();
    }
}

/// Returns whether this node's state is fresh enough to reply with.
pub fn is_fresh(node: &Node) -> bool {
    let intervals = &node.read_intervals;
    let within = |age: Option<Duration>, limit: Duration| age.is_some_and(|age| age < limit);
    !node.is_leaving()
        && within(node.servers.age(), intervals.registry_age_max)
        && within(node.route_table.age(), intervals.table_age_max)
}

/// Queries the reader at intervals, and at once when its list changes, until the node ends.
pub async fn query_reader(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut last_reader = None;
    loop {
        let chosen = chosen_reader(&node);
        if chosen != last_reader {
            last_reader = chosen;
            log_reader_change(&node, chosen);
        }
        if let Some(reader) = chosen {
            let sent_at_us = boot_time().as_micros() as u64;
            let query = StoreQuery { sent_at_us, registry_digest: node.servers.digest() };
            Datagram::Query(query).send(&socket, reader);
        }
        tokio::select! {
            () = node.cancel.cancelled() => return,
            () = tokio::time::sleep(node.read_intervals.query_interval) => {}
            () = node.peers.wait_for_reader_list_change() => {}
        }
    }
}

fn log_reader_change(node: &Node, reader: Option<SocketAddr>) {
    let millis = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
    node.log.write(&ReaderChanged {
        reader,
        registry_age_ms: millis(node.servers.age()),
        table_age_ms: millis(node.route_table.age()),
    });
}

/// Builds the reply to a peer's query.
pub fn reply_to(node: &Node, query: StoreQuery) -> StoreReply {
    let age_us = |age: Option<Duration>| age.map(|age| age.as_micros() as u64);
    let (list, digest) = node.servers.list();
    StoreReply {
        query_sent_at_us: query.sent_at_us,
        table: node.route_table.id(),
        table_age_us: age_us(node.route_table.age()),
        registry_age_us: age_us(node.servers.age()),
        store_version: list.store_version,
        registry_digest: digest,
        entries: (query.registry_digest != digest).then(|| list.entries.clone()),
    }
}

/// Applies the reply of a peer.
///
/// Ignored if the query's time lies in the future or an age reaches back before the VM's start.
pub fn apply_reply(node: &Node, reply: StoreReply) {
    let sent_at = Duration::from_micros(reply.query_sent_at_us);
    if sent_at > boot_time() {
        return;
    }
    let current_at = |age_us: u64| sent_at.checked_sub(Duration::from_micros(age_us));
    node.route_table.note_table(reply.table);
    if let Some(at) = reply.table_age_us.and_then(current_at) {
        node.route_table.confirm_table(reply.table, at);
    }
    let Some(at) = reply.registry_age_us.and_then(current_at) else { return };
    let (own_list, own_digest) = node.servers.list();
    let entries = match reply.entries {
        Some(entries) => entries,
        None if reply.registry_digest == own_digest => own_list.entries.clone(),
        None => return,
    };
    apply_list(
        node,
        ServerList { entries, invalid_entries: Vec::new(), store_version: reply.store_version },
        at,
    );
}
