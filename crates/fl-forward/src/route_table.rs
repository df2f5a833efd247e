//! The route table in force at this node and when it was last known to be the newest.

mod reads;

pub use reads::watch;

use crate::clock::boot_time;
use fl_protocol::forward::{RouteTable, TableVersion};
use fl_routing::urgency::UrgencyRanks;
use parking_lot::{Mutex, RwLock};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Names a route table: a version number, and the store's incarnation that it was last read from.
///
/// The store gives version numbers out again in a later incarnation, so an equal number in a later
/// one may stand for other contents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableId {
    /// Version of the table.
    pub version: TableVersion,
    /// Incarnation of the store.
    pub incarnation: u64,
}

/// The route table in force here, which is replaced when a newer version is read.
#[derive(Default)]
pub struct ActiveRouteTable {
    table: RwLock<Arc<RouteTable>>,
    urgencies: RwLock<Arc<UrgencyRanks>>,
    /// The store's incarnation that the table was last read from.
    incarnation: AtomicU64,
    /// The boot time at which the table was last known to be the newest.
    confirmed_at: Mutex<Option<Duration>>,
    /// The newest table that peers reported.
    newest_reported: Mutex<TableId>,
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

    /// Returns the name of the table in force.
    pub fn id(&self) -> TableId {
        let version = self.table.read().version;
        TableId { version, incarnation: self.incarnation.load(Ordering::Relaxed) }
    }

    /// Notes a version that a peer reported without the store's incarnation.
    pub fn note_version(&self, version: TableVersion) {
        self.note_table(TableId { version, incarnation: 0 });
    }

    /// Notes a table that a peer reported. If it is newer than the one in force, it is read as soon
    /// as no other read is under way.
    ///
    /// Only the first report of a table starts a read, since peers repeat their reports.
    pub fn note_table(&self, table: TableId) {
        let mut newest = self.newest_reported.lock();
        if table > *newest {
            *newest = table;
            if table > self.id() {
                self.newer_version_reported.notify_one();
            }
        }
    }

    /// Waits until a peer has reported a table newer than the one in force, and returns its version.
    async fn wait_for_newer_version(&self) -> TableVersion {
        loop {
            self.newer_version_reported.notified().await;
            let reported = *self.newest_reported.lock();
            if reported > self.id() {
                return reported.version;
            }
        }
    }

    /// Returns whether the table in force is the newest that this node or a peer knows of.
    ///
    /// While the store is back from an older copy and the operators have not written again, a node
    /// that starts reads a table older than that of its peers.
    fn is_newest_known(&self) -> bool {
        let version = self.table.read().version;
        version > 0 && version >= self.newest_reported.lock().version
    }

    /// Replaces the table in force by a newer one and returns the version that was replaced.
    ///
    /// The same version with other contents counts as newer if it comes from a later incarnation of
    /// the store, which gives version numbers out again.
    fn install(&self, table: RouteTable, incarnation: u64) -> Option<TableVersion> {
        let mut current = self.table.write();
        let previous = current.version;
        let is_later = incarnation > self.incarnation.load(Ordering::Relaxed);
        let is_given_out_again = table.version == previous && is_later && table != **current;
        if table.version >= previous {
            self.incarnation.fetch_max(incarnation, Ordering::Relaxed);
        }
        if table.version <= previous && !is_given_out_again {
            return None;
        }
        *self.urgencies.write() = Arc::new(UrgencyRanks::from_table(&table));
        *current = Arc::new(table);
        Some(previous)
    }

    /// Notes that a peer knew a table to be the newest at a boot time. Ignored unless it is in force
    /// here.
    pub fn confirm_table(&self, table: TableId, at: Duration) {
        if table.version > 0 && table == self.id() {
            self.confirm(at);
        }
    }

    fn confirm(&self, at: Duration) {
        let mut confirmed_at = self.confirmed_at.lock();
        *confirmed_at = Some(confirmed_at.map_or(at, |known| known.max(at)));
    }
}
