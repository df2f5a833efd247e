//! The interval at which a node reads the registry of backend servers.

#[path = "support/node.rs"]
mod support;

use fl_forward::clock::boot_time;
use fl_forward::servers::{apply_list, watch};
use fl_kernel::forward::ServerList;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::{StubStore, entry, node, store_version};

const READS: usize = 4;

fn list(revision: u64) -> ServerList {
    ServerList {
        entries: vec![entry("a", "model", 8)],
        invalid_entries: Vec::new(),
        store_version: store_version(revision),
    }
}

/// A stale response of the store does not make the list fresher, so the next read is due at once.
/// The node must still pause between such reads.
#[tokio::test]
async fn pause_after_stale_list() {
    let store = Arc::new(StubStore { list: list(1), ..StubStore::default() });
    let node = Arc::new(node("node", store.clone()));
    apply_list(&node, list(5), boot_time() - Duration::from_secs(10));
    let started_at = std::time::Instant::now();
    let watching = tokio::spawn(watch(node.clone()));
    while store.reads.load(Ordering::Relaxed) < READS {
        tokio::task::yield_now().await;
    }
    let pauses = node.read_intervals.registry_interval / 2 * (READS as u32 - 1);
    assert!(started_at.elapsed() >= pauses, "{:?}", started_at.elapsed());
    node.cancel.cancel();
    assert!(watching.await.is_ok());
}
