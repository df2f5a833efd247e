//! The directory of backend servers.
//!
//! It combines the platform's VM list and reclaim notices, the load reports of the servers and the
//! notices of peers. The decision logic is in `fl_routing::servers` and `fl_routing::runner_watch`;
//! see `docs/design/050-routing.md`.

mod departure_notices;
mod polling;

use crate::context::{ServiceContext, StartError};
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Backend, Directory, EventLog, Membership};
use fl_protocol::engine::LoadReport;
use fl_protocol::event::EventKind;
use fl_protocol::platform::{ReclaimNotice, Vm, VmKind};
use fl_protocol::{UnixMs, VmName};
use fl_routing::servers::{Server, ServerTable};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, watch};

/// How long after a model call a node keeps reading all load reports, in milliseconds.
const FRESH_REPORTS_AFTER_CALL_MS: u64 = 10_000;
/// Departure notices that wait to be sent to peers; further ones are dropped, and the peers learn
/// of the departure from their own polls.
const MAX_QUEUED_NOTICES: usize = 1_024;

/// The directory service of one node.
pub struct NodeDirectory {
    context: ServiceContext,
    table: Mutex<ServerTable>,
    changes: watch::Sender<u64>,
    notices_tx: mpsc::Sender<ReclaimNotice>,
    last_call_ms: AtomicU64,
}

/// Starts the directory and registers it; it polls until the node stops.
pub fn start(context: &ServiceContext) -> Result<Arc<NodeDirectory>, StartError> {
    let (notices_tx, notices_rx) = mpsc::channel(MAX_QUEUED_NOTICES);
    let directory = Arc::new(NodeDirectory {
        context: context.clone(),
        table: Mutex::new(ServerTable::default()),
        changes: watch::Sender::new(0),
        notices_tx,
        last_call_ms: AtomicU64::new(0),
    });
    let service: Arc<dyn Directory> = directory.clone();
    context.registry.register(names::DIRECTORY, service)?;
    polling::spawn(&directory);
    departure_notices::spawn(&directory, notices_rx);
    Ok(directory)
}

impl NodeDirectory {
    /// Applies a VM list that was read from the platform or a peer.
    fn apply_vm_list(&self, vms: Vec<Vm>) {
        if self.table.lock().apply_list(vms, unix_ms()) {
            self.notify_changed();
        }
    }

    fn apply_notices(&self, notices: &[ReclaimNotice]) {
        let new = self.table.lock().apply_notices(notices);
        for notice in new {
            self.handle_departure(notice);
        }
    }

    fn apply_report(&self, vm: &VmName, report: LoadReport) {
        let leaving_at_ms = report.leaving_at_ms;
        let is_new = self.table.lock().apply_report(vm, report);
        if let Some(leaving_at_ms) = leaving_at_ms.filter(|_| is_new) {
            self.handle_departure(ReclaimNotice { vm: vm.clone(), leaving_at_ms });
        }
    }

    fn handle_departure(&self, notice: ReclaimNotice) {
        self.notify_changed();
        if let Ok(events) = self.context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            let detail = format!("vm={} at_ms={}", notice.vm, notice.leaving_at_ms);
            events.record(EventKind::VmLeaving, None, detail);
        }
        // A notice that does not fit is dropped: peers learn the same from their own polls.
        let _ = self.notices_tx.try_send(notice);
    }

    fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn membership(&self) -> Option<Arc<dyn Membership>> {
        self.context.registry.find::<dyn Membership>(names::MEMBERSHIP).ok()
    }
}

impl Directory for NodeDirectory {
    fn backends(&self, kind: VmKind) -> Vec<Backend> {
        let servers = self.table.lock().servers(kind, unix_ms());
        servers.into_iter().map(to_backend).collect()
    }

    fn leaving_at_ms(&self, vm: &VmName) -> Option<UnixMs> {
        self.table.lock().leaving_at_ms(vm)
    }

    fn mark_leaving(&self, vm: &VmName, leaving_at_ms: UnixMs) {
        if self.table.lock().mark_leaving(vm, leaving_at_ms) {
            self.handle_departure(ReclaimNotice { vm: vm.clone(), leaving_at_ms });
        }
    }

    fn mark_contact(&self, vm: &VmName, ok: bool) {
        if self.table.lock().record_contact(vm, ok, unix_ms()) {
            self.notify_changed();
        }
    }

    fn record_model_call(&self) {
        self.last_call_ms.store(unix_ms(), Ordering::Relaxed);
    }

    fn serves_model_calls(&self) -> bool {
        let last_call_ms = self.last_call_ms.load(Ordering::Relaxed);
        unix_ms().saturating_sub(last_call_ms) < FRESH_REPORTS_AFTER_CALL_MS
    }

    fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

fn to_backend(server: Server) -> Backend {
    Backend {
        vm: server.vm,
        load: server.load,
        leaving_at_ms: server.leaving_at_ms,
        healthy: server.healthy,
    }
}
