//! The VMs as they are, and as the lagging list shows them.

use fl_protocol::platform::{ReclaimNotice, StartVm, Vm};
use std::time::{Duration, Instant};

/// Versions of the list that are kept for its lag.
const KEPT_VERSIONS: usize = 256;

struct Version {
    since: Instant,
    vms: Vec<Vm>,
}

struct Starting {
    appears_at: Instant,
    vm: Vm,
}

/// All VMs, notices and starts.
#[derive(Default)]
pub(crate) struct Inventory {
    versions: Vec<Version>,
    starting: Vec<Starting>,
    notices: Vec<ReclaimNotice>,
    started_total: u64,
}

impl Inventory {
    /// Sets the VMs; notices of VMs that are gone are dropped.
    pub(crate) fn set(&mut self, mut vms: Vec<Vm>) {
        vms.sort_by(|left, right| left.name.cmp(&right.name));
        self.notices.retain(|notice| vms.iter().any(|vm| vm.name == notice.vm));
        self.push(Instant::now(), vms);
    }

    /// Records a notice and marks the VM as leaving.
    pub(crate) fn announce_reclaim(&mut self, notice: ReclaimNotice) {
        let now = Instant::now();
        let mut vms = self.now(now);
        for vm in vms.iter_mut().filter(|vm| vm.name == notice.vm) {
            vm.leaving = true;
        }
        self.push(now, vms);
        self.notices.retain(|known| known.vm != notice.vm);
        self.notices.push(notice);
    }

    pub(crate) fn notices(&self) -> Vec<ReclaimNotice> {
        self.notices.clone()
    }

    /// Starts a VM that appears at the given time, or never.
    pub(crate) fn start(&mut self, order: &StartVm, appears_at: Option<Instant>) -> Vm {
        self.started_total += 1;
        let vm = Vm {
            name: format!("{}-new-{}", order.pool, self.started_total),
            kind: order.kind,
            pool: order.pool.clone(),
            data_center: order.data_center.clone(),
            address: String::new(),
            machine_class: order.machine_class.clone(),
            reclaimable: order.reclaimable,
            leaving: false,
        };
        if let Some(appears_at) = appears_at {
            self.starting.push(Starting { appears_at, vm: vm.clone() });
        }
        vm
    }

    /// The VMs as they are.
    pub(crate) fn now(&mut self, now: Instant) -> Vec<Vm> {
        self.admit_started(now);
        self.versions.last().map(|version| version.vms.clone()).unwrap_or_default()
    }

    /// The VMs as they were before the lag; the first version shows at once.
    pub(crate) fn listed(&mut self, now: Instant, lag: Duration) -> Vec<Vm> {
        self.admit_started(now);
        let shown = self.versions.iter().rev().find(|version| version.since + lag <= now);
        let shown = shown.or(self.versions.first());
        shown.map(|version| version.vms.clone()).unwrap_or_default()
    }

    fn admit_started(&mut self, now: Instant) {
        let (ready, waiting) =
            std::mem::take(&mut self.starting).into_iter().partition(|vm| vm.appears_at <= now);
        self.starting = waiting;
        let ready: Vec<Starting> = ready;
        for started in ready {
            let mut vms =
                self.versions.last().map(|version| version.vms.clone()).unwrap_or_default();
            vms.push(started.vm);
            vms.sort_by(|left, right| left.name.cmp(&right.name));
            self.push(started.appears_at, vms);
        }
    }

    fn push(&mut self, since: Instant, vms: Vec<Vm>) {
        self.versions.push(Version { since, vms });
        if self.versions.len() > KEPT_VERSIONS {
            self.versions.remove(0);
        }
    }
}
