//! Follows the registry of backend servers.

use crate::clock::boot_time;
use crate::log::event::{DependencyLost, DependencyRegained, ServerChanged, ServerEntryUnreadable};
use crate::node::Node;
use crate::shared_reads::chosen_reader;
use fl_kernel::forward::ServerList;
use fl_protocol::forward::ServerEntry;
use fl_protocol::hash64;
use fl_routing::registered::RegistryChange;
use std::sync::Arc;
use std::time::Duration;

/// The longest time between two reads while entries that are missing are still used.
const KEEPING_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a read that brought nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows the registry until the node ends.
pub async fn watch(node: Arc<Node>) {
    let mut lost_at: Option<Duration> = None;
    loop {
        if let Some(left) = next_read_in(&node).filter(|left| !left.is_zero()) {
            if node.sleep(left).await.is_none() {
                return;
            }
            continue;
        }
        let pause = match read(&node).await {
            Ok(()) => {
                if let Some(since) = lost_at.take() {
                    let away_ms = (boot_time() - since).as_millis() as u64;
                    node.log.write(&DependencyRegained { dependency: "server registry", away_ms });
                }
                // A list that is older than what is known changes nothing and makes nothing fresh.
                node.read_intervals.registry_interval / 2
            }
            Err(error) => {
                if lost_at.is_none() {
                    lost_at = Some(boot_time());
                    node.log.write(&DependencyLost { dependency: "server registry", error });
                }
                RETRY_PAUSE
            }
        };
        if node.sleep(pause).await.is_none() {
            return;
        }
    }
}

/// How long until this node has to read the registry, since nobody does it for it; none at its start.
fn next_read_in(node: &Node) -> Option<Duration> {
    let age = node.servers.age()?;
    let interval = match chosen_reader(node) {
        Some(_) => node.read_intervals.registry_age_max,
        None => node.read_intervals.registry_interval,
    };
    let uses_missing = node.servers.uses_missing();
    let interval = if uses_missing { interval.min(KEEPING_INTERVAL) } else { interval };
    Some(interval.saturating_sub(age))
}

async fn read(node: &Node) -> Result<(), String> {
    let asked_at = boot_time();
    let list = node.platform.store.read_servers().await;
    node.count_store_call("servers", list.is_ok());
    let list = list.map_err(|error| error.to_string())?;
    log_faults(node, &mut node.servers.state.lock().faults, &list.faults);
    apply_list(node, list, asked_at);
    Ok(())
}

/// Takes a list of servers that was true at a time.
pub fn apply_list(node: &Node, list: ServerList, true_at: Duration) {
    let heartbeat = node.settings.server_heartbeat;
    let mut state = node.servers.state.lock();
    let entries = list.entries.clone();
    let changes = state.registered.take_list(entries, list.revision, true_at, heartbeat);
    if state.registered.read_at() != Some(true_at) {
        return;
    }
    state.know_listed();
    state.digest = digest(&list.entries);
    state.list = Arc::new(ServerList { faults: Vec::new(), ..list });
    let revision = state.list.revision;
    drop(state);
    for change in &changes {
        let (server, change) = match change {
            RegistryChange::Joined(server) => (server, "joined"),
            RegistryChange::Draining(server) => (server, "draining"),
            RegistryChange::Gone(server) => (server, "gone"),
        };
        node.log.write(&ServerChanged { server, change, revision });
    }
    if !changes.is_empty() {
        node.duty_lease.notify_servers_changed();
    }
    let usable = node.servers.usable();
    node.connections.close_unused(|address| usable.iter().any(|entry| entry.address == address));
}

/// Tells lists apart by what stands in their entries.
fn digest(entries: &[ServerEntry]) -> u64 {
    // An entry that cannot be encoded has no content that others could be told.
    let bytes = postcard::to_stdvec(entries).unwrap_or_default();
    hash64(&[&bytes])
}

/// Logs each unreadable entry once.
fn log_faults(node: &Node, known: &mut Vec<String>, faults: &[(String, String)]) {
    for (server, fault) in faults {
        if !known.contains(server) {
            node.log.write(&ServerEntryUnreadable { server, fault });
        }
    }
    *known = faults.iter().map(|(server, _)| server.clone()).collect();
}
