//! Estimates how many streams the runners can take without queueing, and sets this node's
//! concurrency limit to its share of them.

use super::NodeAdmission;
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Backend, Directory, Membership};
use fl_limits::AdaptiveLimit;
use fl_limits::capacity_borrowing::{CapacityBorrowing, IdleCapacity};
use fl_limits::node_share::{count_live_nodes, node_share};
use fl_protocol::VmName;
use fl_protocol::platform::VmKind;
use std::sync::Arc;
use std::time::Duration;

/// Time between two evaluations of the runners' load reports.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The adaptive limits of the runners, sorted by VM name.
#[derive(Default)]
struct RunnerCapacity {
    limits: Vec<(VmName, AdaptiveLimit)>,
    borrowing: CapacityBorrowing,
}

/// Spawns the task that updates the concurrency limit from the load reports.
pub fn spawn(admission: &Arc<NodeAdmission>) {
    let admission = admission.clone();
    let shutdown = admission.context.shutdown.clone();
    let tasks = admission.context.tasks.clone();
    tasks.spawn(async move {
        let mut capacity = RunnerCapacity::default();
        loop {
            update_limit(&admission, &mut capacity);
            tokio::select! {
                () = tokio::time::sleep(UPDATE_INTERVAL) => {}
                () = shutdown.cancelled() => return,
            }
        }
    });
}

fn update_limit(admission: &NodeAdmission, capacity: &mut RunnerCapacity) {
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
    let live = count_live_nodes(&membership.members());
    let mut queue = admission.queue.lock();
    let own = node_share(capacity.observe(&runners), live);
    capacity.borrowing.record_running(queue.in_flight(), unix_ms());
    let concurrency_limit =
        capacity.borrowing.concurrency_limit(own, capacity.idle_streams(&runners));
    queue.set_limit(concurrency_limit, live);
    queue.admit_waiting();
    metrics::gauge!("fl_door_places").set(concurrency_limit);
    metrics::gauge!("fl_door_running").set(queue.in_flight() as f64);
    metrics::gauge!("fl_door_waiting").set(queue.queued() as f64);
}

impl RunnerCapacity {
    /// Evaluates the load reports and returns how many streams all runners together can take.
    fn observe(&mut self, runners: &[Backend]) -> f64 {
        self.limits.retain(|(name, _)| {
            runners.binary_search_by(|runner| runner.vm.name.cmp(name)).is_ok()
        });
        runners.iter().map(|runner| self.observe_runner(runner)).sum()
    }

    fn observe_runner(&mut self, runner: &Backend) -> f64 {
        let position = self.limits.binary_search_by(|(name, _)| name.cmp(&runner.vm.name));
        let index = position.unwrap_or_else(|index| {
            self.limits.insert(index, (runner.vm.name.clone(), AdaptiveLimit::default()));
            index
        });
        let limit = &mut self.limits[index].1;
        if let Some(report) = &runner.load {
            limit.observe(report);
        }
        limit.streams()
    }

    /// Returns the idle streams according to the load reports; `None` before the first report.
    fn idle_streams(&self, runners: &[Backend]) -> Option<IdleCapacity> {
        let reports = runners.iter().filter_map(|runner| runner.load.as_ref());
        let as_of_ms = reports.clone().map(|report| report.as_of_ms).min()?;
        let limit: f64 = self.limits.iter().map(|(_, limit)| limit.streams()).sum();
        let used: u32 = reports.map(|report| report.running + report.waiting).sum();
        Some(IdleCapacity { as_of_ms, streams: limit - f64::from(used) })
    }
}
