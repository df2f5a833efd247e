//! Duties that one node performs for all nodes: usage reports and orders of backend servers.
//!
//! A lease row in the platform's store gives the right to perform them. The holder counts the
//! lease's term from before it sent each renewal, on a clock that keeps running while the VM is
//! suspended.

mod scaling;
mod usage_reports;

use crate::clock::boot_time;
use crate::log::event::{DutyFailed, LeaseChanged};
use crate::node::Node;
use fl_fleet::{Held, Lease, LeaseRow, LeaseWrite, Observed, RenewalOutcome};
use fl_kernel::forward::{DutyLease, PlatformError, StoredRow, WriteOutcome};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// The table that holds the rows of the duties.
const DUTY_TABLE: &str = "duty";
const LEASE_KEY: &str = "lease";
/// Interval at which the lease and the duties are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The lease that this node holds, which it reports to peers and releases when it stops.
#[derive(Default)]
pub struct DutyLeaseState {
    held: Mutex<Option<(Lease<Held>, u64)>>,
    servers_changed: Notify,
}

/// State of the duties while this node performs them.
#[derive(Default)]
struct DutyWork {
    reports: usage_reports::ReportState,
    orders: scaling::Orders,
}

/// The lease as observed or held by this node.
enum LeaseState {
    Watching(Lease<Observed>),
    Holding(Lease<Held>),
}

impl DutyLeaseState {
    /// Wakes the duties after servers joined or left, as orders may be due at once.
    pub fn notify_servers_changed(&self) {
        self.servers_changed.notify_one();
    }

    /// Returns the fencing token while this node holds the lease.
    pub fn fencing_token(&self) -> Option<u64> {
        let held = self.held.lock();
        held.as_ref().and_then(|(lease, _)| lease.fencing_token(boot_time()).ok())
    }
}

/// Acquires the lease when it is free and performs the duties while holding it, until the node
/// ends.
pub async fn run(node: Arc<Node>) {
    if node.platform.duties.is_none() {
        return;
    }
    let own = node.settings.vm.clone();
    let mut lease_state =
        LeaseState::Watching(Lease::new(&own, node.settings.bounds.lease_duration, boot_time()));
    let mut work = DutyWork::default();
    loop {
        tokio::select! {
            () = node.cancel.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = node.duty_lease.servers_changed.notified() => {}
        }
        if node.settings.orders_fleet {
            scaling::measure_demand(&node, &mut work.orders);
        }
        lease_state = match lease_state {
            LeaseState::Watching(lease) => watch(&node, lease).await,
            LeaseState::Holding(lease) => hold(&node, lease, &mut work).await,
        };
        let held = match &lease_state {
            LeaseState::Holding(lease) => Some((lease.clone(), rand::random())),
            LeaseState::Watching(_) => None,
        };
        *node.duty_lease.held.lock() = held;
    }
}

/// Releases the lease, so that a peer need not wait until it expires.
pub async fn release_lease(node: &Node) {
    let held = node.duty_lease.held.lock().take();
    if let Some((lease, nonce)) = held {
        let claim = lease.release_write(nonce);
        // If the release is lost, the peers wait for the lease's term.
        let _ = write(node, &claim).await;
    }
}

async fn watch(node: &Node, lease: Lease<Observed>) -> LeaseState {
    if node.is_leaving() || !node.is_ready() || node.peers.is_duty_held_by_peer() {
        return LeaseState::Watching(lease);
    }
    let Ok(row) = node.platform.store.read_row(DUTY_TABLE, LEASE_KEY).await else {
        return LeaseState::Watching(lease);
    };
    let lease = lease.observe(boot_time(), row.as_ref().and_then(lease_row));
    let Some(claim) = lease.acquire_write(boot_time(), rand::random()) else {
        return LeaseState::Watching(lease);
    };
    let sent_at = boot_time();
    match write(node, &claim).await {
        Ok(WriteOutcome::Written(revision)) => {
            let fencing = claim.row.fencing;
            let holder = &node.settings.vm;
            lease_changed(node, "acquired", holder, fencing);
            LeaseState::Holding(lease.into_held(sent_at, claim, revision))
        }
        Ok(WriteOutcome::Conflict(row)) => {
            LeaseState::Watching(lease.observe(boot_time(), row.as_ref().and_then(lease_row)))
        }
        Err(_) => LeaseState::Watching(lease),
    }
}

async fn hold(node: &Node, lease: Lease<Held>, work: &mut DutyWork) -> LeaseState {
    let Ok(fencing) = lease.fencing_token(boot_time()) else {
        return LeaseState::Watching(stop_holding(node, lease, None));
    };
    let token = DutyLease { holder: node.settings.vm.clone(), fencing };
    if let Err(PlatformError::Stale) = work.perform(node, &token).await {
        return LeaseState::Watching(stop_holding(node, lease, None));
    }
    if !lease.is_renewal_due(boot_time()) {
        return LeaseState::Holding(lease);
    }
    renew(node, lease).await
}

impl DutyWork {
    async fn perform(&mut self, node: &Node, token: &DutyLease) -> Result<(), PlatformError> {
        if node.settings.reports_usage {
            let done = usage_reports::send_due_reports(node, token, &mut self.reports).await;
            log_failure(node, "usage report", done)?;
        }
        if node.settings.orders_fleet {
            let done = scaling::send_due_orders(node, token, &mut self.orders).await;
            log_failure(node, "fleet order", done)?;
        }
        Ok(())
    }
}

/// Logs a failed duty. Returns an error only if a greater fencing token was seen, which ends the
/// holder's work.
fn log_failure(
    node: &Node,
    duty: &'static str,
    done: Result<(), PlatformError>,
) -> Result<(), PlatformError> {
    let Err(error) = done else { return Ok(()) };
    node.log.write(&DutyFailed { duty, error: error.to_string() });
    if error == PlatformError::Stale { Err(error) } else { Ok(()) }
}

async fn renew(node: &Node, lease: Lease<Held>) -> LeaseState {
    let claim = lease.renewal_write(rand::random());
    let sent_at = boot_time();
    let current = match write(node, &claim).await {
        Ok(WriteOutcome::Written(revision)) => Some((revision, claim.row.clone())),
        Ok(WriteOutcome::Conflict(row)) => row.as_ref().and_then(lease_row),
        Err(_) => match node.platform.store.read_row(DUTY_TABLE, LEASE_KEY).await {
            Ok(row) => row.as_ref().and_then(lease_row),
            Err(_) => return LeaseState::Holding(lease),
        },
    };
    match lease.resolve_write(boot_time(), sent_at, &claim, current) {
        RenewalOutcome::Held(lease) => LeaseState::Holding(lease),
        RenewalOutcome::Lost(lease) => {
            lease_changed(node, "lost to a peer", "", 0);
            LeaseState::Watching(lease)
        }
    }
}

fn lease_changed(node: &Node, change: &'static str, holder: &str, fencing: u64) {
    metrics::counter!("fl_lease_changes_total", "change" => change).increment(1);
    node.log.write(&LeaseChanged { change, holder, fencing });
}

fn stop_holding(node: &Node, lease: Lease<Held>, row: Option<(u64, LeaseRow)>) -> Lease<Observed> {
    lease_changed(node, "lapsed", "", 0);
    lease.into_observed(boot_time(), row)
}

async fn write(node: &Node, claim: &LeaseWrite) -> Result<WriteOutcome, PlatformError> {
    let value = serde_json::to_string(&claim.row)
        .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
    let written =
        node.platform.store.write_row(DUTY_TABLE, LEASE_KEY, &value, claim.revision).await;
    node.count_store_call("lease", written.is_ok());
    written
}

fn lease_row(row: &StoredRow) -> Option<(u64, LeaseRow)> {
    let parsed_row = serde_json::from_str(&row.value).ok()?;
    Some((row.revision, parsed_row))
}
