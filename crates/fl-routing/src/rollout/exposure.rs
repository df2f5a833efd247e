//! The budget of calls that each node may send to a version of which too little is known.

use super::RolloutBounds;
use std::time::Duration;

/// Part of the share that is used. The rest covers calls that are counted at the wrong side of the
/// order's time, and resumed streams, which keep their version.
const SHARE_USED: f64 = 0.9;
/// Part of the slack that is used, for the same reason and for nodes that nobody knows yet.
const SLACK_USED: f64 = 0.5;
/// Part of the calls to come, at the rate so far, that a ramp counts on.
const CALLS_TO_COME_USED: f64 = 0.6;

/// Calls of one node to a service since it counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnCalls {
    /// All calls.
    pub all: u64,
    /// Calls that were sent to the new version.
    pub new: u64,
    /// How long the node has counted.
    pub counted_for: Duration,
}

/// What one node may send to the new version. The sum of all nodes keeps the bounds whether they
/// hear each other or not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBudget {
    share: f64,
    slack: f64,
}

impl ExposureBudget {
    /// Creates the budget of one of `nodes`; `None` if their number is unknown or an earlier
    /// process of the node may have used its part of the slack.
    pub fn new(bounds: &RolloutBounds, nodes: Option<usize>) -> Self {
        let slack = bounds.exposure_slack * SLACK_USED;
        ExposureBudget {
            share: bounds.exposure_share * SHARE_USED,
            slack: nodes.map_or(0.0, |nodes| slack / nodes.max(1) as f64),
        }
    }

    /// Returns whether one more call may go to the new version, by the calls so far.
    pub fn allows(&self, calls: &OwnCalls) -> bool {
        self.allows_of(calls, calls.all as f64)
    }

    /// Returns whether one more call may go to the new version, by the calls so far and those to
    /// come in the time that is left of the order.
    pub fn allows_in_ramp(&self, calls: &OwnCalls, time_left: Duration) -> bool {
        let counted_s = calls.counted_for.as_secs_f64().max(1.0);
        let to_come = calls.all as f64 / counted_s * time_left.as_secs_f64();
        self.allows_of(calls, calls.all as f64 + to_come * CALLS_TO_COME_USED)
    }

    fn allows_of(&self, calls: &OwnCalls, all: f64) -> bool {
        (calls.new + 1) as f64 <= self.share * all + self.slack
    }
}
