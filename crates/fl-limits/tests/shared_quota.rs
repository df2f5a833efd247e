//! One quota over several nodes: uneven callers, large calls, and nodes that do not hear each other.

use fl_limits::{QuotaLimit, SharedQuota};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const LIMIT: QuotaLimit =
    QuotaLimit { rate_per_s: 100_000.0, burst: 100_000.0, tolerance: 50_000.0 };
const REPORT_EVERY_MS: u64 = 250;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nodes that tell each other what they took.
struct Fleet {
    limit: QuotaLimit,
    nodes: Vec<SharedQuota>,
    /// Which life of its process each node is in.
    lives: Vec<u64>,
    taken: Vec<(u64, f64)>,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        Self::with_limit(nodes, LIMIT)
    }

    fn with_limit(nodes: usize, limit: QuotaLimit) -> Self {
        let lives = (0..nodes as u64).collect();
        let nodes = (0..nodes).map(|_| SharedQuota::full(limit, at(0))).collect();
        Fleet { limit, nodes, lives, taken: Vec::new() }
    }

    fn restart(&mut self, node: usize, now_ms: u64) {
        self.nodes[node] = SharedQuota::provisional(self.limit, at(now_ms));
        self.lives[node] += 100;
    }

    /// All nodes that are awake tell each other; the others do not even look at their clocks.
    fn report_awake(&mut self, now_ms: u64, is_awake: impl Fn(usize) -> bool) {
        let awake: Vec<usize> = (0..self.nodes.len()).filter(|node| is_awake(*node)).collect();
        for from in awake.iter().copied() {
            let report = self.nodes[from].report(at(now_ms));
            for to in awake.iter().copied().filter(|to| *to != from) {
                self.nodes[to].apply_report(self.lives[from], report, at(now_ms));
            }
        }
    }

    fn ask(&mut self, node: usize, units: f64, now_ms: u64) -> bool {
        let taken = self.nodes[node].try_take(units, at(now_ms)).is_ok();
        if taken {
            self.taken.push((now_ms, units));
        }
        taken
    }

    fn report(&mut self, now_ms: u64, hears: impl Fn(usize, usize) -> bool) {
        for from in 0..self.nodes.len() {
            let report = self.nodes[from].report(at(now_ms));
            for to in 0..self.nodes.len() {
                if from != to && hears(from, to) {
                    self.nodes[to].apply_report(from as u64, report, at(now_ms));
                }
            }
        }
    }

    /// The most that was taken in any span.
    fn most_in(&self, span_ms: u64) -> f64 {
        let sum_to = |end: u64| {
            let in_span = self.taken.iter().filter(|(at, _)| *at <= end && at + span_ms > end);
            in_span.map(|(_, units)| units).sum::<f64>()
        };
        self.taken.iter().map(|(at, _)| sum_to(*at)).fold(0.0, f64::max)
    }
}

#[test]
fn all_calls_at_one_node() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    let taken = (0..20).filter(|call| fleet.ask(0, 10_000.0, 10 * call)).count();
    assert!(taken >= 14, "a node must be able to use what the others leave: {taken} of 20");
}

#[test]
fn large_call_passes() {
    let mut fleet = Fleet::new(6);
    assert!(fleet.ask(3, 400_000.0, 0));
    assert!(!fleet.ask(3, 1_000.0, 10), "it is paid off first");
}

#[test]
fn hot_workspace_over_all_nodes() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    for step in 0..1_600 {
        let now_ms = step * 10;
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report(now_ms, |_, _| true);
        }
        fleet.ask((step % 6) as usize, 4_000.0, now_ms);
    }
    let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
    let most = fleet.most_in(8_000);
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(most >= LIMIT.rate_per_s * 8.0 * 0.8, "what is owed must be had: {most}");
}

#[test]
fn cut_nodes_keep_to_it() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    for step in 0..1_600 {
        let now_ms = step * 10;
        let is_cut = now_ms > 6_000;
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report(now_ms, |from, to| !is_cut || (from < 2) == (to < 2));
        }
        fleet.ask((step % 6) as usize, 4_000.0, now_ms);
    }
    let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
    let most = fleet.most_in(8_000);
    assert!(most <= allowed, "{most} of {allowed}");
}

#[test]
fn lower_limit_binds() {
    let mut quota = SharedQuota::full(LIMIT, at(0));
    let lower = QuotaLimit { rate_per_s: 1_000.0, burst: 1_000.0, tolerance: 0.0 };
    quota.set_limit(lower, at(10));
    assert!(quota.try_take(1_000.0, at(20)).is_ok());
    let wait = quota.try_take(1_000.0, at(20));
    assert!(wait.is_err_and(|short| short.retry_after <= Duration::from_secs(1)));
}

#[test]
fn new_node_learns_level() {
    let mut old = SharedQuota::full(LIMIT, at(0));
    assert!(old.try_take(140_000.0, at(0)).is_ok());
    let mut new = SharedQuota::full(LIMIT, at(10));
    new.apply_report(1, old.report(at(10)), at(10));
    assert!(new.try_take(50_000.0, at(20)).is_err());
}

#[test]
fn all_nodes_lose_their_memory() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    for step in 0..1_600 {
        let now_ms = step * 10;
        if now_ms == 8_000 {
            fleet.nodes = (0..6).map(|_| SharedQuota::provisional(LIMIT, at(now_ms))).collect();
        }
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report(now_ms, |_, _| true);
        }
        fleet.ask((step % 6) as usize, 4_000.0, now_ms);
    }
    let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
    let most = fleet.most_in(8_000);
    assert!(most <= allowed, "{most} of {allowed}");
}

/// Nodes that take much less than the quota refuse nothing after they were parted for a while.
#[rstest]
#[case::short_cut(2_000)]
#[case::long_cut(5_500)]
#[case::longer_than_assumed(9_000)]
fn healed_cut_refuses_nothing(#[case] cut_ms: u64) {
    let mut fleet = Fleet::new(3);
    for step in 0..1_500 {
        let now_ms = step * 10;
        let is_cut = (3_000..3_000 + cut_ms).contains(&now_ms);
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report(now_ms, |from, to| !is_cut || (from == 0) == (to == 0));
        }
        let taken = fleet.ask((step % 3) as usize, 600.0, now_ms);
        assert!(taken, "refused at {now_ms} ms");
    }
}

/// A node that was suspended hears at once of what the others took meanwhile.
#[test]
fn suspended_node_refuses_nothing() {
    let mut fleet = Fleet::new(3);
    for step in 0..1_500 {
        let now_ms = step * 10;
        let is_suspended = (3_000..9_400).contains(&now_ms);
        let hears = |from, to| !is_suspended || (from != 0 && to != 0);
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report(now_ms, hears);
        }
        let node = (step % 3) as usize;
        if node != 0 || !is_suspended {
            assert!(fleet.ask(node, 800.0, now_ms), "refused at {now_ms} ms");
        }
    }
}

/// A node that was suspended before it knew the others' pace takes their word for the level.
#[test]
fn suspended_early_node_refuses_nothing() {
    let mut fleet = Fleet::new(3);
    for step in 0..1_000 {
        let now_ms = step * 10;
        let is_suspended = (300..5_000).contains(&now_ms);
        let hears = |from, to| !is_suspended || (from != 0 && to != 0);
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report(now_ms, hears);
        }
        let node = (step % 3) as usize;
        if now_ms >= 250 && (node != 0 || !is_suspended) {
            assert!(fleet.ask(node, 1_000.0, now_ms), "refused at {now_ms} ms");
        }
    }
}

/// A node is suspended in a spike of demand and another starts anew meanwhile: what the suspended one
/// believes when it wakes up makes nobody refuse, since the others know better.
#[rstest]
#[case::short(4_000)]
#[case::as_long_as_assumed(6_500)]
#[case::longer_than_assumed(9_000)]
fn woken_node_disturbs_nobody(#[case] suspended_ms: u64) {
    let (suspended, restarted) = (0, 1);
    let span = 2_500..2_500 + suspended_ms;
    let mut fleet = Fleet::with_limit(4, QuotaLimit { burst: 400_000.0, ..LIMIT });
    for step in 0..1_600 {
        let now_ms = step * 10;
        let is_suspended = span.contains(&now_ms);
        if now_ms == 4_000 {
            fleet.restart(restarted, now_ms);
        }
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report_awake(now_ms, |node| node != suspended || !is_suspended);
        }
        let node = (step % 4) as usize;
        let is_spike = (2_000..2_500).contains(&now_ms);
        let units = if is_spike { 9_000.0 } else { 600.0 };
        let is_learning = node == restarted && (4_000..4_300).contains(&now_ms);
        if (node != suspended || !is_suspended) && !is_learning {
            let taken = fleet.ask(node, units, now_ms);
            assert!(taken || is_spike, "node {node} refused at {now_ms} ms");
        }
    }
}

/// A node that is first heard of late has taken what it tells, and no more.
#[test]
fn late_heard_node_counts_once() {
    let mut old = SharedQuota::full(LIMIT, at(0));
    let mut new = SharedQuota::provisional(LIMIT, at(0));
    let mut full = SharedQuota::full(LIMIT, at(0));
    new.apply_report(3, full.report(at(0)), at(0));
    assert!(new.try_take(90_000.0, at(0)).is_ok());
    old.apply_report(2, new.report(at(0)), at(0));
    assert!(old.try_take(70_000.0, at(0)).is_err());
    assert!(old.try_take(55_000.0, at(0)).is_ok());
}

#[test]
fn restarted_node_learns_level() {
    let mut old = SharedQuota::full(LIMIT, at(0));
    let mut new = SharedQuota::provisional(LIMIT, at(10));
    assert!(new.try_take(50_000.0, at(10)).is_err());
    new.apply_report(1, old.report(at(10)), at(10));
    assert!(new.try_take(50_000.0, at(20)).is_ok());
}

proptest! {
    /// Whatever the calls and whichever nodes take them, what is taken stays within what was
    /// promised while nodes hear each other.
    #[test]
    fn promise_kept(calls in proptest::collection::vec((0u64..16_000, 0usize..6, 100u32..12_000), 1..600)) {
        let mut calls = calls;
        calls.sort();
        let mut fleet = Fleet::new(6);
        let mut reported_ms = 0;
        fleet.report(0, |_, _| true);
        for (now_ms, node, units) in calls {
            while reported_ms + REPORT_EVERY_MS <= now_ms {
                reported_ms += REPORT_EVERY_MS;
                fleet.report(reported_ms, |_, _| true);
            }
            fleet.ask(node, f64::from(units), now_ms);
        }
        let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
        prop_assert!(fleet.most_in(8_000) <= allowed);
    }
}
