//! Counts of good and bad answers of the new version and of all others, by route.

use serde::{Deserialize, Serialize};

/// Hash of a route's name.
pub type RouteHash = u64;

/// What an answer is checked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// It failed or broke off.
    Failure,
    /// It was late to begin.
    Start,
    /// It was slow to go on.
    Pace,
}

impl Check {
    /// All checks, in the order in which they are counted.
    pub const ALL: [Check; 3] = [Check::Failure, Check::Start, Check::Pace];

    /// Returns the name of the check in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Check::Failure => "failed",
            Check::Start => "late",
            Check::Pace => "slow",
        }
    }
}

/// Number of answers that passed a check, and of those that did not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers that passed.
    pub good: u64,
    /// Answers that did not.
    pub bad: u64,
}

impl Tally {
    /// Returns the number of answers.
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    pub(super) fn add(&mut self, other: Tally) {
        self.good += other.good;
        self.bad += other.bad;
    }

    fn join(&mut self, other: Tally, join: impl Fn(u64, u64) -> u64) {
        self.good = join(self.good, other.good);
        self.bad = join(self.bad, other.bad);
    }
}

/// What a node counted on one route since the order; never decreases while the node runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// The route.
    pub route: RouteHash,
    /// Answers of the new version, by check.
    pub new: [Tally; 3],
    /// Answers of all other versions, by check.
    pub old: [Tally; 3],
}

impl RouteCounts {
    fn of(route: RouteHash) -> Self {
        RouteCounts { route, ..RouteCounts::default() }
    }

    fn join(&mut self, other: &RouteCounts, join: impl Fn(u64, u64) -> u64) {
        for check in 0..Check::ALL.len() {
            self.new[check].join(other.new[check], &join);
            self.old[check].join(other.old[check], &join);
        }
    }
}

/// Counts one answer.
pub fn record(
    counts: &mut Vec<RouteCounts>,
    route: RouteHash,
    is_new: bool,
    check: Check,
    is_bad: bool,
) {
    let counts = entry(counts, route);
    let side = if is_new { &mut counts.new } else { &mut counts.old };
    let tally = &mut side[check as usize];
    if is_bad { tally.bad += 1 } else { tally.good += 1 }
}

/// Adds counts to others.
pub fn add_counts(counts: &mut Vec<RouteCounts>, added: &[RouteCounts]) {
    for other in added {
        entry(counts, other.route).join(other, u64::saturating_add);
    }
}

/// Merges the counts that a node reported into its known ones. Returns the difference.
///
/// Reports that arrive late or twice add nothing, since counts never decrease.
pub fn merge_counts(known: &mut Vec<RouteCounts>, reported: &[RouteCounts]) -> Vec<RouteCounts> {
    let mut all_added = Vec::with_capacity(reported.len());
    for other in reported {
        let known = entry(known, other.route);
        let mut added = *other;
        added.join(known, u64::saturating_sub);
        known.join(other, u64::max);
        all_added.push(added);
    }
    all_added
}

/// Returns the counts of a route, of a vector that is sorted by route.
fn entry(counts: &mut Vec<RouteCounts>, route: RouteHash) -> &mut RouteCounts {
    let index = match counts.binary_search_by_key(&route, |counts| counts.route) {
        Ok(index) => index,
        Err(index) => {
            counts.insert(index, RouteCounts::of(route));
            index
        }
    };
    &mut counts[index]
}
