//! What the parts of a forwarding node share.

use crate::admission::Quotas;
use crate::clock::boot_time;
use crate::connection_pool::{Connection, ConnectionPool, idle_connections_max};
use crate::duties::DutyLeaseState;
use crate::log::Log;
use crate::peers::Peers;
use crate::retry_budget::RetryBudgets;
use crate::route_table::ActiveRouteTable;
use crate::servers::Servers;
use crate::shared_reads::ReadIntervals;
use crate::usage::UsageCounts;
use fl_kernel::forward::{CallCodec, ForwardSettings, PlatformDuties, PlatformStore};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How long before a key may have lost its force this node stops honouring keys when it cannot
/// read what is declared; covers the way of a request to this node.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Adapters through which a node reaches the platform.
pub struct PlatformAdapters {
    /// Translates calls.
    pub codec: Arc<dyn CallCodec>,
    /// Reads and writes what lasts.
    pub store: Arc<dyn PlatformStore>,
    /// Performs duties; none where the platform asks for none.
    pub duties: Option<Arc<dyn PlatformDuties>>,
}

/// A forwarding node.
pub struct Node {
    /// What it is set to.
    pub settings: ForwardSettings,
    /// Adapters to the platform.
    pub platform: PlatformAdapters,
    /// Its log.
    pub log: Log,
    /// What operators declared.
    pub route_table: ActiveRouteTable,
    /// Backend servers.
    pub servers: Servers,
    /// Connections to them.
    pub connections: ConnectionPool,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Retry budgets of services.
    pub retry_budgets: RetryBudgets,
    /// Calls that began to run, to be reported.
    pub usage: UsageCounts,
    /// The lease of the duties.
    pub duty_lease: DutyLeaseState,
    /// Other nodes.
    pub peers: Peers,
    /// How often it reads the store.
    pub read_intervals: ReadIntervals,
    /// Is cancelled when connections end after the answer under way.
    pub closing: CancellationToken,
    /// Is cancelled when every task has to end.
    pub cancel: CancellationToken,
    /// When it started, on the boot clock.
    pub started_at: Duration,
    leaving: AtomicBool,
    calls: AtomicUsize,
}

/// Counts a call for as long as it is under way.
pub struct ActiveCallGuard(Arc<Node>);

impl Node {
    /// Makes a node that knows nothing yet.
    pub fn new(settings: ForwardSettings, platform: PlatformAdapters, log: Log) -> Self {
        Node {
            retry_budgets: RetryBudgets::new(&settings.bounds),
            peers: Peers::new(&settings),
            read_intervals: ReadIntervals::new(&settings.bounds),
            settings,
            platform,
            log,
            route_table: ActiveRouteTable::default(),
            servers: Servers::default(),
            connections: ConnectionPool::default(),
            quotas: Quotas::default(),
            usage: UsageCounts::default(),
            duty_lease: DutyLeaseState::default(),
            closing: CancellationToken::new(),
            cancel: CancellationToken::new(),
            started_at: boot_time(),
            leaving: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
        }
    }

    /// Keeps a connection to a server of a service whose last answer ended cleanly.
    pub async fn keep_connection(&self, connection: Connection, service: &str) {
        let table = self.route_table.current();
        let connections_max = table.service(service).map_or(0, |service| service.connections_max);
        self.connections
            .put_back(
                connection,
                idle_connections_max(connections_max, self.peers.admitting_nodes()),
            )
            .await;
    }

    /// Counts a call to the platform's store by what it is for and how it ended.
    pub fn count_store_call(&self, purpose: &'static str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        let labels = [("purpose", purpose), ("result", result)];
        metrics::counter!("fl_store_calls_total", &labels).increment(1);
    }

    /// Waits; none if the node ends meanwhile.
    pub async fn sleep(&self, time: Duration) -> Option<()> {
        self.cancel.run_until_cancelled(tokio::time::sleep(time)).await
    }

    /// Says whether the balancer may choose this node: it knows what is declared and its servers,
    /// and can still trust the keys that callers bring.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.trusts_keys() && self.servers.age().is_some()
    }

    /// Says whether what is declared is fresh enough that a key which was taken away is not
    /// honoured for longer than promised.
    pub fn trusts_keys(&self) -> bool {
        let table = self.route_table.current();
        let limit = self.settings.bounds.revocation_delay.saturating_sub(REVOCATION_MARGIN);
        let is_fresh = self.route_table.age().is_some_and(|age| age < limit);
        table.version > 0 && (table.workspaces.is_empty() || is_fresh)
    }

    /// Takes word that the node was told to stop.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Says whether the node was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Calls under way.
    pub fn active_calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Takes word that a new table is in force.
    pub fn apply_table(&self) {
        self.quotas.apply_table(&self.route_table.current(), &self.settings);
    }
}

impl ActiveCallGuard {
    /// Begins to count a call.
    pub fn begin(node: &Arc<Node>) -> Self {
        node.calls.fetch_add(1, Ordering::Relaxed);
        ActiveCallGuard(node.clone())
    }
}

impl Drop for ActiveCallGuard {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
    }
}
