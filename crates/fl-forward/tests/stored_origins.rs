//! What the origins of streams cost at the store, and what nodes find there that start.

#![allow(clippy::expect_used)]

#[path = "support/node.rs"]
mod support;

use async_trait::async_trait;
use fl_forward::Node;
use fl_forward::stream_origins::OriginStoreTask;
use fl_kernel::forward::{
    PlatformError, PlatformStore, RouteTableRead, RouteTableResponse, ServerList, StoreRevision,
    StoredRow, WriteOutcome,
};
use fl_protocol::forward::{CallKind, Route, RouteTable, ServerEntry, StoreVersion};
use fl_routing::stream_origins::StreamOrigin;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use support::{entry, node_with_store};
use tokio::time::Instant;

/// How long a node runs.
const RUN_TIME: Duration = Duration::from_millis(2500);
const LIST_INTERVAL: Duration = Duration::from_millis(100);
const STREAMS: u64 = 200;

/// A store in memory that counts its calls.
#[derive(Default)]
struct RowStore {
    rows: Mutex<Vec<StoredRow>>,
    reads: Mutex<u64>,
    writes: Mutex<u64>,
    /// Refuses all calls.
    is_away: Mutex<bool>,
}

impl RowStore {
    fn check(&self) -> Result<(), PlatformError> {
        match *self.is_away.lock() {
            true => Err(PlatformError::Refused("the store is away".to_string())),
            false => Ok(()),
        }
    }
}

fn refuse<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Refused("the test's store supports no such call".to_string()))
}

#[async_trait]
impl PlatformStore for RowStore {
    async fn read_route_table(&self) -> Result<RouteTableRead, PlatformError> {
        refuse()
    }

    fn incarnation(&self) -> Option<u64> {
        Some(1)
    }

    async fn wait_for_route_table(
        &self,
        _: StoreVersion,
        _: Duration,
    ) -> Result<RouteTableResponse, PlatformError> {
        refuse()
    }

    async fn read_servers(&self) -> Result<ServerList, PlatformError> {
        refuse()
    }

    async fn read_rows(&self, _: &str) -> Result<Vec<StoredRow>, PlatformError> {
        *self.reads.lock() += 1;
        self.check()?;
        Ok(self.rows.lock().clone())
    }

    async fn read_row(&self, _: &str, _: &str) -> Result<Option<StoredRow>, PlatformError> {
        refuse()
    }

    async fn write_row(
        &self,
        _: &str,
        key: &str,
        value: &str,
        expected: StoreRevision,
    ) -> Result<WriteOutcome, PlatformError> {
        *self.writes.lock() += 1;
        self.check()?;
        let mut rows = self.rows.lock();
        let found = rows.iter().position(|row| row.key == key);
        let known = found.map(|index| rows.remove(index));
        if known.as_ref().map_or(0, |row| row.revision) != expected {
            rows.extend(known.clone());
            return Ok(WriteOutcome::Conflict(known));
        }
        let revision = expected + 1;
        rows.push(StoredRow { key: key.to_string(), value: value.to_string(), revision });
        Ok(WriteOutcome::Written(revision))
    }
}

fn table() -> RouteTable {
    table_of(&["model"])
}

/// Returns a table with one route to services of equal weight.
fn table_of(services: &[&str]) -> RouteTable {
    let route = Route {
        name: "plan".to_string(),
        host: "desk.example".to_string(),
        prefix: "/plan/".to_string(),
        kind: CallKind::Stream,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(400),
        priority: 1,
        services: services.iter().map(|service| (service.to_string(), 1)).collect(),
        servers_max: 2,
        anonymous: false,
        resumable: true,
        event_gap_target: None,
    };
    RouteTable { version: 1, routes: vec![Arc::new(route)], ..RouteTable::default() }
}

fn servers(versions: &[&str]) -> Vec<ServerEntry> {
    let server = |version: &&str| ServerEntry {
        software_version: (*version).to_string(),
        ..entry(version, "model", 8)
    };
    versions.iter().map(server).collect()
}

/// Runs a node for a time, which reads lists with these versions while peers tell it of streams.
async fn run(store: &Arc<RowStore>, versions: &[&str], streams: u64) -> Node {
    run_with_late_list(store, versions, streams, Duration::ZERO).await
}

/// Runs a node whose lists show the first version alone until a time.
async fn run_with_late_list(
    store: &Arc<RowStore>,
    versions: &[&str],
    streams: u64,
    first_alone: Duration,
) -> Node {
    let node = node_with_store("node", store.clone());
    node.stream_origins.note_routes(&table());
    run_node(node, versions, streams, first_alone).await
}

async fn run_node(node: Node, versions: &[&str], streams: u64, first_alone: Duration) -> Node {
    let begin_streams = async {
        let servers = servers(versions);
        let origin = StreamOrigin::of(&servers[0]);
        let begin = Instant::now();
        let end = begin + RUN_TIME;
        let mut stream = 0;
        while Instant::now() < end {
            let shown = if begin.elapsed() < first_alone { 1 } else { servers.len() };
            node.stream_origins.note_list(&servers[..shown]);
            for _ in 0..streams / 20 {
                node.stream_origins.record(stream.min(streams - 1), origin);
                stream += 1;
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    };
    let count_call = |_: &'static str, _: bool| {};
    let keeper = OriginStoreTask::new(
        &*node.platform.store,
        &node.peers,
        &node.stream_origins,
        &node.settings,
        &node.log,
        &count_call,
    );
    tokio::select! {
        () = keeper.run() => {}
        () = begin_streams => {}
    }
    node
}

/// Guards against calls to the store for streams of a service that has one version: a read at the
/// start and the row of versions are all.
#[tokio::test]
async fn one_version_costs_two_calls() {
    let store = Arc::default();
    run(&store, &["v1"], STREAMS).await;
    assert_eq!((*store.reads.lock(), *store.writes.lock()), (1, 1));
}

/// Guards against losing the streams of a route that several services share, each with one version,
/// when the nodes that know them are restarted.
#[tokio::test]
async fn split_route_stored() {
    let store: Arc<RowStore> = Arc::default();
    let split = || {
        let node = node_with_store("node", store.clone());
        node.stream_origins.note_routes(&table_of(&["model", "other"]));
        node
    };
    run_node(split(), &["v1"], STREAMS, Duration::ZERO).await;
    let started = run_node(split(), &["v1"], 0, Duration::ZERO).await;
    let lost = (0..STREAMS).filter(|stream| started.stream_origins.find(*stream).is_none());
    assert_eq!(lost.count(), 0);
}

/// Guards against losing the streams that begin while a node does not know yet that a service had one
/// version alone, as it has found no row of those before it.
#[tokio::test]
async fn unknown_history_stored() {
    let store: Arc<RowStore> = Arc::default();
    let later = || {
        let mut node = node_with_store("node", store.clone());
        node.settings.is_first_start = false;
        node.stream_origins.note_routes(&table());
        node
    };
    run_node(later(), &["v1"], STREAMS, Duration::ZERO).await;
    let started = run_node(later(), &["v1"], 0, Duration::ZERO).await;
    let lost = (0..STREAMS).filter(|stream| started.stream_origins.find(*stream).is_none());
    assert_eq!(lost.count(), 0);
}

/// Guards against more writes than a tenth of what the store accepts, and against streams that a node
/// which starts does not find.
#[tokio::test]
async fn several_versions_stored_in_batches() {
    let store = Arc::default();
    let node = run(&store, &["v1", "v2"], STREAMS).await;
    let writes_max = node.settings.store_writes_per_s / 10.0 * RUN_TIME.as_secs_f64();
    let writes = *store.writes.lock();
    assert!(writes as f64 <= writes_max, "{writes} writes, {writes_max} allowed");
    let started = run(&store, &["v1", "v2"], 0).await;
    let lost = (0..STREAMS).filter(|stream| started.stream_origins.find(*stream).is_none());
    assert_eq!(lost.count(), 0);
}

/// Guards against a writer that drops what it is told by nodes which know of a second version before
/// it does.
#[tokio::test]
async fn told_before_second_version_known() {
    let store = Arc::default();
    run_with_late_list(&store, &["v1", "v2"], STREAMS, Duration::from_secs(1)).await;
    let started = run(&store, &["v1", "v2"], 0).await;
    let lost = (0..STREAMS).filter(|stream| started.stream_origins.find(*stream).is_none());
    assert_eq!(lost.count(), 0);
}

/// Guards against rows that another build or a fault left behind.
#[tokio::test]
async fn unreadable_rows_ignored() {
    let store: Arc<RowStore> = Arc::default();
    for key in ["versions.1", "versions.2", "origins.1.zone-a.00", "origins.1.zone-a.xx", "other"] {
        let (key, value) = (key.to_string(), "{\"format\":2}".to_string());
        store.rows.lock().push(StoredRow { key, value, revision: 4 });
    }
    run(&store, &["v1", "v2"], STREAMS).await;
    let started = run(&store, &["v1", "v2"], 0).await;
    assert!((0..STREAMS).all(|stream| started.stream_origins.find(stream).is_some()));
}

/// Guards against flooding a store that is away, and against not going on when it returns.
#[tokio::test]
async fn away_store_not_flooded() {
    let store: Arc<RowStore> = Arc::default();
    *store.is_away.lock() = true;
    run(&store, &["v1", "v2"], STREAMS).await;
    let calls = *store.reads.lock() + *store.writes.lock();
    assert!(calls <= 8, "{calls} calls in {RUN_TIME:?}");
    *store.is_away.lock() = false;
    let node = run(&store, &["v1", "v2"], STREAMS).await;
    assert!(node.stream_origins.find(0).is_some());
    assert!(!store.rows.lock().is_empty());
}
