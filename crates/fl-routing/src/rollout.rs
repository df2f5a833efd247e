//! Decides how a service's traffic moves to a new software version, and whether it does.
//!
//! Each node keeps a budget of calls to the new version, all nodes count its answers beside those
//! of the old version, and a sequential test tells a bad version from a good one. See
//! `docs/design/130-canary-rollouts.md`.

mod answer_times;
mod counts;
mod decision;
mod evidence;
mod exposure;
mod schedule;
mod version_filter;

pub use answer_times::{AnswerTimes, PendingCheck, PendingChecks};
pub use counts::{Check, RouteCounts, RouteHash, Tally, add_counts, merge_counts, record};
pub use decision::{NodeState, RolloutView, Step, next_step};
pub use evidence::{BadSign, Evidence};
pub use exposure::{ExposureBudget, OwnCalls};
pub use schedule::{Schedule, Side, Situation, choose_side};
pub use version_filter::{VersionFilter, filters};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Share of the rollback bound within which a node has to hear half of its peers to send calls to
/// the new version.
const INFORMED_SHARE: f64 = 0.4;
/// Share of the rollback bound for which a node keeps to what it reported. Both together leave a
/// tenth of the bound for calls that are being sent.
const PROMISE_SHARE: f64 = 0.5;

/// How far a rollout is. A later phase overrides an earlier one, so nodes adopt the latest that
/// they hear of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The new version gets a small share.
    Watching,
    /// All new calls go to the new version, and those at old servers end.
    Moving,
    /// A node found the new version bad; that is not in the store yet.
    Stopped,
    /// The move is over and in the store.
    Completed,
    /// The move was given up, which is in the store.
    RolledBack,
}

impl Phase {
    /// Returns whether the phase is in the store and never changes.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }
}

/// Bounds of a rollout that operators are promised.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Share of the service's calls that a bad version may get.
    pub exposure_share: f64,
    /// Calls that it may get beyond that share.
    pub exposure_slack: f64,
    /// Longest time from its 50th bad answer to the last call that is sent to it.
    pub rollback_delay: Duration,
}

impl RolloutBounds {
    /// Returns how recently a node has to have heard half of its peers.
    pub fn informed_within(&self) -> Duration {
        self.rollback_delay.mul_f64(INFORMED_SHARE)
    }

    /// Returns for how long a node that reports to have moved sends nothing to the old version.
    pub fn promise(&self) -> Duration {
        self.rollback_delay.mul_f64(PROMISE_SHARE)
    }
}
