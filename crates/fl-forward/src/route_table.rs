//! The route table in force at this node and when it was last known to be the newest.

use crate::clock::boot_time;
use crate::log::event::{
    DependencyLost, DependencyRegained, TableInForce, TableReadFailed, TableReadRestarted,
    TableUnreadable,
};
use crate::node::Node;
use crate::shared_reads::chosen_reader;
use fl_kernel::forward::{PlatformError, RouteTableRead, StoreRevision};
use fl_protocol::forward::RouteTable;
use fl_routing::urgency::UrgencyRanks;
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Shortest sleep before a node checks the table's age again.
const SLEEP_MIN: Duration = Duration::from_millis(10);
/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The route table in force here, which is replaced when a newer version is read.
#[derive(Default)]
pub struct ActiveRouteTable {
    table: RwLock<Arc<RouteTable>>,
    urgencies: RwLock<Arc<UrgencyRanks>>,
    /// The boot time at which the table was last known to be the newest.
    confirmed_at: Mutex<Option<Duration>>,
    /// The newest version that peers reported.
    newest_reported_version: AtomicU64,
    newer_version_reported: Notify,
}

impl ActiveRouteTable {
    /// Returns the table in force here; its version is 0 until one was read.
    pub fn current(&self) -> Arc<RouteTable> {
        self.table.read().clone()
    }

    /// Returns how urgent the calls of its routes are.
    pub fn urgencies(&self) -> Arc<UrgencyRanks> {
        self.urgencies.read().clone()
    }

    /// Returns how long ago the table was last known to be the newest, if ever.
    pub fn age(&self) -> Option<Duration> {
        let confirmed_at = *self.confirmed_at.lock();
        confirmed_at.map(|at| boot_time().saturating_sub(at))
    }

    /// Notes a version that a peer reported. If it is newer than the table in force, it is read at
    /// once.
    ///
    /// Only the first report of a version starts a read. Peers repeat their reports, and a read
    /// that is restarted by each of them would never end while the store is slow.
    pub fn note_version(&self, version: u64) {
        let reported_before = self.newest_reported_version.fetch_max(version, Ordering::Relaxed);
        if version > reported_before && version > self.table.read().version {
            self.newer_version_reported.notify_one();
        }
    }

    /// Replaces the table in force by a newer one and returns the version that was replaced.
    fn install(&self, table: RouteTable) -> Option<u64> {
        let mut current = self.table.write();
        let previous = current.version;
        if table.version <= previous {
            return None;
        }
        *self.urgencies.write() = Arc::new(UrgencyRanks::from_table(&table));
        *current = Arc::new(table);
        Some(previous)
    }

    /// Notes that a peer knew a version to be the newest at a boot time. Ignored unless it is in
    /// force here.
    pub fn confirm_version(&self, version: u64, at: Duration) {
        if version > 0 && version == self.table.read().version {
            self.confirm(at);
        }
    }

    fn confirm(&self, at: Duration) {
        let mut confirmed_at = self.confirmed_at.lock();
        *confirmed_at = Some(confirmed_at.map_or(at, |known| known.max(at)));
    }
}

/// Keeps the route table up to date until the node ends.
pub async fn watch(node: Arc<Node>) {
    let mut revision: Option<StoreRevision> = None;
    let mut failing_since: Option<Duration> = None;
    let mut failures = 0;
    loop {
        let started_at = boot_time();
        let result = tokio::select! {
            () = node.cancel.cancelled() => return,
            () = node.route_table.newer_version_reported.notified() => {
                revision = None;
                log_restart(&node, started_at);
                continue;
            }
            result = read_when_due(&node, revision) => result,
        };
        node.count_store_call("operators' table", result.is_ok());
        match result {
            Ok(next) => {
                revision = Some(next);
                failures = 0;
                if let Some(since) = failing_since.take() {
                    let away_ms = millis_since(since);
                    node.log.write(&DependencyRegained { dependency: "operators' table", away_ms });
                }
                continue;
            }
            Err(PlatformError::HistoryGone) => {
                revision = None;
                continue;
            }
            Err(error) => {
                failures += 1;
                let error = error.to_string();
                let read_ms = millis_since(started_at);
                node.log.write(&TableReadFailed { read_ms, failures, error: error.clone() });
                if failing_since.is_none() {
                    failing_since = Some(boot_time());
                    node.log.write(&DependencyLost { dependency: "operators' table", error });
                }
            }
        }
        if node.sleep(RETRY_DELAY).await.is_none() {
            return;
        }
    }
}

fn log_restart(node: &Node, started_at: Duration) {
    let reported_version = node.route_table.newest_reported_version.load(Ordering::Relaxed);
    node.log.write(&TableReadRestarted { read_ms: millis_since(started_at), reported_version });
}

fn millis_since(start: Duration) -> u64 {
    boot_time().saturating_sub(start).as_millis() as u64
}

/// Reads the table at once if this node reads for others or knows of a newer version, otherwise
/// when its table has become too old.
async fn read_when_due(
    node: &Node,
    after: Option<StoreRevision>,
) -> Result<StoreRevision, PlatformError> {
    while after.is_some() && chosen_reader(node).is_some() {
        let age = node.route_table.age().unwrap_or(Duration::MAX);
        let Some(left) = node.read_intervals.table_age_max.checked_sub(age) else { break };
        tokio::time::sleep(left.max(SLEEP_MIN)).await;
    }
    read(node, after).await
}

/// Reads the whole table, or waits for its next change after a revision.
async fn read(node: &Node, after: Option<StoreRevision>) -> Result<StoreRevision, PlatformError> {
    let sent_at = boot_time();
    let (table_read, confirmed_at) = match after {
        None => (node.platform.store.read_route_table().await?, sent_at),
        Some(revision) => {
            let wait = node.read_intervals.table_wait;
            let table_read = node.platform.store.wait_for_route_table(revision, wait).await?;
            // A response without a change is sent at the end of the wait, so it confirms that
            // moment.
            let waited = table_read.table.is_none() && table_read.error.is_none();
            let full_wait = waited && boot_time().saturating_sub(sent_at) >= wait;
            (table_read, if full_wait { sent_at + wait } else { sent_at })
        }
    };
    apply_read(node, table_read, sent_at, confirmed_at)
}

fn apply_read(
    node: &Node,
    table_read: RouteTableRead,
    sent_at: Duration,
    confirmed_at: Duration,
) -> Result<StoreRevision, PlatformError> {
    if let Some(error) = &table_read.error {
        let in_force = node.route_table.current().version;
        node.log.write(&TableUnreadable { fault: error, in_force });
        return Err(PlatformError::Unreadable(error.clone()));
    }
    if let Some(table) = table_read.table {
        let (version, routes) = (table.version, table.routes.len());
        let (workspaces, keys) = (table.workspaces.len(), table.keys.len());
        if let Some(previous) = node.route_table.install(table) {
            let read_ms = millis_since(sent_at);
            node.log.write(&TableInForce { version, previous, routes, workspaces, keys, read_ms });
            node.apply_quotas();
        }
    }
    if node.route_table.current().version > 0 {
        node.route_table.confirm(confirmed_at);
    }
    Ok(table_read.revision)
}
