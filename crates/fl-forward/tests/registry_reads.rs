//! How often a node reads the registry of backend servers.

#[path = "support/node.rs"]
mod support;

use fl_forward::clock::boot_time;
use fl_forward::servers::{apply_list, watch};
use fl_kernel::forward::ServerList;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::{StubStore, entry, node};

const READS: usize = 4;

fn list(revision: u64) -> ServerList {
    ServerList { entries: vec![entry("a", "model", 8)], faults: Vec::new(), revision }
}

/// A store that answers from the past makes nothing fresh; the node must not ask it without a pause.
#[tokio::test]
async fn stale_answers_are_not_asked_for_in_a_loop() {
    let store = Arc::new(StubStore { list: list(1), ..StubStore::default() });
    let node = Arc::new(node("node", store.clone()));
    apply_list(&node, list(5), boot_time() - Duration::from_secs(10));
    let began = std::time::Instant::now();
    let watching = tokio::spawn(watch(node.clone()));
    while store.reads.load(Ordering::Relaxed) < READS {
        tokio::task::yield_now().await;
    }
    let pauses = node.read_intervals.registry_interval / 2 * (READS as u32 - 1);
    assert!(began.elapsed() >= pauses, "{:?}", began.elapsed());
    node.cancel.cancel();
    assert!(watching.await.is_ok());
}
