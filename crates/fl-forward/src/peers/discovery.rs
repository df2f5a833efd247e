//! Finds other nodes through rows in the platform's store.

use crate::log::event::DependencyLost;
use crate::node::Node;
use fl_kernel::forward::{StoreRevision, WriteOutcome};
use std::sync::Arc;
use std::time::Duration;

/// The table in which nodes register their address.
const NODE_TABLE: &str = "nodes";
/// Pause after a call to the store that brought nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks at the list of nodes, to find those whose datagrams never came.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(15);

/// Registers this node in the store and finds the others there.
pub async fn discover(node: Arc<Node>) {
    let mut revision: Option<StoreRevision> = None;
    let mut has_failed = false;
    loop {
        let pause = match meet(&node, &mut revision).await {
            Ok(()) => {
                has_failed = false;
                DISCOVERY_INTERVAL
            }
            Err(error) => {
                if !has_failed {
                    node.log.write(&DependencyLost { dependency: "list of nodes", error });
                }
                has_failed = true;
                RETRY_PAUSE
            }
        };
        if node.sleep(pause).await.is_none() {
            return;
        }
    }
}

async fn meet(node: &Node, revision: &mut Option<StoreRevision>) -> Result<(), String> {
    let store = &node.platform.store;
    let vm = &node.settings.vm;
    if revision.is_none() {
        let address = node.settings.peer_address.to_string();
        let known = store.read_row(NODE_TABLE, vm).await.map_err(|error| error.to_string())?;
        let expected = known.map_or(0, |row| row.revision);
        let written = store.write_row(NODE_TABLE, vm, &address, expected).await;
        match written.map_err(|error| error.to_string())? {
            WriteOutcome::Written(written) => *revision = Some(written),
            WriteOutcome::Conflict(_) => return Err("another process registers here".to_string()),
        }
    }
    let rows = store.read_rows(NODE_TABLE).await.map_err(|error| error.to_string())?;
    for address in rows.iter().filter_map(|row| row.value.parse().ok()) {
        node.peers.add(address);
    }
    Ok(())
}
