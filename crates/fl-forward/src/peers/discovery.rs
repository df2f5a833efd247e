//! Discovery of other nodes through rows in the platform's store.

use crate::clock::boot_time;
use crate::log::event::DependencyLost;
use crate::node::Node;
use crate::shared_reads::retry_pause;
use fl_kernel::forward::{StoreRevision, WriteOutcome};
use fl_routing::store_readers::list_interval;
use std::sync::Arc;
use std::time::Duration;

/// The table with one row per node, which holds its peer address.
const NODE_TABLE: &str = "nodes";
/// Pause until the list is read again if it named new nodes to one that has just started. Others may
/// start at the same time, and a node that is cut off is known from the list alone.
const NEW_NODES_DELAY: Duration = Duration::from_secs(1);
/// How long after its start a node expects others to register.
const STARTING_TIME: Duration = Duration::from_secs(10);
/// Pause of a node that reads the store for others after a failed call, and between two looks at
/// the store's incarnation.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Registers this node in the store and adds the nodes registered there, until the node ends.
pub async fn discover(node: Arc<Node>) {
    let mut revision: Option<StoreRevision> = None;
    let mut failures = 0;
    loop {
        let delay = match register_and_read(&node, &mut revision).await {
            Ok(added) => {
                failures = 0;
                next_read_delay(&node, added)
            }
            Err(error) => {
                if failures == 0 {
                    node.log.write(&DependencyLost { dependency: "list of nodes", error });
                }
                failures += 1;
                retry_pause(&node, RETRY_DELAY, failures)
            }
        };
        if wait_for_next_read(&node, delay).await.is_none() {
            return;
        }
    }
}

/// Returns the pause until the list is read again, after a read that named `added` new nodes.
fn next_read_delay(node: &Node, added: usize) -> Duration {
    let is_starting = boot_time().saturating_sub(node.started_at) < STARTING_TIME;
    if added > 0 && is_starting {
        return NEW_NODES_DELAY;
    }
    list_interval(1 + node.peers.reporting_addresses().len())
}

/// Waits for a time, or until the store comes back from an older copy, which may lack the rows of
/// nodes. Returns `None` if the node is cancelled meanwhile.
async fn wait_for_next_read(node: &Node, time: Duration) -> Option<()> {
    let known = node.platform.store.incarnation();
    let end = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < end && node.platform.store.incarnation() == known {
        node.sleep(RETRY_DELAY.min(time)).await?;
    }
    Some(())
}

/// Registers this node unless that is done, and adds the nodes of the list as peers. Returns the
/// number of those that were new.
async fn register_and_read(
    node: &Node,
    revision: &mut Option<StoreRevision>,
) -> Result<usize, String> {
    let store = &node.platform.store;
    let vm = &node.settings.vm;
    if revision.is_none() {
        let address = node.settings.peer_address.to_string();
        let known = store.read_row(NODE_TABLE, vm).await;
        node.count_store_call("nodes", known.is_ok());
        let known = known.map_err(|error| error.to_string())?;
        let expected = known.map_or(0, |row| row.revision);
        let written = store.write_row(NODE_TABLE, vm, &address, expected).await;
        node.count_store_call("nodes", written.is_ok());
        match written.map_err(|error| error.to_string())? {
            WriteOutcome::Written(written) => *revision = Some(written),
            WriteOutcome::Conflict(_) => {
                return Err(
                    "another process wrote the row of this name; give each node its own name"
                        .to_string(),
                );
            }
        }
    }
    let rows = store.read_rows(NODE_TABLE).await;
    node.count_store_call("nodes", rows.is_ok());
    let rows = rows.map_err(|error| error.to_string())?;
    if !rows.iter().any(|row| row.key == *vm) {
        *revision = None;
        return Err("the row of this node is lost; it is written again".to_string());
    }
    let addresses = rows.iter().filter_map(|row| row.value.parse().ok());
    let added = addresses.filter(|address| node.peers.add_peer(*address)).count();
    node.peers.note_list_read();
    node.quotas.set_sharing(node.peers.quota_sharing());
    if added > 0 {
        // Until the new peers are heard, their shares of quotas are left to them.
        node.peers.request_urgent_report();
    }
    Ok(added)
}
