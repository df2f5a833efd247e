//! Tests a quota that several nodes share: uneven load, large calls, and nodes that do not receive
//! each other's reports.

use fl_limits::{QuotaLimit, SharedQuota};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const LIMIT: QuotaLimit =
    QuotaLimit { rate_per_s: 100_000.0, burst: 100_000.0, tolerance: 50_000.0 };
const REPORT_INTERVAL_MS: u64 = 250;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nodes that report to each other what they have taken.
struct Fleet {
    limit: QuotaLimit,
    nodes: Vec<SharedQuota>,
    /// Identifier of each node's current process instance.
    instances: Vec<u64>,
    /// Time and units of each successful request.
    taken: Vec<(u64, f64)>,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        Self::with_limit(nodes, LIMIT)
    }

    fn with_limit(nodes: usize, limit: QuotaLimit) -> Self {
        let instances = (0..nodes as u64).collect();
        let nodes = (0..nodes).map(|_| SharedQuota::full(limit, at(0))).collect();
        Fleet { limit, nodes, instances, taken: Vec::new() }
    }

    fn restart(&mut self, node: usize, now_ms: u64) {
        self.nodes[node] = SharedQuota::provisional(self.limit, at(now_ms));
        self.instances[node] += 100;
    }

    /// Lets all nodes that are not suspended report to each other. A suspended node does not even
    /// observe the time.
    fn report_awake(&mut self, now_ms: u64, is_awake: impl Fn(usize) -> bool) {
        let awake: Vec<usize> = (0..self.nodes.len()).filter(|node| is_awake(*node)).collect();
        for from in awake.iter().copied() {
            let report = self.nodes[from].report(at(now_ms));
            for to in awake.iter().copied().filter(|to| *to != from) {
                self.nodes[to].apply_report(self.instances[from], report, at(now_ms));
            }
        }
    }

    fn try_take(&mut self, node: usize, units: f64, now_ms: u64) -> bool {
        let is_granted = self.nodes[node].try_take(units, at(now_ms)).is_ok();
        if is_granted {
            self.taken.push((now_ms, units));
        }
        is_granted
    }

    fn report(&mut self, now_ms: u64, receives: impl Fn(usize, usize) -> bool) {
        for from in 0..self.nodes.len() {
            let report = self.nodes[from].report(at(now_ms));
            for to in 0..self.nodes.len() {
                if from != to && receives(from, to) {
                    self.nodes[to].apply_report(from as u64, report, at(now_ms));
                }
            }
        }
    }

    /// Returns the largest number of units taken in any span of the given length.
    fn max_taken_in(&self, span_ms: u64) -> f64 {
        let sum_to = |end: u64| {
            let in_span = self.taken.iter().filter(|(at, _)| *at <= end && at + span_ms > end);
            in_span.map(|(_, units)| units).sum::<f64>()
        };
        self.taken.iter().map(|(at, _)| sum_to(*at)).fold(0.0, f64::max)
    }
}

#[test]
fn whole_quota_on_one_node() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    let taken = (0..20).filter(|call| fleet.try_take(0, 10_000.0, 10 * call)).count();
    assert!(
        taken >= 14,
        "a node must be able to use the units that the others leave: {taken} of 20 calls"
    );
}

#[test]
fn large_call_granted() {
    let mut fleet = Fleet::new(6);
    assert!(fleet.try_take(3, 400_000.0, 0));
    assert!(!fleet.try_take(3, 1_000.0, 10), "the negative level must be refilled first");
}

#[test]
fn excess_load_on_all_nodes() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    for step in 0..1_600 {
        let now_ms = step * 10;
        if now_ms % REPORT_INTERVAL_MS == 0 {
            fleet.report(now_ms, |_, _| true);
        }
        fleet.try_take((step % 6) as usize, 4_000.0, now_ms);
    }
    let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
    let most = fleet.max_taken_in(8_000);
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(most >= LIMIT.rate_per_s * 8.0 * 0.8, "the permitted rate must be usable: {most}");
}

#[test]
fn partitioned_nodes_keep_to_quota() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    for step in 0..1_600 {
        let now_ms = step * 10;
        let is_partitioned = now_ms > 6_000;
        if now_ms % REPORT_INTERVAL_MS == 0 {
            fleet.report(now_ms, |from, to| !is_partitioned || (from < 2) == (to < 2));
        }
        fleet.try_take((step % 6) as usize, 4_000.0, now_ms);
    }
    let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
    let most = fleet.max_taken_in(8_000);
    assert!(most <= allowed, "{most} of {allowed}");
}

#[test]
fn lower_limit_applies_at_once() {
    let mut quota = SharedQuota::full(LIMIT, at(0));
    let lower = QuotaLimit { rate_per_s: 1_000.0, burst: 1_000.0, tolerance: 0.0 };
    quota.set_limit(lower, at(10));
    assert!(quota.try_take(1_000.0, at(20)).is_ok());
    let wait = quota.try_take(1_000.0, at(20));
    assert!(wait.is_err_and(|short| short.retry_after <= Duration::from_secs(1)));
}

#[test]
fn new_node_adopts_consumption() {
    let mut old = SharedQuota::full(LIMIT, at(0));
    assert!(old.try_take(140_000.0, at(0)).is_ok());
    let mut new = SharedQuota::full(LIMIT, at(10));
    new.apply_report(1, old.report(at(10)), at(10));
    assert!(new.try_take(50_000.0, at(20)).is_err());
}

#[test]
fn simultaneous_restart_keeps_to_quota() {
    let mut fleet = Fleet::new(6);
    fleet.report(0, |_, _| true);
    for step in 0..1_600 {
        let now_ms = step * 10;
        if now_ms == 8_000 {
            fleet.nodes = (0..6).map(|_| SharedQuota::provisional(LIMIT, at(now_ms))).collect();
        }
        if now_ms % REPORT_INTERVAL_MS == 0 {
            fleet.report(now_ms, |_, _| true);
        }
        fleet.try_take((step % 6) as usize, 4_000.0, now_ms);
    }
    let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
    let most = fleet.max_taken_in(8_000);
    assert!(most <= allowed, "{most} of {allowed}");
}

/// After a network partition heals, the deduction of what the other side took must not make nodes
/// refuse calls that use much less than the quota.
#[rstest]
#[case::short_partition(2_000)]
#[case::long_partition(5_500)]
#[case::longer_than_assumed(9_000)]
fn healed_partition_refuses_nothing(#[case] partition_ms: u64) {
    let mut fleet = Fleet::new(3);
    for step in 0..1_500 {
        let now_ms = step * 10;
        let is_partitioned = (3_000..3_000 + partition_ms).contains(&now_ms);
        if now_ms % REPORT_INTERVAL_MS == 0 {
            fleet.report(now_ms, |from, to| !is_partitioned || (from == 0) == (to == 0));
        }
        let taken = fleet.try_take((step % 3) as usize, 600.0, now_ms);
        assert!(taken, "refused at {now_ms} ms");
    }
}

/// A node that wakes up from a suspension receives at once the reports of all that the others took
/// meanwhile, and must not refuse calls because of it.
#[test]
fn suspended_node_refuses_nothing() {
    let mut fleet = Fleet::new(3);
    for step in 0..1_500 {
        let now_ms = step * 10;
        let is_suspended = (3_000..9_400).contains(&now_ms);
        let receives = |from, to| !is_suspended || (from != 0 && to != 0);
        if now_ms % REPORT_INTERVAL_MS == 0 {
            fleet.report(now_ms, receives);
        }
        let node = (step % 3) as usize;
        if node != 0 || !is_suspended {
            assert!(fleet.try_take(node, 800.0, now_ms), "refused at {now_ms} ms");
        }
    }
}

/// A node that was suspended before it had observed the others' rates must adopt their level.
#[test]
fn suspended_early_node_refuses_nothing() {
    let mut fleet = Fleet::new(3);
    for step in 0..1_000 {
        let now_ms = step * 10;
        let is_suspended = (300..5_000).contains(&now_ms);
        let receives = |from, to| !is_suspended || (from != 0 && to != 0);
        if now_ms % REPORT_INTERVAL_MS == 0 {
            fleet.report(now_ms, receives);
        }
        let node = (step % 3) as usize;
        if now_ms >= 250 && (node != 0 || !is_suspended) {
            assert!(fleet.try_take(node, 1_000.0, now_ms), "refused at {now_ms} ms");
        }
    }
}

/// A node is suspended during a spike of demand, and another node restarts meanwhile. The outdated
/// level of the suspended node must not make any node refuse calls when it wakes up.
#[rstest]
#[case::short(4_000)]
#[case::as_long_as_assumed(6_500)]
#[case::longer_than_assumed(9_000)]
fn woken_node_harms_no_other(#[case] suspended_ms: u64) {
    let (suspended, restarted) = (0, 1);
    let span = 2_500..2_500 + suspended_ms;
    let mut fleet = Fleet::with_limit(4, QuotaLimit { burst: 400_000.0, ..LIMIT });
    for step in 0..1_600 {
        let now_ms = step * 10;
        let is_suspended = span.contains(&now_ms);
        if now_ms == 4_000 {
            fleet.restart(restarted, now_ms);
        }
        if now_ms % REPORT_INTERVAL_MS == 0 {
            fleet.report_awake(now_ms, |node| node != suspended || !is_suspended);
        }
        let node = (step % 4) as usize;
        let is_spike = (2_000..2_500).contains(&now_ms);
        let units = if is_spike { 9_000.0 } else { 600.0 };
        let is_provisional = node == restarted && (4_000..4_300).contains(&now_ms);
        if (node != suspended || !is_suspended) && !is_provisional {
            let taken = fleet.try_take(node, units, now_ms);
            assert!(taken || is_spike, "node {node} refused at {now_ms} ms");
        }
    }
}

/// The consumption of a node whose first report arrives late must be deducted exactly once.
#[test]
fn late_first_report_counts_once() {
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
fn restarted_node_adopts_level() {
    let mut old = SharedQuota::full(LIMIT, at(0));
    let mut new = SharedQuota::provisional(LIMIT, at(10));
    assert!(new.try_take(50_000.0, at(10)).is_err());
    new.apply_report(1, old.report(at(10)), at(10));
    assert!(new.try_take(50_000.0, at(20)).is_ok());
}

proptest! {
    /// While nodes receive each other's reports, the units taken stay within the permitted
    /// overshoot, whatever the calls are and whichever nodes receive them.
    #[test]
    fn overshoot_bounded(calls in proptest::collection::vec((0u64..16_000, 0usize..6, 100u32..12_000), 1..600)) {
        let mut calls = calls;
        calls.sort();
        let mut fleet = Fleet::new(6);
        let mut reported_ms = 0;
        fleet.report(0, |_, _| true);
        for (now_ms, node, units) in calls {
            while reported_ms + REPORT_INTERVAL_MS <= now_ms {
                reported_ms += REPORT_INTERVAL_MS;
                fleet.report(reported_ms, |_, _| true);
            }
            fleet.try_take(node, f64::from(units), now_ms);
        }
        let allowed = (LIMIT.rate_per_s * 8.0 + LIMIT.burst) * 1.1 + 140_000.0;
        prop_assert!(fleet.max_taken_in(8_000) <= allowed);
    }
}
