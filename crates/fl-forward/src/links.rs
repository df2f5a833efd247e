//! This node's links to the backend servers: opens connections and finds out whether any server is
//! reached.
//!
//! [`fl_routing::backend_links`] decides; this module tells it what happens and probes servers. See
//! `docs/design/110-lost-links.md`.

use crate::clock::boot_time;
use crate::connection_pool::{Connection, SendError};
use crate::log::event::LinksChanged;
use crate::node::Node;
use fl_protocol::forward::ServerEntry;
use fl_routing::backend_links::{BackendLinks, LinkChange};
use futures::stream::{FuturesUnordered, StreamExt as _};
use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// How often the links are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Servers that are probed after the first one did not accept a connection.
const PROBED_SERVERS: usize = 8;

/// The links of a node to the backend servers, shared by its tasks.
#[derive(Default)]
pub struct NodeLinks {
    links: Mutex<BackendLinks>,
    /// Notified when a connection could not be opened.
    failed: Notify,
}

impl NodeLinks {
    /// Returns whether no server is reached.
    pub fn are_lost(&self) -> bool {
        self.links.lock().is_lost()
    }

    /// Records that a call was sent to a server.
    pub fn record_sent(&self) {
        self.links.lock().record_sent(boot_time());
    }

    /// Records that something arrived from a server.
    pub fn record_received(&self) {
        self.links.lock().record_received();
    }
}

/// Opens a connection to a server.
///
/// # Errors
///
/// Returns [`SendError::NotConnected`] if the server does not accept it in time.
pub async fn open(node: &Node, server: SocketAddr) -> Result<Connection, SendError> {
    metrics::counter!("fl_connections_opened_total").increment(1);
    let opened = Connection::open(node.settings.peer_address.ip(), server).await;
    match &opened {
        Ok(_) => {
            let change = node.links.links.lock().record_connected(boot_time());
            announce(node, change);
        }
        Err(_) => {
            metrics::counter!("fl_connections_failed_total").increment(1);
            node.links.links.lock().record_connect_failure(server);
            node.links.failed.notify_one();
        }
    }
    opened
}

/// Probes servers while the links are suspected or lost, until the node ends.
pub async fn watch(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.cancel.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = node.links.failed.notified() => {}
        }
        if node.links.links.lock().begin_probes(boot_time()) {
            probe(&node).await;
        }
    }
}

/// Probes one server, then some others; none that accepts a connection means that the links are
/// lost.
async fn probe(node: &Arc<Node>) {
    let usable = node.servers.usable();
    let probed: Vec<ServerEntry> =
        usable.sample(&mut rand::rng(), 1 + PROBED_SERVERS).cloned().collect();
    let Some((first, others)) = probed.split_first() else { return };
    if reaches_any(node, std::slice::from_ref(first)).await || reaches_any(node, others).await {
        return;
    }
    let now = boot_time();
    let (change, is_silent) = {
        let mut links = node.links.links.lock();
        (links.record_unanswered_probes(now), links.is_silent(now))
    };
    if is_silent {
        // Idle connections hang as well. Those that live on are used for as long as they do.
        node.connections.close_unused(|_| false);
    }
    if change.is_some() {
        node.peers.request_urgent_report();
    }
    announce(node, change);
}

/// Returns whether any of these servers accepts a connection, which is kept for the next call.
async fn reaches_any(node: &Arc<Node>, servers: &[ServerEntry]) -> bool {
    let opening = servers.iter().map(|server| async move {
        let opened = open(node, server.address).await.ok();
        opened.map(|connection| (connection, server))
    });
    let mut opening: FuturesUnordered<_> = opening.collect();
    while let Some(opened) = opening.next().await {
        let Some((connection, server)) = opened else { continue };
        node.keep_connection(connection, &server.service).await;
        return true;
    }
    false
}

fn announce(node: &Node, change: Option<LinkChange>) {
    let Some(change) = change else { return };
    let (change, failed_servers, lost_ms) = match change {
        LinkChange::Lost { failed_servers } => ("lost", failed_servers, 0),
        LinkChange::Regained { lost_for } => ("regained", 0, lost_for.as_millis() as u64),
    };
    metrics::counter!("fl_link_changes_total", "change" => change).increment(1);
    node.log.write(&LinksChanged { change, failed_servers, lost_ms });
}
