//! A sequential test of whether the new version's answers are bad more often than those of the old
//! version at the same time.

use super::counts::{Check, RouteCounts, RouteHash, Tally, add_counts};
use std::time::Duration;

/// Score at which a version that fails is bad; eight failures in a row while the old version has
/// none. With independent answers, a good version gets there about once in a million calls.
const FAILURE_SCORE_MAX: f64 = 12.0;
/// The same for late and slow answers, which come in clusters: a machine that is slow for a moment
/// is slow for all its calls.
const SLOWNESS_SCORE_MAX: f64 = 20.0;
/// Part of that score up to which a version counts as good.
const GOOD_SCORE_SHARE: f64 = 0.35;
/// Share of bad answers up to which a version counts as good: that of the old version times the
/// factor, plus the share.
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_SHARE: f64 = 0.01;
/// The same while the old version has no answers at the same time.
const UNCOMPARED_FACTOR: f64 = 2.5;
const UNCOMPARED_SHARE: f64 = 0.03;
/// Share of bad answers that the test assumes of a bad version: the tolerated one times the factor,
/// plus the share.
const BAD_FACTOR: f64 = 2.0;
const BAD_SHARE: f64 = 0.04;
/// Largest shares that are told apart.
const TOLERATED_SHARE_MAX: f64 = 0.9;
const BAD_SHARE_MAX: f64 = 0.98;
/// Time in which the old version's answers count half, which is the meaning of *at the same time*.
const OLD_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time over which answers are gathered before they are judged together, so that a burst which both
/// versions meet is seen at both.
const STEP: Duration = Duration::from_millis(400);
/// Time without answers of the old version after which there is nothing to compare with.
const OLD_SILENCE_MAX: Duration = Duration::from_secs(2);
/// Good answers that the old version is assumed to have had before the first ones are known.
const ASSUMED_OLD_ANSWERS: f64 = 10.0;
/// Answers of the new version that are enough for a ramp.
const ENOUGH_ANSWERS: u64 = 100;
/// Answers that are enough on each route with more than [`MAIN_ROUTE_SHARE`] of all answers.
const ENOUGH_ROUTE_ANSWERS: u64 = 10;
const MAIN_ROUTE_SHARE: f64 = 0.05;

/// Why a version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BadSign {
    /// The route; `None` if all routes together show it.
    pub route: Option<RouteHash>,
    /// What the answers failed.
    pub check: Check,
    /// Answers of the new version since the order.
    pub new: Tally,
    /// Share of the old version's answers that failed the same check lately.
    pub old_share: f64,
}

/// What the answers of both versions show so far, over all nodes that were heard.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    all: RouteEvidence,
    /// Sorted by route.
    routes: Vec<RouteEvidence>,
    /// Answers that are not judged yet, and since when they are gathered.
    gathered: Vec<RouteCounts>,
    gathered_since: Option<Duration>,
}

#[derive(Debug, Clone, Default)]
struct RouteEvidence {
    route: Option<RouteHash>,
    checks: [CheckEvidence; 3],
}

#[derive(Debug, Clone, Copy, Default)]
struct CheckEvidence {
    new: Tally,
    old: Tally,
    /// Answers of the old version, weighted by [`OLD_HALF_LIFE`].
    recent_old_bad: f64,
    recent_old: f64,
    /// Share of them in the last step, if greater than in the last seconds.
    step_old_share: f64,
    old_at: Option<Duration>,
    /// Sum of log likelihood ratios, never below 0.
    score: f64,
}

impl Evidence {
    /// Adds counts of answers until `now`, a boot time. They are judged together once they were
    /// gathered for some hundred milliseconds.
    pub fn add(&mut self, added: &[RouteCounts], now: Duration) {
        let since = *self.gathered_since.get_or_insert(now);
        add_counts(&mut self.gathered, added);
        if now.saturating_sub(since) >= STEP {
            self.gathered_since = Some(now);
            let gathered = std::mem::take(&mut self.gathered);
            self.judge(&gathered, now);
        }
    }

    fn judge(&mut self, added: &[RouteCounts], now: Duration) {
        let mut sum = RouteCounts::default();
        for counts in added {
            self.route(counts.route).add(counts, now);
            for check in 0..Check::ALL.len() {
                sum.new[check].add(counts.new[check]);
                sum.old[check].add(counts.old[check]);
            }
        }
        self.all.add(&sum, now);
    }

    /// Returns why the new version is bad, `None` if nothing shows that.
    pub fn bad_sign(&self) -> Option<BadSign> {
        let parts = self.routes.iter().chain([&self.all]);
        parts.flat_map(RouteEvidence::bad_signs).next()
    }

    /// Returns whether enough answers are known and none speaks against the new version.
    pub fn is_good(&self) -> bool {
        let answers = self.all.checks[Check::Failure as usize];
        let is_main = |route: &&RouteEvidence| {
            let route_answers = route.checks[Check::Failure as usize].old.total();
            route_answers as f64 > MAIN_ROUTE_SHARE * answers.old.total() as f64
        };
        answers.new.total() >= ENOUGH_ANSWERS
            && self.routes.iter().filter(is_main).all(|route| {
                route.checks[Check::Failure as usize].new.total() >= ENOUGH_ROUTE_ANSWERS
            })
            && self.is_unsuspicious()
    }

    /// Returns whether the new version has answered and nothing speaks against it, which is enough
    /// for a service with few calls.
    pub fn is_unsuspicious(&self) -> bool {
        let mut parts = self.routes.iter().chain([&self.all]);
        self.all.checks[Check::Failure as usize].new.good > 0
            && parts.all(RouteEvidence::is_unsuspicious)
    }

    /// Returns the answers of the new version since the order, by check.
    pub fn new_answers(&self) -> [Tally; 3] {
        self.all.checks.map(|check| check.new)
    }

    /// Returns the greatest score as a fraction of the one at which the version is bad.
    pub fn suspicion(&self) -> f64 {
        let parts = self.routes.iter().chain([&self.all]);
        parts.map(RouteEvidence::suspicion).fold(0.0, f64::max)
    }

    fn route(&mut self, route: RouteHash) -> &mut RouteEvidence {
        let index = match self.routes.binary_search_by_key(&Some(route), |known| known.route) {
            Ok(index) => index,
            Err(index) => {
                let added = RouteEvidence { route: Some(route), ..RouteEvidence::default() };
                self.routes.insert(index, added);
                index
            }
        };
        &mut self.routes[index]
    }
}

impl RouteEvidence {
    fn add(&mut self, counts: &RouteCounts, now: Duration) {
        for (check, evidence) in self.checks.iter_mut().enumerate() {
            evidence.add_old(counts.old[check], now);
            evidence.add_new(counts.new[check], now);
        }
    }

    fn bad_signs(&self) -> impl Iterator<Item = BadSign> {
        let checks = Check::ALL.into_iter().zip(self.checks);
        let bad = checks.filter(|(check, evidence)| evidence.score >= score_max(*check));
        bad.map(|(check, evidence)| BadSign {
            route: self.route,
            check,
            new: evidence.new,
            old_share: evidence.old_share(),
        })
    }

    fn is_unsuspicious(&self) -> bool {
        self.suspicion() < GOOD_SCORE_SHARE
    }

    fn suspicion(&self) -> f64 {
        let checks = Check::ALL.into_iter().zip(self.checks);
        checks.map(|(check, evidence)| evidence.score / score_max(check)).fold(0.0, f64::max)
    }
}

impl CheckEvidence {
    fn add_old(&mut self, old: Tally, now: Duration) {
        let step_answers = old.total() as f64 + ASSUMED_OLD_ANSWERS;
        self.step_old_share = old.bad as f64 / step_answers;
        if old.total() == 0 {
            return;
        }
        // A gap does not wipe out what is known, as nothing replaces it.
        let age = self.old_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let age = age.min(OLD_HALF_LIFE);
        let kept = 0.5_f64.powf(age.as_secs_f64() / OLD_HALF_LIFE.as_secs_f64());
        self.recent_old_bad = self.recent_old_bad * kept + old.bad as f64;
        self.recent_old = self.recent_old * kept + old.total() as f64;
        self.old.add(old);
        self.old_at = Some(now);
    }

    fn add_new(&mut self, new: Tally, now: Duration) {
        self.new.add(new);
        let is_compared = self.old_at.is_some_and(|at| now.saturating_sub(at) < OLD_SILENCE_MAX);
        let (factor, share) = match is_compared {
            true => (TOLERATED_FACTOR, TOLERATED_SHARE),
            false => (UNCOMPARED_FACTOR, UNCOMPARED_SHARE),
        };
        let tolerated = (self.old_share() * factor + share).min(TOLERATED_SHARE_MAX);
        let bad = (tolerated * BAD_FACTOR + BAD_SHARE).min(BAD_SHARE_MAX);
        let ratio = new.bad as f64 * (bad / tolerated).ln()
            + new.good as f64 * ((1.0 - bad) / (1.0 - tolerated)).ln();
        self.score = (self.score + ratio).max(0.0);
    }

    fn old_share(&self) -> f64 {
        let recent = self.recent_old_bad / (self.recent_old + ASSUMED_OLD_ANSWERS);
        recent.max(self.step_old_share)
    }
}

fn score_max(check: Check) -> f64 {
    match check {
        Check::Failure => FAILURE_SCORE_MAX,
        Check::Start | Check::Pace => SLOWNESS_SCORE_MAX,
    }
}
