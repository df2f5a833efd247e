//! Duties that one node performs for all nodes: usage reports and orders of backend servers.
//!
//! A lease row in the platform's store gives the right to perform them. The holder counts the
//! lease's term from before it sent each renewal, on a clock that keeps running while the VM is
//! suspended, so that it stops before a peer may acquire the lease.

mod call_timer;
mod lease_row;
mod scaling;
mod tenure;
mod usage_reports;

use crate::clock::boot_time;
use crate::log::event::{DutyFailed, LeaseChanged};
use crate::node::Node;
use crate::rollouts::{self, WriterView};
use fl_fleet::{Held, Lease, LeaseRow, Observed, RenewalOutcome};
use fl_kernel::forward::{DutyLease, PlatformError, WriteOutcome};
use fl_routing::rollout::VersionFilter;
use lease_row::{is_store_newer, parse_row, read_lease, store_incarnation, write_lease};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tenure::Tenure;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use usage_reports::ReportState;

/// The table that holds the rows of the duties.
const DUTY_TABLE: &str = "duty";
/// Interval at which the lease and the duties are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The lease that this node holds, if any. Peers are told whether it does, and it is released when
/// the node stops.
#[derive(Default)]
pub struct DutyLeaseState {
    /// The held lease, with a nonce for its release.
    held: Mutex<Option<(Lease<Held>, u64)>>,
    servers_changed: Notify,
    /// Cancelled when this node stops, before it releases the lease.
    released: CancellationToken,
}

/// State of the duties while this node performs them.
struct DutyWork {
    tenure: Tenure,
    reports: ReportState,
    orders: scaling::OrderState,
}

/// The lease as observed or held by this node.
enum LeaseState {
    Observing(Lease<Observed>),
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
    if node.platform.duties.is_none() && !node.settings.has_rollouts {
        return;
    }
    let own_name = node.settings.vm.clone();
    let mut lease_state = LeaseState::Observing(Lease::new(
        &own_name,
        node.settings.bounds.lease_duration,
        boot_time(),
    ));
    let mut work = DutyWork::new();
    let mut unable_until = boot_time();
    loop {
        tokio::select! {
            () = node.cancel.cancelled() => return,
            () = node.duty_lease.released.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = node.duty_lease.servers_changed.notified() => {}
        }
        if node.settings.orders_fleet {
            scaling::measure_demand(&node, &mut work.orders);
        }
        if let Some(incarnation) = node.platform.store.incarnation() {
            node.note_incarnation(incarnation);
        }
        lease_state = match lease_state {
            LeaseState::Observing(lease) => {
                if !may_acquire(&node) {
                    unable_until = boot_time();
                }
                let vacant_for = boot_time().saturating_sub(unable_until);
                try_acquire(&node, lease, vacant_for, &mut work.tenure).await
            }
            LeaseState::Holding(lease) => perform_and_renew(&node, lease, &mut work).await,
        };
        let held = match &lease_state {
            LeaseState::Holding(lease) => {
                unable_until = boot_time();
                Some((lease.clone(), rand::random()))
            }
            LeaseState::Observing(_) => None,
        };
        *node.duty_lease.held.lock() = held;
    }
}

/// Releases the lease, so that a peer need not wait until it expires. No call is sent from then on.
pub async fn release_lease(node: &Node) {
    node.duty_lease.released.cancel();
    let held = node.duty_lease.held.lock().take();
    // After the store came back, the row may be that of another holder with the same revision.
    if let Some((lease, nonce)) =
        held.filter(|(lease, _)| !is_store_newer(node, lease.incarnation()))
    {
        let lease_write = lease.release_write(nonce);
        // If the release is lost, the peers wait for the lease's term.
        let _ = write_lease(node, &lease_write).await;
    }
}

/// Returns whether this node might acquire the lease: it is ready, and no peer reports to hold it.
fn may_acquire(node: &Node) -> bool {
    node.is_ready() && !node.is_leaving() && !node.peers.is_duty_held_by_peer()
}

/// Acquires the lease if it is free, unless others are to try first. This node might have acquired
/// it for `vacant_for`.
async fn try_acquire(
    node: &Node,
    lease: Lease<Observed>,
    vacant_for: Duration,
    tenure: &mut Tenure,
) -> LeaseState {
    let term = node.settings.bounds.lease_duration;
    if !may_acquire(node) || !node.peers.may_contend(vacant_for, term) {
        return LeaseState::Observing(lease);
    }
    let Ok(row) = read_lease(node).await else { return LeaseState::Observing(lease) };
    let lease = lease
        .in_incarnation(boot_time(), store_incarnation(node))
        .observe(boot_time(), row.as_ref().map(|row| parse_row(node, row)));
    let Some(lease_write) = lease.acquire_write(boot_time(), rand::random()) else {
        return LeaseState::Observing(lease);
    };
    let incarnation = store_incarnation(node);
    let sent_at = boot_time();
    match write_lease(node, &lease_write).await {
        Ok(WriteOutcome::Written(revision)) if !is_store_newer(node, incarnation) => {
            let fencing = lease_write.row.fencing;
            let wait_ms = tenure.begin(node, fencing).as_millis() as u64;
            let holder = &node.settings.vm;
            record_lease_change(
                node,
                LeaseChanged { change: "acquired", holder, fencing, wait_ms },
            );
            LeaseState::Holding(lease.into_held(sent_at, lease_write, revision))
        }
        // The write took effect in a later incarnation, whose holders this node does not know.
        Ok(WriteOutcome::Written(_)) => LeaseState::Observing(lease),
        Ok(WriteOutcome::Conflict(row)) => LeaseState::Observing(
            lease.observe(boot_time(), row.as_ref().map(|row| parse_row(node, row))),
        ),
        Err(_) => LeaseState::Observing(lease),
    }
}

/// Performs the duties and renews the lease if due. Ends the work if the lease expired.
async fn perform_and_renew(node: &Node, lease: Lease<Held>, work: &mut DutyWork) -> LeaseState {
    let Ok(fencing) = lease.fencing_token(boot_time()) else {
        return LeaseState::Observing(stop_holding(node, lease, None));
    };
    if is_store_newer(node, lease.incarnation()) {
        return LeaseState::Observing(stop_after_return(node, lease, &mut work.reports));
    }
    let duty_lease = work.tenure.duty_lease(node, &lease, fencing);
    let performed = work.perform(node, &duty_lease).await;
    work.tenure.note_calls(fencing);
    if let Err(PlatformError::StaleFencingToken) = performed {
        return LeaseState::Observing(stop_holding(node, lease, None));
    }
    if !lease.is_renewal_due(boot_time()) || node.duty_lease.released.is_cancelled() {
        return LeaseState::Holding(lease);
    }
    renew(node, lease, &mut work.reports).await
}

/// Stops holding the lease since the store came back from an older copy.
fn stop_after_return(
    node: &Node,
    lease: Lease<Held>,
    reports: &mut ReportState,
) -> Lease<Observed> {
    if lease.fencing_token(boot_time()).is_ok() {
        reports.note_held_until(store_incarnation(node));
    }
    stop_holding(node, lease, None)
}

impl DutyWork {
    fn new() -> Self {
        DutyWork {
            tenure: Tenure::new(),
            reports: ReportState::default(),
            orders: scaling::OrderState::default(),
        }
    }

    async fn perform(&mut self, node: &Node, duty_lease: &DutyLease) -> Result<(), PlatformError> {
        if node.settings.reports_usage {
            let result = usage_reports::send_due_reports(node, duty_lease, &mut self.reports).await;
            log_failure(node, "usage report", result)?;
        }
        if node.settings.orders_fleet {
            let result = scaling::send_due_orders(node, duty_lease, &mut self.orders).await;
            log_failure(node, "fleet order", result)?;
        }
        if node.settings.has_rollouts && duty_lease.check(boot_time()).is_ok() {
            log_failure(node, "rollout", write_rollouts(node).await)?;
        }
        Ok(())
    }
}

async fn write_rollouts(node: &Node) -> Result<(), PlatformError> {
    let servers = &node.servers;
    rollouts::write_next(
        &node.rollouts,
        &WriterView {
            store: node.platform.store.as_ref(),
            log: &node.log,
            old_in_flight: &|service, to| servers.in_flight_at_others(service, to),
            has_servers: &|service, to| {
                servers.offers(service, &VersionFilter::Only(to.to_string()))
            },
            count_call: &|is_ok| node.count_store_call("rollouts", is_ok),
        },
    )
    .await
}

/// Logs a failed duty. Returns an error only if a greater fencing token was seen, which ends the
/// holder's work. A duty that waits for the lease to begin or to be renewed has not failed.
fn log_failure(
    node: &Node,
    duty: &'static str,
    result: Result<(), PlatformError>,
) -> Result<(), PlatformError> {
    let Err(error) = result else { return Ok(()) };
    if error.is_outside_lease() {
        return Ok(());
    }
    node.log.write(&DutyFailed { duty, error: error.to_string() });
    if error == PlatformError::StaleFencingToken { Err(error) } else { Ok(()) }
}

/// Renews the lease. If the result of the write is unknown, the row is read to find out.
async fn renew(node: &Node, lease: Lease<Held>, reports: &mut ReportState) -> LeaseState {
    let lease_write = lease.renewal_write(rand::random());
    let sent_at = boot_time();
    let current = match write_lease(node, &lease_write).await {
        Ok(WriteOutcome::Written(revision)) => Some((revision, lease_write.row.clone())),
        Ok(WriteOutcome::Conflict(row)) => row.as_ref().map(|row| parse_row(node, row)),
        Err(_) => match read_lease(node).await {
            Ok(row) => row.as_ref().map(|row| parse_row(node, row)),
            Err(_) => return LeaseState::Holding(lease),
        },
    };
    // The renewal may have replaced the row of another holder, whose revision has the same number.
    if is_store_newer(node, lease.incarnation()) {
        return LeaseState::Observing(stop_after_return(node, lease, reports));
    }
    match lease.resolve_write(boot_time(), sent_at, &lease_write, current) {
        RenewalOutcome::Held(lease) => LeaseState::Holding(lease),
        RenewalOutcome::Lost(lease) => {
            record_lease_end(node, "lost to a peer");
            LeaseState::Observing(lease)
        }
    }
}

fn record_lease_change(node: &Node, changed: LeaseChanged<'_>) {
    metrics::counter!("fl_lease_changes_total", "change" => changed.change).increment(1);
    node.log.write(&changed);
}

fn record_lease_end(node: &Node, change: &'static str) {
    record_lease_change(node, LeaseChanged { change, holder: "", fencing: 0, wait_ms: 0 });
}

fn stop_holding(node: &Node, lease: Lease<Held>, row: Option<(u64, LeaseRow)>) -> Lease<Observed> {
    record_lease_end(node, "lapsed");
    lease.into_observed(boot_time(), row)
}
