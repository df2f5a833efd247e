//! How a node reads the route table when peers report newer versions meanwhile.

#![allow(clippy::expect_used)]

#[path = "support/node.rs"]
mod support;

use async_trait::async_trait;
use fl_forward::Node;
use fl_forward::route_table::watch;
use fl_kernel::forward::{
    PlatformError, PlatformStore, RouteTableRead, ServerList, StoreRevision, StoredRow,
    WriteOutcome,
};
use fl_protocol::forward::RouteTable;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use support::{StubStore, node_with_store};
use tokio::sync::Semaphore;

/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);

/// A store whose reads of the route table end only when the test lets them.
struct GatedStore {
    version: AtomicU64,
    /// One permit lets one read end.
    gate: Semaphore,
    begun: AtomicUsize,
    abandoned: AtomicUsize,
}

/// Counts a read as abandoned if it is dropped before it has ended.
struct ReadGuard<'a> {
    store: &'a GatedStore,
    has_ended: bool,
}

impl Drop for ReadGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.store.abandoned.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl GatedStore {
    fn new() -> Arc<Self> {
        Arc::new(GatedStore {
            version: AtomicU64::new(1),
            gate: Semaphore::new(0),
            begun: AtomicUsize::new(0),
            abandoned: AtomicUsize::new(0),
        })
    }

    /// Reads the version that is declared when the read begins.
    async fn read(&self) -> RouteTableRead {
        let version = self.version.load(Ordering::SeqCst);
        let mut guard = ReadGuard { store: self, has_ended: false };
        self.begun.fetch_add(1, Ordering::SeqCst);
        self.gate.acquire().await.expect("the gate is open").forget();
        guard.has_ended = true;
        let table = RouteTable { version, ..RouteTable::default() };
        RouteTableRead { table: Some(table), error: None, revision: version }
    }
}

#[async_trait]
impl PlatformStore for GatedStore {
    async fn read_route_table(&self) -> Result<RouteTableRead, PlatformError> {
        Ok(self.read().await)
    }

    async fn wait_for_route_table(
        &self,
        _: StoreRevision,
        _: Duration,
    ) -> Result<RouteTableRead, PlatformError> {
        std::future::pending().await
    }

    async fn read_servers(&self) -> Result<ServerList, PlatformError> {
        StubStore::default().read_servers().await
    }

    async fn read_rows(&self, table: &str) -> Result<Vec<StoredRow>, PlatformError> {
        StubStore::default().read_rows(table).await
    }

    async fn read_row(&self, table: &str, key: &str) -> Result<Option<StoredRow>, PlatformError> {
        StubStore::default().read_row(table, key).await
    }

    async fn write_row(
        &self,
        table: &str,
        key: &str,
        value: &str,
        expected: StoreRevision,
    ) -> Result<WriteOutcome, PlatformError> {
        StubStore::default().write_row(table, key, value, expected).await
    }
}

async fn wait_until(expectation: &str, condition: impl Fn() -> bool) {
    let polled = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, polled).await.expect(expectation);
}

fn start(store: &Arc<GatedStore>) -> Arc<Node> {
    let node = Arc::new(node_with_store("node", store.clone()));
    tokio::spawn(watch(node.clone()));
    node
}

/// Guards against reads that each report of a newer version begins again, so that versions in quick
/// succession keep a node from ever having one in force.
#[tokio::test]
async fn read_kept_for_newer_version() {
    let store = GatedStore::new();
    let node = start(&store);
    wait_until("the first read", || store.begun.load(Ordering::SeqCst) == 1).await;
    store.version.store(2, Ordering::SeqCst);
    node.route_table.note_version(2);
    // The watching task runs before the gate opens, so that it would see the report first.
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
    store.gate.add_permits(1);
    wait_until("version 1 in force", || node.route_table.current().version >= 1).await;
    assert_eq!(store.abandoned.load(Ordering::SeqCst), 0, "the read under way was abandoned");
    store.gate.add_permits(1);
    wait_until("version 2 in force", || node.route_table.current().version == 2).await;
    node.cancel.cancel();
}
