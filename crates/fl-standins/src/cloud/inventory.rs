//! The current VMs, and the delayed list of them.

use fl_protocol::platform::{ReclaimNotice, StartVm, Vm};
use std::time::{Duration, Instant};

/// Versions of the list kept to serve it with a delay; the oldest are dropped beyond that.
const MAX_VERSIONS: usize = 256;

/// The VMs from one time on.
struct Version {
    since: Instant,
    vms: Vec<Vm>,
}

/// A VM that was ordered and has not appeared yet.
struct StartingVm {
    appears_at: Instant,
    vm: Vm,
}

/// The VMs, the reclaim notices and the VMs that are being started.
#[derive(Default)]
pub(crate) struct Inventory {
    versions: Vec<Version>,
    starting: Vec<StartingVm>,
    notices: Vec<ReclaimNotice>,
    started_total: u64,
}

impl Inventory {
    /// Replaces the VMs and drops the notices of VMs that are gone.
    pub(crate) fn set(&mut self, mut vms: Vec<Vm>) {
        vms.sort_by(|left, right| left.name.cmp(&right.name));
        self.notices.retain(|notice| vms.iter().any(|vm| vm.name == notice.vm));
        self.push(Instant::now(), vms);
    }

    /// Adds a reclaim notice, in place of an earlier one for the VM, and marks the VM as leaving.
    pub(crate) fn add_notice(&mut self, notice: ReclaimNotice) {
        let now = Instant::now();
        let mut vms = self.current(now);
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

    /// Starts a VM that appears at the given time; with `None` it never does.
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
            self.starting.push(StartingVm { appears_at, vm: vm.clone() });
        }
        vm
    }

    /// Returns the VMs at this moment.
    pub(crate) fn current(&mut self, now: Instant) -> Vec<Vm> {
        self.add_started(now);
        self.versions.last().map(|version| version.vms.clone()).unwrap_or_default()
    }

    /// Returns the VMs as they were `lag` ago. The first version is listed at once.
    pub(crate) fn list_delayed(&mut self, now: Instant, lag: Duration) -> Vec<Vm> {
        self.add_started(now);
        let version = self.versions.iter().rev().find(|version| version.since + lag <= now);
        let version = version.or(self.versions.first());
        version.map(|version| version.vms.clone()).unwrap_or_default()
    }

    /// Adds the VMs whose start is complete.
    fn add_started(&mut self, now: Instant) {
        let (ready, waiting) =
            std::mem::take(&mut self.starting).into_iter().partition(|vm| vm.appears_at <= now);
        self.starting = waiting;
        let ready: Vec<StartingVm> = ready;
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
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(0);
        }
    }
}
