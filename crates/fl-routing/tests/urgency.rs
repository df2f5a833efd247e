//! Tests the order of urgency of model calls, for various targets of a deployment.

use fl_protocol::forward::{CallKind, Route, RouteTable};
use fl_routing::urgency::{LEAST_URGENT, UrgencyRanks};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route(kind: CallKind, priority: u8, target_ms: u64) -> Arc<Route> {
    Arc::new(Route {
        name: format!("{priority}-{target_ms}"),
        host: "desk.example".to_string(),
        prefix: "/".to_string(),
        kind,
        timeout: ms(10_000),
        latency_target: ms(target_ms),
        priority,
        services: vec![("model".to_string(), 1)],
        servers_max: 1,
        anonymous: false,
        resumable: false,
        event_gap_target: None,
    })
}

fn urgencies(streams: &[(u8, u64)]) -> UrgencyRanks {
    let mut routes: Vec<_> =
        streams.iter().map(|(rank, target)| route(CallKind::Stream, *rank, *target)).collect();
    routes.push(route(CallKind::Idempotent, 0, 1));
    UrgencyRanks::from_table(&RouteTable { routes, ..RouteTable::default() })
}

/// Short questions must precede long drafts, whatever the absolute targets of the deployment are.
#[rstest]
#[case::usual(400, 800)]
#[case::halved(200, 400)]
#[case::doubled(800, 1600)]
#[case::slow(3_000, 20_000)]
#[case::close(500, 501)]
fn questions_before_drafts(#[case] question_ms: u64, #[case] draft_ms: u64) {
    let urgencies = urgencies(&[(1, draft_ms), (0, question_ms)]);
    assert!(urgencies.is_most_urgent(0, ms(question_ms)));
    assert!(!urgencies.is_most_urgent(1, ms(draft_ms)));
    assert!(urgencies.rank(0, ms(question_ms)) < urgencies.rank(1, ms(draft_ms)));
}

#[test]
fn priority_precedes_target() {
    let urgencies = urgencies(&[(0, 5_000), (1, 100)]);
    assert!(urgencies.is_most_urgent(0, ms(5_000)));
    assert_eq!(urgencies.rank(1, ms(100)), 1);
}

#[test]
fn target_orders_equal_priorities() {
    let urgencies = urgencies(&[(1, 400), (1, 800), (1, 1_600)]);
    assert_eq!([400, 800, 1_600].map(|target| urgencies.rank(1, ms(target))), [0, 1, 2]);
}

#[test]
fn single_route_not_most_urgent() {
    assert!(!urgencies(&[(0, 400)]).is_most_urgent(0, ms(400)), "no other route is less urgent");
}

/// The priority of a workspace need not be that of any declared route.
#[test]
fn undeclared_workspace_priority() {
    let urgencies = urgencies(&[(1, 400), (2, 800)]);
    assert!(urgencies.is_most_urgent(0, ms(800)));
    assert_eq!(urgencies.rank(7, ms(400)), 2);
}

#[test]
fn ranks_bounded() {
    let many: Vec<(u8, u64)> = (0..40).map(|rank| (rank, 100)).collect();
    assert_eq!(urgencies(&many).rank(39, ms(100)), LEAST_URGENT);
}
