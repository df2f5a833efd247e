//! The route table in force at this node and when it was last known to be the newest.

mod reads;

pub use reads::watch;

use crate::clock::boot_time;
use fl_protocol::forward::RouteTable;
use fl_routing::urgency::UrgencyRanks;
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

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

    /// Notes a version that a peer reported. If it is newer than the table in force, it is read as
    /// soon as no other read is under way.
    ///
    /// Only the first report of a version starts a read, since peers repeat their reports.
    pub fn note_version(&self, version: u64) {
        let reported_before = self.newest_reported_version.fetch_max(version, Ordering::Relaxed);
        if version > reported_before && version > self.table.read().version {
            self.newer_version_reported.notify_one();
        }
    }

    /// Waits until a peer has reported a version newer than the table in force, and returns it.
    async fn wait_for_newer_version(&self) -> u64 {
        loop {
            self.newer_version_reported.notified().await;
            let reported = self.newest_reported_version.load(Ordering::Relaxed);
            if reported > self.current().version {
                return reported;
            }
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
