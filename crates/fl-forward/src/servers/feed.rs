//! Follows the registry of backend servers.

use crate::clock::boot_time;
use crate::log::event::{DependencyLost, DependencyRegained, ServerChanged, ServerEntryUnreadable};
use crate::node::Node;
use fl_routing::registered::RegistryChange;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the registry. With the time an answer takes it stays well below the
/// shortest time in which a leaving server has to be known.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Time between two reads while entries that are missing are still used.
const KEEPING_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a read that brought nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows the registry until the node ends.
pub async fn follow(node: Arc<Node>) {
    let mut lost_at: Option<Duration> = None;
    loop {
        let pause = match read(&node).await {
            Ok(()) => {
                if let Some(since) = lost_at.take() {
                    let away_ms = (boot_time() - since).as_millis() as u64;
                    node.log.write(&DependencyRegained { dependency: "server registry", away_ms });
                }
                if node.servers.keeps_missing() { KEEPING_INTERVAL } else { READ_INTERVAL }
            }
            Err(error) => {
                if lost_at.is_none() {
                    lost_at = Some(boot_time());
                    node.log.write(&DependencyLost { dependency: "server registry", error });
                }
                RETRY_PAUSE
            }
        };
        if node.pause(pause).await.is_none() {
            return;
        }
    }
}

async fn read(node: &Node) -> Result<(), String> {
    let asked_at = boot_time();
    let list = node.ports.store.servers().await;
    node.count_store_call("servers", list.is_ok());
    let list = list.map_err(|error| error.to_string())?;
    let heartbeat = node.settings.server_heartbeat;
    let mut state = node.servers.state.lock();
    let changes = state.registered.take_list(list.entries, list.revision, asked_at, heartbeat);
    state.know_listed();
    log_faults(node, &mut state.faults, &list.faults);
    drop(state);
    for change in &changes {
        let (server, change) = match change {
            RegistryChange::Joined(server) => (server, "joined"),
            RegistryChange::Draining(server) => (server, "draining"),
            RegistryChange::Gone(server) => (server, "gone"),
        };
        node.log.write(&ServerChanged { server, change, revision: list.revision });
    }
    let usable = node.servers.usable();
    node.channels.sweep(|address| usable.iter().any(|entry| entry.address == address));
    Ok(())
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
