//! The system's rows on rollouts: what they say is applied, and what is to be written is built.

use super::known_order::KnownOrder;
use super::{Rollouts, State};
use crate::clock::boot_time;
use fl_kernel::clock::unix_ms;
use fl_protocol::forward::{RolloutOrder, RolloutState, RolloutStatus, StoreVersion};
use fl_routing::rollout::{Phase, RolloutBounds};
use std::time::Duration;

impl Rollouts {
    /// Applies all rows on rollouts, as they were read.
    pub(super) fn apply_statuses(&self, statuses: &[RolloutStatus]) {
        let now = boot_time();
        let mut state = self.state.lock();
        state.orders.iter_mut().for_each(KnownOrder::note_no_status);
        for status in statuses {
            state.apply_status(status, now, &self.bounds);
        }
        state.has_read_status = true;
    }
}

impl State {
    fn apply_status(&mut self, status: &RolloutStatus, now: Duration, bounds: &RolloutBounds) {
        if self.find(&status.service).is_none() {
            self.add_unordered(status, now, bounds);
        }
        if let Some(known) = self.find(&status.service) {
            known.apply_status(status, now);
        }
    }

    /// Adds the rollout of a row whose order was withdrawn, so that its versions stay excluded.
    fn add_unordered(&mut self, status: &RolloutStatus, now: Duration, bounds: &RolloutBounds) {
        let order = RolloutOrder {
            service: status.service.clone(),
            software_version: status.software_version.clone(),
            duration: Duration::ZERO,
            written_at: StoreVersion { incarnation: 0, revision: status.order },
        };
        let mut known = KnownOrder::new(order, now, bounds, &[], false);
        if !matches!(status.state, RolloutState::Completed | RolloutState::RolledBack) {
            known.withdraw();
        }
        let index = self.orders.partition_point(|other| other.order.service < status.service);
        self.orders.insert(index, known);
    }
}

impl KnownOrder {
    /// Applies what the row says, on this order or an earlier one.
    pub(super) fn apply_status(&mut self, status: &RolloutStatus, now: Duration) {
        self.exclude(status.excluded.iter().cloned());
        let is_same = status.order == self.order.written_at.revision
            && status.software_version == self.order.software_version;
        if !is_same {
            self.note_status(status.revision, None);
            if status.state != RolloutState::Completed {
                self.exclude([status.software_version.clone()]);
            }
            return;
        }
        let age = Duration::from_millis(unix_ms().saturating_sub(status.ordered_ms));
        self.began_at = self.began_at.min(now.saturating_sub(age));
        self.nodes = self.nodes.max(status.nodes);
        let phase = match status.state {
            RolloutState::Watching => Phase::Watching,
            RolloutState::Moving => Phase::Moving,
            RolloutState::Completed => Phase::Completed,
            RolloutState::RolledBack => Phase::RolledBack,
        };
        self.note_status(status.revision, Some(phase));
        self.read_moving_at = (phase == Phase::Moving).then_some(now);
        self.advance(phase, now);
    }

    /// Builds the row for a phase.
    pub(super) fn status(&self, state: RolloutState, now: Duration) -> RolloutStatus {
        RolloutStatus {
            service: self.order.service.clone(),
            software_version: self.order.software_version.clone(),
            state,
            order: self.order.written_at.revision,
            ordered_ms: unix_ms().saturating_sub(self.elapsed(now).as_millis() as u64),
            excluded: self.excluded.clone(),
            nodes: self.nodes,
            revision: self.status_revision,
        }
    }
}
