//! A node's table of backend servers, merged from all sources of information about them.
//!
//! Four sources can announce that a server is leaving: the cloud's reclaim notice, the server's own
//! load report, a peer's notice and the VM list. The VM list lags behind the others, so it can mark
//! a server as leaving but never revoke that mark. See `docs/design/050-routing.md`.

use fl_protocol::engine::LoadReport;
use fl_protocol::platform::{ReclaimNotice, Vm, VmKind};
use fl_protocol::{UnixMs, VmName};

/// Time for which a VM that has left and is no longer on the list is remembered, in milliseconds.
const LEFT_RETENTION_MS: u64 = 600_000;
/// Time that a VM is assumed to have until it leaves if only the list says that it is leaving, in
/// milliseconds. The list lags and does not give the time.
const ASSUMED_TIME_TO_LEAVE_MS: u64 = 5_000;
/// Time for which a server counts as unhealthy after its first failed contact, in milliseconds. It
/// doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 500;
/// Longest time for which a server counts as unhealthy after a failed contact, in milliseconds.
const MAX_BACKOFF_MS: u64 = 8_000;
/// Number of doublings after which the backoff reaches its maximum.
const BACKOFF_DOUBLINGS: u32 = 4;

/// A backend server as described by all sources together.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Entry of the VM list, with `leaving` set if any source says that the VM is leaving.
    pub vm: Vm,
    /// Latest load report, if one was received.
    pub load: Option<LoadReport>,
    /// Time at which the VM leaves, if any source says that it does.
    pub leaving_at_ms: Option<UnixMs>,
    /// Whether the server may be contacted: its last contact succeeded, or the backoff after the
    /// last failure is over.
    pub healthy: bool,
}

#[derive(Debug, Clone)]
struct Leaving {
    vm: VmName,
    at_ms: UnixMs,
    /// Whether `at_ms` was announced by a notice, a load report or a peer. Otherwise it is assumed,
    /// since the VM list gives no time.
    is_announced: bool,
}

#[derive(Debug, Clone)]
struct Contact {
    vm: VmName,
    failures: u32,
    last_failure_ms: UnixMs,
}

/// The merged table of backend servers. All collections are sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct ServerTable {
    vms: Vec<Vm>,
    leaving: Vec<Leaving>,
    loads: Vec<(VmName, LoadReport)>,
    contacts: Vec<Contact>,
}

impl ServerTable {
    /// Applies a reading of the VM list. Returns whether it changed anything.
    ///
    /// An empty list is ignored as faulty, since a correct one contains at least this node's own
    /// VM.
    pub fn apply_list(&mut self, mut vms: Vec<Vm>, now_ms: UnixMs) -> bool {
        if vms.is_empty() {
            return false;
        }
        vms.sort_by(|left, right| left.name.cmp(&right.name));
        vms.dedup_by(|left, right| left.name == right.name);
        let mut changed = vms != self.vms;
        for vm in vms.iter().filter(|vm| vm.leaving) {
            changed |= self.insert_leaving(&vm.name, now_ms + ASSUMED_TIME_TO_LEAVE_MS, false);
        }
        self.vms = vms;
        self.remove_unlisted(now_ms);
        changed
    }

    /// Applies the cloud's reclaim notices. Returns those that were new.
    pub fn apply_notices(&mut self, notices: &[ReclaimNotice]) -> Vec<ReclaimNotice> {
        let is_new = |notice: &&ReclaimNotice| self.mark_leaving(&notice.vm, notice.leaving_at_ms);
        notices.iter().filter(is_new).cloned().collect()
    }

    /// Applies a server's load report. Returns whether it is the first to announce that the server
    /// is leaving.
    pub fn apply_report(&mut self, vm: &str, report: LoadReport) -> bool {
        let leaving_at_ms = report.leaving_at_ms;
        match self.loads.binary_search_by(|(name, _)| name.as_str().cmp(vm)) {
            Ok(index) if self.loads[index].1.as_of_ms > report.as_of_ms => {}
            Ok(index) => self.loads[index].1 = report,
            Err(index) => self.loads.insert(index, (vm.to_string(), report)),
        }
        leaving_at_ms.is_some_and(|at_ms| self.mark_leaving(vm, at_ms))
    }

    /// Records that a VM leaves at a given time. Returns whether this was new.
    pub fn mark_leaving(&mut self, vm: &str, at_ms: UnixMs) -> bool {
        self.insert_leaving(vm, at_ms, true)
    }

    /// Records whether a contact with a server succeeded. Returns whether the server's health
    /// changed.
    pub fn record_contact(&mut self, vm: &str, ok: bool, now_ms: UnixMs) -> bool {
        match (self.contacts.binary_search_by(|contact| contact.vm.as_str().cmp(vm)), ok) {
            (Ok(index), true) => {
                self.contacts.remove(index);
                true
            }
            (Ok(index), false) => {
                let contact = &mut self.contacts[index];
                contact.failures = contact.failures.saturating_add(1);
                contact.last_failure_ms = now_ms;
                false
            }
            (Err(_), true) => false,
            (Err(index), false) => {
                let first = Contact { vm: vm.to_string(), failures: 1, last_failure_ms: now_ms };
                self.contacts.insert(index, first);
                true
            }
        }
    }

    /// Returns the servers of one kind, sorted by VM name.
    pub fn servers(&self, kind: VmKind, now_ms: UnixMs) -> Vec<Server> {
        let of_kind = self.vms.iter().filter(|vm| vm.kind == kind);
        of_kind.map(|vm| self.server(vm, now_ms)).collect()
    }

    /// Returns the VM list as of the last reading.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Returns the time at which a VM leaves, if any source says that it does.
    pub fn leaving_at_ms(&self, vm: &str) -> Option<UnixMs> {
        let index = self.leaving.binary_search_by(|leaving| leaving.vm.as_str().cmp(vm)).ok()?;
        Some(self.leaving[index].at_ms)
    }

    fn server(&self, vm: &Vm, now_ms: UnixMs) -> Server {
        let leaving_at_ms = self.leaving_at_ms(&vm.name);
        let load = self.loads.binary_search_by(|(name, _)| name.cmp(&vm.name)).ok();
        Server {
            vm: Vm { leaving: vm.leaving || leaving_at_ms.is_some(), ..vm.clone() },
            load: load.map(|index| self.loads[index].1.clone()),
            leaving_at_ms,
            healthy: self.is_healthy(&vm.name, now_ms),
        }
    }

    fn is_healthy(&self, vm: &str, now_ms: UnixMs) -> bool {
        let Ok(index) = self.contacts.binary_search_by(|contact| contact.vm.as_str().cmp(vm))
        else {
            return true;
        };
        let contact = &self.contacts[index];
        let doublings = (contact.failures - 1).min(BACKOFF_DOUBLINGS);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        now_ms >= contact.last_failure_ms.saturating_add(backoff_ms)
    }

    fn insert_leaving(&mut self, vm: &str, at_ms: UnixMs, is_announced: bool) -> bool {
        match self.leaving.binary_search_by(|leaving| leaving.vm.as_str().cmp(vm)) {
            Err(index) => {
                self.leaving.insert(index, Leaving { vm: vm.to_string(), at_ms, is_announced });
                true
            }
            Ok(index) => self.leaving[index].update_time(at_ms, is_announced),
        }
    }

    fn remove_unlisted(&mut self, now_ms: UnixMs) {
        let vms = &self.vms;
        let listed = |name: &str| vms.binary_search_by(|vm| vm.name.as_str().cmp(name)).is_ok();
        self.leaving.retain(|leaving| {
            listed(&leaving.vm) || leaving.at_ms.saturating_add(LEFT_RETENTION_MS) > now_ms
        });
        self.loads.retain(|(name, _)| listed(name));
        self.contacts.retain(|contact| listed(&contact.vm));
    }
}

impl Leaving {
    /// Updates the time at which the VM leaves: an announced time replaces an assumed one, and an
    /// earlier announced time replaces a later one. Returns whether the time changed.
    fn update_time(&mut self, at_ms: UnixMs, is_announced: bool) -> bool {
        let is_better = is_announced && (!self.is_announced || at_ms < self.at_ms);
        if is_better {
            self.at_ms = at_ms;
            self.is_announced = true;
        }
        is_better
    }
}
