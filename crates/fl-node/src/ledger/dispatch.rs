//! Chooses application servers and sends calls to them.

use super::NodeLedger;
use fl_kernel::names;
use fl_kernel::services::{Backend, Directory};
use fl_ledger::SendOutcome;
use fl_platform::ServiceError;
use fl_protocol::call::ServiceCall;
use fl_protocol::event::EventKind;
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::rendezvous::sort_by_rank;
use fl_protocol::{PlainService, VmName};
use std::time::Duration;

/// Servers to which one call is sent at most.
pub const MAX_SERVERS_PER_CALL: usize = 3;

impl NodeLedger {
    /// Sends a call to one application server after the other until one may have received a byte.
    pub(super) async fn dispatch(&self, call: &ServiceCall, service: &PlainService) -> SendOutcome {
        let timeout = Duration::from_millis(service.timeout_ms);
        for vm in self.candidate_servers(call, service).iter().take(MAX_SERVERS_PER_CALL) {
            self.record(EventKind::Dispatched, call.id, vm.name.clone());
            match self.unpooled_client.call(&vm.address, call, timeout).await {
                Ok(response) => {
                    self.mark_contact(&vm.name, true);
                    return SendOutcome::Answered(response);
                }
                Err(ServiceError::NotSent(_)) => self.mark_contact(&vm.name, false),
                Err(ServiceError::OutcomeUnknown(_)) => {
                    self.mark_contact(&vm.name, false);
                    return SendOutcome::Unknown;
                }
            }
        }
        SendOutcome::NotSent
    }

    /// Returns the servers of the service's pool that take new work, those of this data centre
    /// first.
    pub(super) fn candidate_servers(&self, call: &ServiceCall, service: &PlainService) -> Vec<Vm> {
        let Ok(directory) = self.context.registry.find::<dyn Directory>(names::DIRECTORY) else {
            return Vec::new();
        };
        let backends = directory.backends(VmKind::Application).into_iter();
        let usable = backends.filter(|backend| takes_call(backend, service));
        let mut vms: Vec<Vm> = usable.map(|backend| backend.vm).collect();
        sort_by_rank(&mut vms, &call.id.to_be_bytes(), |vm| vm.name.as_str());
        let own_data_center = &self.context.settings.node.data_center;
        vms.sort_by_key(|vm| vm.data_center != *own_data_center);
        vms
    }

    pub(super) fn mark_contact(&self, vm: &VmName, ok: bool) {
        if let Ok(directory) = self.context.registry.find::<dyn Directory>(names::DIRECTORY) {
            directory.mark_contact(vm, ok);
        }
    }
}

fn takes_call(backend: &Backend, service: &PlainService) -> bool {
    let leaving = backend.vm.leaving || backend.leaving_at_ms.is_some();
    backend.vm.pool == service.pool && backend.healthy && !leaving
}
