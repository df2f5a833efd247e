//! Writes how far rollouts are, as the holder of the duties' lease.

use super::Rollouts;
use super::known_order::KnownOrder;
use crate::clock::boot_time;
use crate::log::Log;
use crate::log::event::RolloutChanged;
use fl_kernel::forward::{PlatformError, PlatformStore, WriteOutcome};
use fl_protocol::forward::{RolloutState, RolloutStatus};
use fl_routing::rollout::{
    Check, NodeState, Phase, RolloutBounds, RolloutView, Step, Tally, next_step,
};
use std::time::Duration;

/// What the writer asks of the rest of the node.
pub struct WriterView<'a> {
    /// Writes and reads rows.
    pub store: &'a dyn PlatformStore,
    /// Gets a line for each change.
    pub log: &'a Log,
    /// Returns this node's calls in flight at servers of a service with other versions.
    pub old_in_flight: &'a (dyn Fn(&str, &str) -> usize + Sync),
    /// Returns whether a service has a usable server of a version.
    pub has_servers: &'a (dyn Fn(&str, &str) -> bool + Sync),
    /// Counts a call to the store by whether it succeeded.
    pub count_call: &'a (dyn Fn(bool) + Sync),
}

/// A row to write, and why.
struct NextRow {
    status: RolloutStatus,
    phase: Phase,
    reason: &'static str,
    elapsed: Duration,
    answers: Tally,
}

/// Writes what is due on each rollout.
///
/// # Errors
///
/// Returns the store's error; the write is tried again with the next check of the duties, after the
/// row was read, as the write may have taken effect.
pub async fn write_next(rollouts: &Rollouts, view: &WriterView<'_>) -> Result<(), PlatformError> {
    for row in rollouts.next_rows(view) {
        let written = view.store.write_rollout(&row.status).await;
        (view.count_call)(written.is_ok());
        match written {
            Ok(WriteOutcome::Written(revision)) => {
                rollouts.apply_written(&RolloutStatus { revision, ..row.status.clone() });
                log_change(view.log, &row);
            }
            Ok(WriteOutcome::Conflict(_)) => rollouts.request_reread(&row.status.service),
            Err(error) => {
                rollouts.request_reread(&row.status.service);
                return Err(error);
            }
        }
    }
    Ok(())
}

fn log_change(log: &Log, row: &NextRow) {
    let state = match row.phase {
        Phase::Watching => "watching",
        Phase::Moving => "moving",
        Phase::Completed => "completed",
        Phase::Stopped | Phase::RolledBack => "rolled back",
    };
    metrics::counter!("fl_rollout_changes_total", "state" => state).increment(1);
    log.write(&RolloutChanged {
        service: &row.status.service,
        software_version: &row.status.software_version,
        state,
        reason: row.reason,
        elapsed_ms: row.elapsed.as_millis() as u64,
        answers: row.answers.total(),
        failed: row.answers.bad,
    });
}

impl Rollouts {
    /// Returns the rows that are to be written now.
    fn next_rows(&self, view: &WriterView) -> Vec<NextRow> {
        let now = boot_time();
        let state = self.state.lock();
        if !self.is_enabled || !state.has_read_status {
            return Vec::new();
        }
        let known = state.orders.iter().filter(|known| !known.needs_reread());
        known.filter_map(|known| known.next_row(view, &self.bounds, now)).collect()
    }

    fn apply_written(&self, status: &RolloutStatus) {
        let now = boot_time();
        if let Some(known) = self.state.lock().find(&status.service) {
            known.apply_status(status, now);
        }
        self.urgent.notify_one();
    }

    fn request_reread(&self, service: &str) {
        if let Some(known) = self.state.lock().find(service) {
            known.request_reread();
        }
    }
}

impl KnownOrder {
    fn next_row(
        &self,
        view: &WriterView,
        bounds: &RolloutBounds,
        now: Duration,
    ) -> Option<NextRow> {
        let (service, to) = (&self.order.service, &self.order.software_version);
        let nodes: Vec<NodeState> = self.node_states(now);
        let step = next_step(&RolloutView {
            schedule: self.schedule(),
            bounds,
            phase: self.phase,
            elapsed: self.elapsed(now),
            moving_for: self.moved_at.map(|at| now.saturating_sub(at)),
            is_withdrawn: self.is_withdrawn,
            hears_half: self.hears_half,
            is_good: self.evidence.is_good(),
            is_unsuspicious: self.evidence.is_unsuspicious(),
            old_in_flight: (view.old_in_flight)(service, to),
            has_new_servers: (view.has_servers)(service, to),
            nodes: &nodes,
        });
        let (state, phase, reason) = match step {
            Step::Wait if self.stored_phase == Some(self.phase) => return None,
            Step::Wait => self.row_again(),
            Step::Move => (RolloutState::Moving, Phase::Moving, "the version is good"),
            Step::Complete => {
                (RolloutState::Completed, Phase::Completed, "nothing is left at old servers")
            }
            Step::RollBack(reason) => (RolloutState::RolledBack, Phase::RolledBack, reason),
        };
        let mut status = self.status(state, now);
        if phase == Phase::RolledBack {
            status.excluded.push(to.clone());
        }
        Some(NextRow {
            status,
            phase,
            reason,
            elapsed: self.elapsed(now),
            answers: self.evidence.new_answers()[Check::Failure as usize],
        })
    }

    /// Returns what a row has to say that is missing, or older than what this node knows, since the
    /// order is new or the store came back from an older copy.
    fn row_again(&self) -> (RolloutState, Phase, &'static str) {
        let state = match self.phase {
            Phase::Watching => return (RolloutState::Watching, Phase::Watching, "it was ordered"),
            Phase::Moving => RolloutState::Moving,
            Phase::Completed => RolloutState::Completed,
            Phase::Stopped | Phase::RolledBack => RolloutState::RolledBack,
        };
        (state, self.phase, "the store lost what was written")
    }

    /// Returns what is known of the other nodes, also of those that were never heard.
    fn node_states(&self, now: Duration) -> Vec<NodeState> {
        let unheard = NodeState { phase: None, old_in_flight: 0, age: Duration::MAX };
        let mut nodes = vec![unheard; self.nodes.saturating_sub(self.peers.len() + 1)];
        nodes.extend(self.peers.iter().map(|peer| NodeState {
            phase: peer.phase,
            old_in_flight: peer.old_in_flight,
            age: now.saturating_sub(peer.heard_at),
        }));
        nodes
    }
}
