//! State shared by all parts of a forwarding node.

use crate::admission::Quotas;
use crate::clock::boot_time;
use crate::connection_pool::{Connection, ConnectionPool, idle_connections_max};
use crate::crash_suspects::NodeCrashSuspects;
use crate::duties::DutyLeaseState;
use crate::links::NodeLinks;
use crate::log::Log;
use crate::log::event::{StoreCallsCounted, StoreIncarnationSeen};
use crate::peers::Peers;
use crate::retry_budget::RetryBudgets;
use crate::rollouts::Rollouts;
use crate::route_table::ActiveRouteTable;
use crate::servers::Servers;
use crate::shared_reads::ReadIntervals;
use crate::store_calls::{PurposeCalls, StoreCalls};
use crate::stream_origins::NodeStreamOrigins;
use crate::usage::UsageCounts;
use fl_clients::{ClientLimits, ClientResources};
use fl_kernel::forward::{CallCodec, ForwardSettings, PlatformDuties, PlatformStore};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How long before the revocation bound a node that cannot read the route table stops accepting API
/// keys. Covers the time a request takes to reach this node.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Most idle connections that a node keeps to one peer that sends calls on for it.
const PEER_CONNECTIONS_MAX: usize = 32;

/// Adapters through which a node reaches the platform.
pub struct PlatformAdapters {
    /// Translates calls between the wire format and the types of this package.
    pub codec: Arc<dyn CallCodec>,
    /// Reads and writes persistent rows, the route table and the server registry.
    pub store: Arc<dyn PlatformStore>,
    /// Reports usage and orders servers; `None` where the platform asks for neither.
    pub duties: Option<Arc<dyn PlatformDuties>>,
}

/// A forwarding node and everything it knows of its platform and its peers.
pub struct Node {
    /// The settings it was started with.
    pub settings: ForwardSettings,
    /// Adapters through which it reaches the platform.
    pub platform: PlatformAdapters,
    /// The structured log that every part writes to.
    pub log: Log,
    /// The route table in force here.
    pub route_table: ActiveRouteTable,
    /// The backend servers it may use, with their load.
    pub servers: Servers,
    /// Idle connections to backend servers.
    pub connections: ConnectionPool,
    /// Idle connections to peers that send calls on for this node.
    pub peer_connections: ConnectionPool,
    /// Memory and connections that its clients and peers share.
    pub clients: ClientResources,
    /// Whether it reaches any backend server.
    pub links: NodeLinks,
    /// What calls may have in common that crashes servers.
    pub crash_suspects: NodeCrashSuspects,
    /// What began the streams that callers may take up.
    pub stream_origins: NodeStreamOrigins,
    /// The moves of services to new software versions.
    pub rollouts: Arc<Rollouts>,
    /// Quotas of workspaces, shared with the other nodes.
    pub quotas: Quotas,
    /// Retry budgets by service.
    pub retry_budgets: RetryBudgets,
    /// Counts of calls that began to run, for usage reports.
    pub usage: UsageCounts,
    /// The lease that gives the right to perform the duties.
    pub duty_lease: DutyLeaseState,
    /// The other nodes, as far as their reports arrive.
    pub peers: Peers,
    /// How often it reads the store or asks a peer.
    pub read_intervals: ReadIntervals,
    /// Cancelled when the node closes its connections after their current response.
    pub closing: CancellationToken,
    /// Cancelled when every task has to end.
    pub cancel: CancellationToken,
    /// The boot time at which the node was created.
    pub started_at: Duration,
    leaving: AtomicBool,
    active_calls: AtomicUsize,
    incarnation: Mutex<SeenIncarnation>,
    store_calls: StoreCalls,
}

/// The incarnation of the store as this node has seen it.
#[derive(Debug, Default)]
struct SeenIncarnation {
    /// The greatest incarnation; `None` before the first response.
    newest: Option<u64>,
    /// The boot time at which this node first saw it.
    since: Duration,
}

/// Counts a call as active until it is dropped.
pub struct ActiveCallGuard(Arc<Node>);

impl Node {
    /// Creates a node that has read nothing from the store and knows no peers.
    pub fn new(settings: ForwardSettings, platform: PlatformAdapters, log: Log) -> Self {
        Node {
            retry_budgets: RetryBudgets::new(&settings.bounds),
            rollouts: Arc::new(Rollouts::new(&settings.bounds, settings.has_rollouts)),
            peers: Peers::new(&settings),
            read_intervals: ReadIntervals::new(&settings.bounds),
            clients: ClientResources::new(ClientLimits::of(settings.vm_limits)),
            settings,
            platform,
            log,
            route_table: ActiveRouteTable::default(),
            servers: Servers::default(),
            connections: ConnectionPool::default(),
            peer_connections: ConnectionPool::default(),
            links: NodeLinks::default(),
            crash_suspects: NodeCrashSuspects::default(),
            stream_origins: NodeStreamOrigins::default(),
            quotas: Quotas::default(),
            usage: UsageCounts::default(),
            duty_lease: DutyLeaseState::default(),
            closing: CancellationToken::new(),
            cancel: CancellationToken::new(),
            started_at: boot_time(),
            leaving: AtomicBool::new(false),
            active_calls: AtomicUsize::new(0),
            incarnation: Mutex::default(),
            store_calls: StoreCalls::default(),
        }
    }

    /// Returns a connection to its pool. Its last response must have ended cleanly.
    pub async fn keep_connection(&self, connection: Connection, service: &str) {
        if connection.leads_to_peer() {
            self.peer_connections.put_back(connection, PEER_CONNECTIONS_MAX).await;
            return;
        }
        let table = self.route_table.current();
        let connections_max = table.service(service).map_or(0, |service| service.connections_max);
        self.connections
            .put_back(
                connection,
                idle_connections_max(connections_max, self.peers.admitting_nodes()),
            )
            .await;
    }

    /// Counts a call to the platform's store in the metrics, by purpose and result.
    pub fn count_store_call(&self, purpose: &'static str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        let labels = [("purpose", purpose), ("result", result)];
        metrics::counter!("fl_store_calls_total", &labels).increment(1);
        let Some(counted) = self.store_calls.count(purpose, is_ok) else { return };
        let over_ms = boot_time().saturating_sub(counted.since).as_millis() as u64;
        let PurposeCalls { purpose, calls, failed, .. } = counted;
        self.log.write(&StoreCallsCounted { purpose, calls, failed, over_ms });
    }

    /// Notes the store's incarnation of a response, and logs a new one.
    pub fn note_incarnation(&self, incarnation: u64) {
        let mut seen = self.incarnation.lock();
        let previous = seen.newest;
        if previous.is_some_and(|previous| incarnation <= previous) {
            return;
        }
        *seen = SeenIncarnation { newest: Some(incarnation), since: boot_time() };
        if let Some(previous) = previous {
            self.log.write(&StoreIncarnationSeen { incarnation, previous });
        }
    }

    /// Returns the store's newest incarnation and the boot time at which this node first saw it. The
    /// store came back before that.
    pub fn store_incarnation(&self) -> (u64, Duration) {
        let seen = self.incarnation.lock();
        (seen.newest.unwrap_or(0), seen.since)
    }

    /// Sleeps for a time; returns `None` if the node is cancelled meanwhile.
    pub async fn sleep(&self, time: Duration) -> Option<()> {
        self.cancel.run_until_cancelled(tokio::time::sleep(time)).await
    }

    /// Returns whether the load balancer may send calls to this node: it is not leaving, knows the
    /// route table, the servers and the rollouts, and may still accept callers' API keys.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.trusts_keys()
            && self.servers.age().is_some()
            && self.rollouts.are_known()
    }

    /// Returns whether the route table is fresh enough to accept API keys, so that a revoked key is
    /// not accepted for longer than the revocation bound allows.
    pub fn trusts_keys(&self) -> bool {
        let table = self.route_table.current();
        let limit = self.settings.bounds.revocation_delay.saturating_sub(REVOCATION_MARGIN);
        let is_fresh = self.route_table.age().is_some_and(|age| age < limit);
        table.version > 0 && (table.workspaces.is_empty() || is_fresh)
    }

    /// Marks the node as leaving, after which it is no longer ready.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the node was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that have not ended.
    pub fn active_calls(&self) -> usize {
        self.active_calls.load(Ordering::Relaxed)
    }

    /// Applies the quotas of the route table in force.
    pub fn apply_quotas(&self) {
        let sharing = self.peers.quota_sharing();
        self.quotas.apply_table(&self.route_table.current(), &self.settings, sharing);
    }
}

impl ActiveCallGuard {
    /// Counts one more active call of a node.
    pub fn begin(node: &Arc<Node>) -> Self {
        node.active_calls.fetch_add(1, Ordering::Relaxed);
        ActiveCallGuard(node.clone())
    }
}

impl Drop for ActiveCallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
