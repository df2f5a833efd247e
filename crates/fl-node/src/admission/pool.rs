//! Learns how many streams the runners take without queueing, and this node's share of them.

use super::NodeAdmission;
use fl_kernel::names;
use fl_kernel::services::{Backend, Directory, Membership};
use fl_limits::AdaptiveLimit;
use fl_limits::shares::{live_nodes, share};
use fl_protocol::VmName;
use fl_protocol::platform::VmKind;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at the reports.
const REVIEW: Duration = Duration::from_millis(100);

/// Times its share that a node uses at most, while others leave theirs idle.
const BORROWING_LIMIT: f64 = 4.0;

/// Limits of the runners, sorted by VM name.
#[derive(Default)]
struct Pool {
    limits: Vec<(VmName, AdaptiveLimit)>,
}

/// Spawns the task that learns.
pub fn spawn(admission: &Arc<NodeAdmission>) {
    let admission = admission.clone();
    let cancel = admission.context.cancel.clone();
    let tasks = admission.context.tasks.clone();
    tasks.spawn(async move {
        let mut pool = Pool::default();
        loop {
            review(&admission, &mut pool);
            tokio::select! {
                () = tokio::time::sleep(REVIEW) => {}
                () = cancel.cancelled() => return,
            }
        }
    });
}

fn review(admission: &NodeAdmission, pool: &mut Pool) {
    let registry = &admission.context.registry;
    let Ok(directory) = registry.find::<dyn Directory>(names::DIRECTORY) else {
        return;
    };
    let Ok(membership) = registry.find::<dyn Membership>(names::MEMBERSHIP) else {
        return;
    };
    let mut runners = directory.backends(VmKind::Runner);
    runners.retain(|runner| runner.leaving_at_ms.is_none() && runner.healthy);
    if runners.is_empty() {
        return;
    }
    let live = live_nodes(&membership.members());
    let mut door = admission.door.lock();
    let own = share(pool.observe(&runners), live);
    // What other nodes leave idle may be used, so that uneven arrivals waste no capacity; reports
    // lag, so the own share bounds how much.
    let with_idle = door.running() as f64 + pool.idle(&runners, live);
    door.set_places(own.max(with_idle.min(own * BORROWING_LIMIT)), live);
    door.let_through();
    metrics::gauge!("fl_door_places").set(own);
    metrics::gauge!("fl_door_running").set(door.running() as f64);
    metrics::gauge!("fl_door_waiting").set(door.waiting() as f64);
}

impl Pool {
    /// Takes the reports; gives the streams that all runners together take.
    fn observe(&mut self, runners: &[Backend]) -> f64 {
        self.limits.retain(|(name, _)| {
            runners.binary_search_by(|runner| runner.vm.name.cmp(name)).is_ok()
        });
        runners.iter().map(|runner| self.observe_one(runner)).sum()
    }

    fn observe_one(&mut self, runner: &Backend) -> f64 {
        let place = self.limits.binary_search_by(|(name, _)| name.cmp(&runner.vm.name));
        let index = place.unwrap_or_else(|index| {
            self.limits.insert(index, (runner.vm.name.clone(), AdaptiveLimit::default()));
            index
        });
        let limit = &mut self.limits[index].1;
        if let Some(report) = &runner.load {
            limit.observe(report);
        }
        limit.streams()
    }

    /// This node's share of the streams that the reports show as free.
    fn idle(&self, runners: &[Backend], live: usize) -> f64 {
        let limit: f64 = self.limits.iter().map(|(_, limit)| limit.streams()).sum();
        let used: u32 = runners
            .iter()
            .filter_map(|runner| runner.load.as_ref())
            .map(|report| report.running + report.waiting)
            .sum();
        share((limit - f64::from(used)).max(0.0), live)
    }
}
