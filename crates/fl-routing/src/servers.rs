//! What a node knows of backend servers, joined from every source.
//!
//! The sources for leaving are the cloud's notice, the server's own report, peers' word and the VM
//! list. The list lags, so it can add a leaving server but never take one back. See
//! `docs/design/050-routing.md`.

use fl_protocol::engine::LoadReport;
use fl_protocol::platform::{ReclaimNotice, Vm, VmKind};
use fl_protocol::{UnixMs, VmName};

/// How long after its end a leaving VM is remembered, in milliseconds, unless the list has it.
const FORGET_LEAVING_AFTER_MS: u64 = 600_000;
/// Time that a VM is assumed to have left when only the list says that it leaves, in milliseconds;
/// the list gives no time and lags.
const UNTIMED_LEFT_MS: u64 = 5_000;
/// How long a server rests after its first failed contact, in milliseconds; doubles each time.
const FIRST_REST_MS: u64 = 500;
/// The longest rest after failed contacts, in milliseconds.
const LONGEST_REST_MS: u64 = 8_000;
/// Doublings until the longest rest is reached.
const REST_DOUBLINGS: u32 = 4;

/// A server as all sources together show it.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// What the VM list says, with `leaving` set from every source.
    pub vm: Vm,
    /// The last load report.
    pub load: Option<LoadReport>,
    /// When it goes away.
    pub leaving_at_ms: Option<UnixMs>,
    /// Whether it answered lately.
    pub healthy: bool,
}

#[derive(Debug, Clone)]
struct Leaving {
    vm: VmName,
    at_ms: UnixMs,
    /// Whether a notice, a report or a peer gave the time; the list alone gives none.
    timed: bool,
}

#[derive(Debug, Clone)]
struct Contact {
    vm: VmName,
    failures: u32,
    last_failure_ms: UnixMs,
}

/// Joins the sources; every collection is sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct ServerTable {
    vms: Vec<Vm>,
    leaving: Vec<Leaving>,
    loads: Vec<(VmName, LoadReport)>,
    contacts: Vec<Contact>,
}

impl ServerTable {
    /// Takes a reading of the VM list; true if anything changed.
    ///
    /// An empty list is not believed, since this node's own VM would be on a true one.
    pub fn apply_list(&mut self, mut vms: Vec<Vm>, now_ms: UnixMs) -> bool {
        if vms.is_empty() {
            return false;
        }
        vms.sort_by(|left, right| left.name.cmp(&right.name));
        vms.dedup_by(|left, right| left.name == right.name);
        let mut changed = vms != self.vms;
        for vm in vms.iter().filter(|vm| vm.leaving) {
            changed |= self.insert_leaving(&vm.name, now_ms + UNTIMED_LEFT_MS, false);
        }
        self.vms = vms;
        self.forget(now_ms);
        changed
    }

    /// Takes the cloud's notices; gives back those that were new.
    pub fn apply_notices(&mut self, notices: &[ReclaimNotice]) -> Vec<ReclaimNotice> {
        let is_new = |notice: &&ReclaimNotice| self.mark_leaving(&notice.vm, notice.leaving_at_ms);
        notices.iter().filter(is_new).cloned().collect()
    }

    /// Takes a load report; true if it says for the first time that its server is leaving.
    pub fn apply_report(&mut self, vm: &str, report: LoadReport) -> bool {
        let leaving_at_ms = report.leaving_at_ms;
        match self.loads.binary_search_by(|(name, _)| name.as_str().cmp(vm)) {
            Ok(index) if self.loads[index].1.as_of_ms > report.as_of_ms => {}
            Ok(index) => self.loads[index].1 = report,
            Err(index) => self.loads.insert(index, (vm.to_string(), report)),
        }
        leaving_at_ms.is_some_and(|at_ms| self.mark_leaving(vm, at_ms))
    }

    /// Takes word, with its time, that a VM is leaving; true if it is new.
    pub fn mark_leaving(&mut self, vm: &str, at_ms: UnixMs) -> bool {
        self.insert_leaving(vm, at_ms, true)
    }

    /// Takes word of a contact; true if the server's health changed.
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

    /// Lists the servers of one kind, sorted by VM name.
    pub fn servers(&self, kind: VmKind, now_ms: UnixMs) -> Vec<Server> {
        let of_kind = self.vms.iter().filter(|vm| vm.kind == kind);
        of_kind.map(|vm| self.server(vm, now_ms)).collect()
    }

    /// The VM list as read last.
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// When a VM goes away, if any source says that it does.
    pub fn leaving_at_ms(&self, vm: &str) -> Option<UnixMs> {
        let index = self.leaving.binary_search_by(|word| word.vm.as_str().cmp(vm)).ok()?;
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
        let doublings = (contact.failures - 1).min(REST_DOUBLINGS);
        let rest_ms = (FIRST_REST_MS << doublings).min(LONGEST_REST_MS);
        now_ms >= contact.last_failure_ms.saturating_add(rest_ms)
    }

    fn insert_leaving(&mut self, vm: &str, at_ms: UnixMs, timed: bool) -> bool {
        match self.leaving.binary_search_by(|word| word.vm.as_str().cmp(vm)) {
            Err(index) => {
                self.leaving.insert(index, Leaving { vm: vm.to_string(), at_ms, timed });
                true
            }
            Ok(index) => self.leaving[index].refine(at_ms, timed),
        }
    }

    fn forget(&mut self, now_ms: UnixMs) {
        let vms = &self.vms;
        let listed = |name: &str| vms.binary_search_by(|vm| vm.name.as_str().cmp(name)).is_ok();
        self.leaving.retain(|word| {
            listed(&word.vm) || word.at_ms.saturating_add(FORGET_LEAVING_AFTER_MS) > now_ms
        });
        self.loads.retain(|(name, _)| listed(name));
        self.contacts.retain(|contact| listed(&contact.vm));
    }
}

impl Leaving {
    /// Takes a better time: a timed word replaces an untimed one, the earliest timed word counts.
    fn refine(&mut self, at_ms: UnixMs, timed: bool) -> bool {
        let better = timed && (!self.timed || at_ms < self.at_ms);
        if better {
            self.at_ms = at_ms;
            self.timed = true;
        }
        better
    }
}
