//! The phases of a rollout over time, and which version gets a call.

use super::{ExposureBudget, OwnCalls, Phase};
use std::time::Duration;

/// Share of the allowed exposure that the new version gets while it is watched, so that the budget
/// is rarely used up and each route gets its part.
const WATCH_SHARE_USED: f64 = 0.8;
/// Part of the time before the move that passes before the ramp.
const RAMP_AFTER: f64 = 0.8;
/// Shares of the new version in the two halves of the ramp.
const RAMP_SHARES: [f64; 2] = [0.2, 0.4];
/// Part of the order's time before which traffic is not moved.
const MOVE_AFTER: f64 = 0.45;
/// Part of the order's time that is kept for the decisions and writes after the move.
const TIME_KEPT: f64 = 0.1;
/// Least time that is kept for them.
const TIME_KEPT_MIN: Duration = Duration::from_secs(2);

/// When a rollout passes to its next phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Time within which all traffic has to be moved.
    pub duration: Duration,
    /// Longest time that a call of the service may take.
    pub longest_call: Duration,
}

/// Which version gets a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that the order names.
    New,
    /// Any other version.
    Old,
}

/// What a node knows when it chooses a version.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// How far the rollout is.
    pub phase: Phase,
    /// Time since the order.
    pub elapsed: Duration,
    /// Whether the evidence is good.
    pub is_good: bool,
    /// Whether the node would have heard that the version is bad.
    pub is_informed: bool,
    /// Its calls to the service.
    pub calls: &'a OwnCalls,
    /// Share of calls that a bad version may get.
    pub exposure_share: f64,
    /// What it may send.
    pub budget: &'a ExposureBudget,
}

impl Schedule {
    /// Returns the time after which all calls go to a good version: late, since it may still turn
    /// bad, but early enough for the calls at the old servers to end.
    pub fn move_after(&self) -> Duration {
        let kept = self.time_kept();
        let latest = self.duration.saturating_sub(self.longest_call + kept);
        latest.max(self.duration.mul_f64(MOVE_AFTER))
    }

    /// Returns the time after which a service with few calls is moved on little evidence.
    pub fn move_on_little_after(&self) -> Duration {
        self.move_after() + (self.duration.saturating_sub(self.move_after())) / 4
    }

    /// Returns the time after which nodes that are not heard no longer delay the end.
    pub fn last_completion_after(&self) -> Duration {
        self.duration.saturating_sub(self.time_kept() / 2)
    }

    fn time_kept(&self) -> Duration {
        self.duration.mul_f64(TIME_KEPT).max(TIME_KEPT_MIN).min(self.duration / 4)
    }

    /// Returns the share of the new version during the ramp; `None` before it.
    fn ramp_share(&self, elapsed: Duration) -> Option<f64> {
        let from = self.move_after().mul_f64(RAMP_AFTER);
        let half = (self.move_after() - from) / 2;
        let since = elapsed.checked_sub(from)?;
        Some(RAMP_SHARES[usize::from(since >= half)])
    }
}

/// Chooses the version of a call; `random` is in 0 to 1.
pub fn choose_side(schedule: &Schedule, situation: &Situation, random: f64) -> Side {
    let Situation { phase, elapsed, is_good, is_informed, calls, exposure_share, budget } =
        *situation;
    let is_new = match phase {
        Phase::Completed => true,
        Phase::Stopped | Phase::RolledBack => false,
        Phase::Moving => is_informed,
        Phase::Watching if !is_informed => false,
        Phase::Watching => match schedule.ramp_share(elapsed).filter(|_| is_good) {
            Some(share) => {
                let time_left = schedule.duration.saturating_sub(elapsed);
                random < share && budget.allows_in_ramp(calls, time_left)
            }
            None => random < exposure_share * WATCH_SHARE_USED && budget.allows(calls),
        },
    };
    if is_new { Side::New } else { Side::Old }
}
