//! Confirms that this node knows the servers and the routes of the moment.
//!
//! A node that was suspended or cut off may not know a version that other nodes have begun streams
//! at since. Before it derives what began a stream from what it knows, it reads both again. See
//! `docs/design/120-stream-origins.md`.

use crate::clock::boot_time;
use crate::node::Node;
use crate::servers;
use std::time::Duration;
use tokio::sync::Mutex;

/// Shortest time between the beginnings of two reads, and from a failed read to the next one.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// The last confirmation, which the calls that wait for one share.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    last: Mutex<LastRead>,
}

#[derive(Debug, Default)]
struct LastRead {
    begun_at: Duration,
    is_confirmed: bool,
}

impl Confirmation {
    /// Returns whether the servers and routes that this node knows were read after a boot time and
    /// are still those of the store.
    pub(super) async fn is_current_since(&self, node: &Node, asked_at: Duration) -> bool {
        let mut last = self.last.lock().await;
        if last.begun_at >= asked_at {
            return last.is_confirmed;
        }
        let since_last = boot_time().saturating_sub(last.begun_at);
        tokio::time::sleep(READ_INTERVAL.saturating_sub(since_last)).await;
        // Until the read has ended it counts as failed, as a caller may give up on it.
        *last = LastRead { begun_at: boot_time(), is_confirmed: false };
        last.is_confirmed = read_both(node, last.begun_at).await;
        last.is_confirmed
    }
}

/// Reads the servers, and applies them, and the routes. Returns whether the routes are those in force
/// here.
async fn read_both(node: &Node, sent_at: Duration) -> bool {
    let store = &node.platform.store;
    let (list, table_read) = tokio::join!(store.read_servers(), store.read_route_table());
    node.count_store_call("servers", list.is_ok());
    node.count_store_call("operators' table", table_read.is_ok());
    let (Ok(list), Ok(table_read)) = (list, table_read) else { return false };
    servers::apply_list(node, list, sent_at);
    let version = table_read.table.map(|table| table.version);
    version == Some(node.route_table.current().version)
}
