//! What the holder of the duties' lease writes next about a rollout.

use super::{Phase, RolloutBounds, Schedule};
use std::time::Duration;

/// Part of a node's promise to send nothing to the old version that may have passed when the end is
/// decided; the rest is for the write.
const PROMISE_USED: f64 = 0.6;

/// What another node reported last of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeState {
    /// How far the rollout is there; `None` if it never reported.
    pub phase: Option<Phase>,
    /// Its calls in flight at old servers.
    pub old_in_flight: usize,
    /// Age of the report.
    pub age: Duration,
}

/// All that the holder knows of a rollout.
#[derive(Debug, Clone)]
pub struct RolloutView<'a> {
    /// When it is to pass to its phases.
    pub schedule: Schedule,
    /// The bounds to keep.
    pub bounds: &'a RolloutBounds,
    /// How far it is.
    pub phase: Phase,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the move was written, if it was.
    pub moving_for: Option<Duration>,
    /// Whether the order was withdrawn.
    pub is_withdrawn: bool,
    /// Whether the holder hears half of the nodes, and so would know that the version is bad.
    pub hears_half: bool,
    /// Whether the evidence is good.
    pub is_good: bool,
    /// Whether there is little evidence and nothing speaks against the version.
    pub is_unsuspicious: bool,
    /// The holder's own calls in flight at old servers.
    pub old_in_flight: usize,
    /// Whether the new version has a usable server.
    pub has_new_servers: bool,
    /// All other nodes.
    pub nodes: &'a [NodeState],
}

/// The next thing to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// All new calls go to the new version.
    Move,
    /// The old servers may stop.
    Complete,
    /// The new version gets nothing more, for this reason.
    RollBack(&'static str),
}

/// Decides what to write next.
pub fn next_step(view: &RolloutView) -> Step {
    match view.phase {
        Phase::Completed | Phase::RolledBack => Step::Wait,
        _ if view.is_withdrawn => Step::RollBack("the order was withdrawn"),
        Phase::Stopped => Step::RollBack("the version is bad"),
        Phase::Watching if may_move(view) => Step::Move,
        Phase::Watching if view.elapsed >= view.schedule.duration => {
            Step::RollBack("too little was known at the end of the time")
        }
        Phase::Watching => Step::Wait,
        Phase::Moving if has_moved(view) => Step::Complete,
        Phase::Moving => Step::Wait,
    }
}

fn may_move(view: &RolloutView) -> bool {
    let schedule = &view.schedule;
    let is_enough = view.is_good && view.elapsed >= schedule.move_after()
        || view.is_unsuspicious && view.elapsed >= schedule.move_on_little_after();
    is_enough && view.hears_half && view.has_new_servers && view.elapsed < schedule.duration
}

/// Returns whether no node has calls at old servers or will send any.
fn has_moved(view: &RolloutView) -> bool {
    let Some(moving_for) = view.moving_for else { return false };
    let age_max = view.bounds.promise().mul_f64(PROMISE_USED);
    view.hears_half
        && view.has_new_servers
        && view.old_in_flight == 0
        && view.nodes.iter().all(|node| {
            if node.age > view.bounds.informed_within() + view.bounds.promise() {
                return is_silence_over(view, moving_for);
            }
            node.phase == Some(Phase::Moving) && node.old_in_flight == 0 && node.age <= age_max
        })
}

/// Returns whether the calls of a node that is not heard have ended. Such a node may not have read
/// of the move before its promise ended, and its last calls to old servers began then.
fn is_silence_over(view: &RolloutView, moving_for: Duration) -> bool {
    let calls_end = view.bounds.rollback_delay + view.schedule.longest_call;
    moving_for >= calls_end || view.elapsed >= view.schedule.last_completion_after()
}
