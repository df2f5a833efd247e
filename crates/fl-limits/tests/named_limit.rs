//! The limit that a server names holds over all nodes, whatever order responses and reports come in.

use fl_limits::named_limit::sharing_nodes;
use fl_limits::{LimitStatement, NamedLimit};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

/// Span in which the server may get one and a half times its limit and a few calls more, as the
/// users' rules state.
const SPAN_MS: u64 = 4_000;
const SPAN_S: f64 = 4.0;
const OVERSHOOT: f64 = 1.5;
const SLACK_CALLS: f64 = 5.0;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn statement(limit_per_s: Option<f64>, heard_ms: u64) -> LimitStatement {
    LimitStatement { limit_per_s, heard_at: ms(heard_ms) }
}

/// Returns the most calls that arrive within one span; `sent_ms` is sorted.
fn most_in_span(sent_ms: &[u64]) -> usize {
    let count_since = |end: u64| {
        let first = sent_ms.partition_point(|at| *at + SPAN_MS < end);
        sent_ms.partition_point(|at| *at <= end) - first
    };
    sent_ms.iter().map(|end| count_since(*end)).max().unwrap_or(0)
}

#[rstest]
#[case::tiny(0.0, 61, 3)]
#[case::one(1.0, 6, 4)]
#[case::few_nodes(20.0, 6, 6)]
#[case::many_nodes(20.0, 61, 33)]
#[case::no_nodes(1.0, 0, 1)]
fn sharing_grows_with_limit(
    #[case] limit_per_s: f64,
    #[case] nodes: usize,
    #[case] sharing: usize,
) {
    assert_eq!(sharing_nodes(limit_per_s, nodes), sharing);
}

proptest! {
    /// All sharing nodes together keep to the limit in every span, also if each of them waited for
    /// long and then has calls at once.
    #[test]
    fn limit_kept_by_all_nodes(
        limit_per_s in 0.0_f64..40.0,
        nodes in 1_usize..80,
        idle_ms in 0_u64..60_000,
        step_ms in 1_u64..400,
    ) {
        let sharing = sharing_nodes(limit_per_s, nodes);
        let mut limits = vec![NamedLimit::default(); sharing];
        for limit in &mut limits {
            limit.hear(Some(limit_per_s), ms(1));
        }
        let mut sent_ms = Vec::new();
        for now_ms in (idle_ms..idle_ms + 12_000).step_by(step_ms as usize) {
            for limit in &mut limits {
                if limit.may_send(Some(sharing), ms(now_ms)) {
                    limit.count_call(sharing, ms(now_ms));
                    sent_ms.push(now_ms);
                }
            }
        }
        let allowed = OVERSHOOT * limit_per_s * SPAN_S + SLACK_CALLS;
        prop_assert!(most_in_span(&sent_ms) as f64 <= allowed, "{} of {allowed}", most_in_span(&sent_ms));
    }
}

#[test]
fn limit_used_in_full() {
    let mut limit = NamedLimit::default();
    limit.hear(Some(2.0), ms(0));
    let mut calls = 0;
    for now_ms in (0..20_000).step_by(10) {
        if limit.may_send(Some(1), ms(now_ms)) {
            limit.count_call(1, ms(now_ms));
            calls += 1;
        }
    }
    assert!((38..=40).contains(&calls), "{calls} calls in 20 s at 2 a second");
}

#[test]
fn other_nodes_send_nothing() {
    let mut limit = NamedLimit::default();
    assert!(limit.may_send(None, ms(0)), "no limit is named");
    limit.learn(statement(Some(3.0), 5), ms(10));
    assert!(!limit.may_send(None, ms(9_000)));
}

#[test]
fn limit_ends_with_next_response() {
    let mut limit = NamedLimit::default();
    assert!(limit.hear(Some(1.0), ms(0)));
    assert!(!limit.hear(Some(1.0), ms(100)), "nothing changed");
    assert!(limit.hear(None, ms(200)));
    assert_eq!(limit.in_force(ms(200)), None);
    assert_eq!(limit.report(ms(300)), Some(statement(None, 200)), "peers learn that it ended");
    assert_eq!(limit.report(ms(9_000)), None);
}

#[test]
fn newest_response_wins() {
    let mut limit = NamedLimit::default();
    limit.hear(None, ms(500));
    assert!(!limit.learn(statement(Some(1.0), 400), ms(600)), "an older response");
    assert_eq!(limit.in_force(ms(600)), None);
    assert_eq!(limit.report(ms(600)), Some(statement(None, 500)), "the peer is told");
    assert!(limit.learn(statement(Some(1.0), 700), ms(800)));
    assert_eq!(limit.in_force(ms(800)), Some(1.0));
}

/// A limit that only peers know of ends when they fall silent; it is not reported further, so that
/// nodes do not keep each other's reports alive.
#[test]
fn reported_limit_needs_renewal() {
    let mut limit = NamedLimit::default();
    limit.learn(statement(Some(1.0), 0), ms(10));
    assert_eq!(limit.report(ms(20)), None);
    limit.learn(statement(Some(1.0), 0), ms(8_000));
    assert_eq!(limit.in_force(ms(15_000)), Some(1.0));
    assert_eq!(limit.in_force(ms(18_000)), None);
}
