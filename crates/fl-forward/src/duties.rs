//! Duties that one node performs for all: reports of usage and orders of backend servers.
//!
//! The right to perform them is a lease row in the platform's store. A holder counts its validity
//! from before each renewal was sent, on a clock that goes on while the VM is suspended.

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

/// The table of the duties' rows.
const DUTY_TABLE: &str = "duty";
const LEASE_KEY: &str = "lease";
/// Time between two looks at what is to be done.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What this node's peers are told of its lease, and what it gives back at its end.
#[derive(Default)]
pub struct DutyLeaseState {
    held: Mutex<Option<(Lease<Held>, u64)>>,
    servers_changed: Notify,
}

/// What a holder remembers of its duties.
#[derive(Default)]
struct DutyWork {
    reports: usage_reports::Reports,
    orders: scaling::Orders,
}

/// The lease as this node sees it.
enum LeaseView {
    Watching(Lease<Observed>),
    Holding(Lease<Held>),
}

impl DutyLeaseState {
    /// Takes word that servers came or went, which may call for orders at once.
    pub fn notify_servers_changed(&self) {
        self.servers_changed.notify_one();
    }

    /// The fencing number, while this node holds the lease.
    pub fn fencing(&self) -> Option<u64> {
        let held = self.held.lock();
        held.as_ref().and_then(|(lease, _)| lease.fencing_token(boot_time()).ok())
    }
}

/// Performs the duties whenever this node holds their lease, until it ends.
pub async fn run(node: Arc<Node>) {
    if node.platform.duties.is_none() {
        return;
    }
    let own = node.settings.vm.clone();
    let mut view =
        LeaseView::Watching(Lease::new(&own, node.settings.bounds.lease_duration, boot_time()));
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
        view = match view {
            LeaseView::Watching(lease) => watch(&node, lease).await,
            LeaseView::Holding(lease) => hold(&node, lease, &mut work).await,
        };
        let held = match &view {
            LeaseView::Holding(lease) => Some((lease.clone(), rand::random())),
            LeaseView::Watching(_) => None,
        };
        *node.duty_lease.held.lock() = held;
    }
}

/// Gives the lease back, so that a peer need not wait for its end.
pub async fn release_lease(node: &Node) {
    let held = node.duty_lease.held.lock().take();
    if let Some((lease, nonce)) = held {
        let claim = lease.release_write(nonce);
        // A release that is lost costs the peers the lease's term.
        let _ = write(node, &claim).await;
    }
}

async fn watch(node: &Node, lease: Lease<Observed>) -> LeaseView {
    if node.is_leaving() || !node.is_ready() || node.peers.is_duty_held_by_peer() {
        return LeaseView::Watching(lease);
    }
    let Ok(row) = node.platform.store.read_row(DUTY_TABLE, LEASE_KEY).await else {
        return LeaseView::Watching(lease);
    };
    let lease = lease.observe(boot_time(), row.as_ref().and_then(lease_row));
    let Some(claim) = lease.acquire_write(boot_time(), rand::random()) else {
        return LeaseView::Watching(lease);
    };
    let sent_at = boot_time();
    match write(node, &claim).await {
        Ok(WriteOutcome::Written(revision)) => {
            let fencing = claim.row.fencing;
            let holder = &node.settings.vm;
            lease_changed(node, "acquired", holder, fencing);
            LeaseView::Holding(lease.into_held(sent_at, claim, revision))
        }
        Ok(WriteOutcome::Conflict(row)) => {
            LeaseView::Watching(lease.observe(boot_time(), row.as_ref().and_then(lease_row)))
        }
        Err(_) => LeaseView::Watching(lease),
    }
}

async fn hold(node: &Node, lease: Lease<Held>, work: &mut DutyWork) -> LeaseView {
    let Ok(fencing) = lease.fencing_token(boot_time()) else {
        return LeaseView::Watching(lost(node, lease, None));
    };
    let token = DutyLease { holder: node.settings.vm.clone(), fencing };
    if let Err(PlatformError::Stale) = work.perform(node, &token).await {
        return LeaseView::Watching(lost(node, lease, None));
    }
    if !lease.is_renewal_due(boot_time()) {
        return LeaseView::Holding(lease);
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

/// Logs a failure; only a greater fencing number ends the work of a holder.
fn log_failure(
    node: &Node,
    duty: &'static str,
    done: Result<(), PlatformError>,
) -> Result<(), PlatformError> {
    let Err(error) = done else { return Ok(()) };
    node.log.write(&DutyFailed { duty, error: error.to_string() });
    if error == PlatformError::Stale { Err(error) } else { Ok(()) }
}

async fn renew(node: &Node, lease: Lease<Held>) -> LeaseView {
    let claim = lease.renewal_write(rand::random());
    let sent_at = boot_time();
    let found = match write(node, &claim).await {
        Ok(WriteOutcome::Written(revision)) => Some((revision, claim.row.clone())),
        Ok(WriteOutcome::Conflict(row)) => row.as_ref().and_then(lease_row),
        Err(_) => match node.platform.store.read_row(DUTY_TABLE, LEASE_KEY).await {
            Ok(row) => row.as_ref().and_then(lease_row),
            Err(_) => return LeaseView::Holding(lease),
        },
    };
    match lease.resolve_write(boot_time(), sent_at, &claim, found) {
        RenewalOutcome::Held(lease) => LeaseView::Holding(lease),
        RenewalOutcome::Lost(lease) => {
            lease_changed(node, "lost to a peer", "", 0);
            LeaseView::Watching(lease)
        }
    }
}

fn lease_changed(node: &Node, change: &'static str, holder: &str, fencing: u64) {
    metrics::counter!("fl_lease_changes_total", "change" => change).increment(1);
    node.log.write(&LeaseChanged { change, holder, fencing });
}

fn lost(node: &Node, lease: Lease<Held>, row: Option<(u64, LeaseRow)>) -> Lease<Observed> {
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
    let read = serde_json::from_str(&row.value).ok()?;
    Some((row.revision, read))
}
