//! Keeps the list of backend servers up to date with the registry in the store.

use crate::clock::boot_time;
use crate::log::event::{DependencyLost, DependencyRegained, ServerChanged, ServerEntryUnreadable};
use crate::node::Node;
use crate::shared_reads::{announce_return, chosen_reader, retry_pause};
use fl_kernel::forward::ServerList;
use fl_protocol::forward::ServerEntry;
use fl_protocol::hash64;
use fl_routing::registry_view::RegistryChange;
use std::sync::Arc;
use std::time::Duration;

/// Longest interval of reads while servers are still used although their entries are missing.
const MISSING_ENTRY_INTERVAL: Duration = Duration::from_millis(300);
/// Pause of a node that reads for others after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reads the registry whenever it is due, until the node ends.
pub async fn watch(node: Arc<Node>) {
    let mut failing_since: Option<Duration> = None;
    let mut failures = 0;
    loop {
        if let Some(time_left) = next_read_in(&node).filter(|time_left| !time_left.is_zero()) {
            if node.sleep(time_left).await.is_none() {
                return;
            }
            continue;
        }
        let delay = match read(&node).await {
            Ok(()) => {
                failures = 0;
                if let Some(since) = failing_since.take() {
                    let away_ms = (boot_time() - since).as_millis() as u64;
                    node.log.write(&DependencyRegained { dependency: "server registry", away_ms });
                    announce_return(&node);
                }
                // After an outdated list, the next read would be due at once, as the known list
                // stays as old as it was. This pause prevents a loop of reads.
                node.read_intervals.registry_interval / 2
            }
            Err(error) => {
                if failing_since.is_none() {
                    failing_since = Some(boot_time());
                    node.log.write(&DependencyLost { dependency: "server registry", error });
                }
                failures += 1;
                retry_pause(&node, RETRY_DELAY, failures)
            }
        };
        if node.sleep(delay).await.is_none() {
            return;
        }
    }
}

/// Returns how long until this node has to read the registry itself, `None` if it never read it.
/// Replies of the reader keep the list fresh and so put the read off.
fn next_read_in(node: &Node) -> Option<Duration> {
    let age = node.servers.age()?;
    let interval = match chosen_reader(node) {
        Some(_) => node.read_intervals.registry_age_max,
        None => node.read_intervals.registry_interval,
    };
    let uses_missing = node.servers.uses_missing();
    let interval = if uses_missing { interval.min(MISSING_ENTRY_INTERVAL) } else { interval };
    Some(interval.saturating_sub(age))
}

async fn read(node: &Node) -> Result<(), String> {
    let sent_at = boot_time();
    let list = node.platform.store.read_servers().await;
    node.count_store_call("servers", list.is_ok());
    let list = list.map_err(|error| error.to_string())?;
    log_invalid_entries(
        node,
        &mut node.servers.state.lock().invalid_entries,
        &list.invalid_entries,
    );
    apply_list(node, list, sent_at);
    Ok(())
}

/// Applies a list of servers that was current in the store at a boot time. Ignored if a newer list
/// is known.
pub fn apply_list(node: &Node, list: ServerList, read_at: Duration) {
    let heartbeat = node.settings.server_heartbeat;
    let mut state = node.servers.state.lock();
    let entries = list.entries.clone();
    let changes = state.registered.apply_list(entries, list.store_version, read_at, heartbeat);
    if state.registered.read_at() != Some(read_at) {
        return;
    }
    state.update_known();
    state.digest = digest(&list.entries);
    state.list = Arc::new(ServerList { invalid_entries: Vec::new(), ..list });
    let store_version = state.list.store_version;
    node.stream_origins.note_list(&state.list.entries);
    drop(state);
    for change in &changes {
        let (server, change) = match change {
            RegistryChange::Joined(server) => (server, "joined"),
            RegistryChange::Draining(server) => (server, "draining"),
            RegistryChange::Gone(server) => (server, "gone"),
        };
        node.log.write(&ServerChanged {
            server,
            change,
            incarnation: store_version.incarnation,
            revision: store_version.revision,
        });
    }
    if !changes.is_empty() {
        node.duty_lease.notify_servers_changed();
    }
    let usable = node.servers.usable();
    node.connections.close_unused(|address| usable.iter().any(|entry| entry.address == address));
}

/// Returns a digest of a list's entries, by which nodes compare their lists.
fn digest(entries: &[ServerEntry]) -> u64 {
    // An entry that cannot be encoded could not be sent to a peer either.
    let bytes = postcard::to_stdvec(entries).unwrap_or_default();
    hash64(&[&bytes])
}

/// Logs each unreadable entry when it first appears.
fn log_invalid_entries(node: &Node, known: &mut Vec<String>, invalid_entries: &[(String, String)]) {
    for (server, fault) in invalid_entries {
        if !known.contains(server) {
            node.log.write(&ServerEntryUnreadable { server, fault });
        }
    }
    *known = invalid_entries.iter().map(|(server, _)| server.clone()).collect();
}
