//! Whole runs against nodes that behave well and badly.

#![allow(clippy::unwrap_used, reason = "a step that fails shall fail the test")]

#[path = "support/fake_node.rs"]
mod fake_node;

use fake_node::Manner;
use fl_load::{GroupResult, LoadPlan, LoadResult, User, run_load};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

fn plan(nodes: Vec<SocketAddr>) -> LoadPlan {
    LoadPlan {
        label: "test".to_string(),
        scenario: "steady".to_string(),
        user: User::PitonFrost,
        seed: 3,
        rate_per_s: 60.0,
        duration: Duration::from_millis(500),
        answer_timeout: Duration::from_secs(20),
        nodes,
        engines: Vec::new(),
        services: Vec::new(),
        engine_price_millicents_per_h: 1,
    }
}

fn sum(result: &LoadResult, count: impl Fn(&GroupResult) -> u64) -> u64 {
    result.groups.iter().filter(|group| group.workspace == "*").map(count).sum()
}

#[rstest]
#[case::whole(Manner::Whole, [1, 0, 0, 0], true)]
#[case::cut(Manner::Cut, [1, 0, 0, 0], true)]
#[case::moved(Manner::Moved, [1, 0, 0, 0], true)]
#[case::restart(Manner::Restart, [1, 0, 0, 0], true)]
#[case::foreign(Manner::Foreign, [0, 0, 0, 1], false)]
#[case::refused(Manner::Refused, [0, 1, 0, 0], true)]
#[case::given_up(Manner::GivenUp, [0, 0, 1, 0], false)]
#[case::forgotten(Manner::Forgotten, [0, 0, 1, 0], false)]
#[tokio::test]
async fn endings(#[case] manner: Manner, #[case] expected: [u64; 4], #[case] kept: bool) {
    let node = fake_node::start(manner).await;
    let result = run_load(plan(vec![node]), &CancellationToken::new()).await.unwrap();
    let sent = sum(&result, |group| group.sent);
    assert!(sent > 10);
    let counts = [
        sum(&result, |group| group.whole),
        sum(&result, |group| group.refused),
        sum(&result, |group| group.failed),
        sum(&result, |group| group.wrong),
    ];
    assert_eq!(counts, expected.map(|share| share * sent), "{:?}", result.reasons);
    assert_eq!(result.guarantees_held(), kept);
    let reconnected = matches!(manner, Manner::Cut | Manner::Moved | Manner::Forgotten);
    assert_eq!(sum(&result, |group| group.reconnects) >= sent, reconnected);
    assert_eq!(sum(&result, |group| group.restarts) > 0, manner == Manner::Restart);
    assert_eq!((result.calls.wrong, result.calls.answered), (0, result.calls.sent));
}

#[tokio::test]
async fn late_first_token() {
    let node = fake_node::start(Manner::Late).await;
    let result = run_load(plan(vec![node]), &CancellationToken::new()).await.unwrap();
    let counter = result.class_total("counter").unwrap();
    // Percentiles are within 1%.
    assert!(counter.first_token.p50_ms >= fake_node::LATE.as_secs_f64() * 990.0);
    assert!(counter.first_token.p50_ms <= counter.first_token.p99_ms);
}

/// The fake node counts no runs, which is a fault only if every service could be read.
#[rstest]
#[case::all_read(false)]
#[case::one_gone(true)]
#[tokio::test]
async fn uncounted_answers(#[case] gone: bool) {
    let node = fake_node::start(Manner::Whole).await;
    let mut plan = plan(vec![node]);
    plan.rate_per_s = 200.0;
    plan.services = vec![node];
    if gone {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        plan.services.push(listener.local_addr().unwrap());
    }
    let calls = run_load(plan, &CancellationToken::new()).await.unwrap().calls;
    assert!(calls.answered > 0);
    assert_eq!(calls.not_counted, if gone { 0 } else { calls.answered });
}

#[tokio::test]
async fn dead_node_passed_over() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let node = fake_node::start(Manner::Whole).await;
    let result = run_load(plan(vec![dead, node]), &CancellationToken::new()).await.unwrap();
    assert_eq!(sum(&result, |group| group.whole), sum(&result, |group| group.sent));
}
