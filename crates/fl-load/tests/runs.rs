//! Runs against fake nodes: every outcome of a call is counted under the right heading.

#![allow(clippy::unwrap_used, reason = "a step that fails shall fail the test")]

#[path = "support/fake_node.rs"]
mod fake_node;

use fake_node::Behavior;
use fl_load::{GroupResult, LoadPlan, LoadResult, User, run_load};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

fn load_plan(nodes: Vec<SocketAddr>) -> LoadPlan {
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
#[case::complete(Behavior::Complete, [1, 0, 0, 0], true)]
#[case::disconnect(Behavior::Disconnect, [1, 0, 0, 0], true)]
#[case::moved(Behavior::Move, [1, 0, 0, 0], true)]
#[case::restart(Behavior::Restart, [1, 0, 0, 0], true)]
#[case::foreign(Behavior::ForeignToken, [0, 0, 0, 1], false)]
#[case::refused(Behavior::Refuse, [0, 1, 0, 0], true)]
#[case::given_up(Behavior::GiveUp, [0, 0, 1, 0], false)]
#[case::forgotten(Behavior::Forget, [0, 0, 1, 0], false)]
#[tokio::test]
async fn outcomes_counted(
    #[case] behavior: Behavior,
    #[case] expected: [u64; 4],
    #[case] guarantees_held: bool,
) {
    let node = fake_node::start(behavior).await;
    let result = run_load(load_plan(vec![node]), &CancellationToken::new()).await.unwrap();
    let sent = sum(&result, |group| group.sent);
    assert!(sent > 10);
    let counts = [
        sum(&result, |group| group.whole),
        sum(&result, |group| group.refused),
        sum(&result, |group| group.failed),
        sum(&result, |group| group.wrong),
    ];
    assert_eq!(counts, expected.map(|share| share * sent), "{:?}", result.reasons);
    assert_eq!(result.guarantees_held(), guarantees_held);
    let reconnected = matches!(behavior, Behavior::Disconnect | Behavior::Move | Behavior::Forget);
    assert_eq!(sum(&result, |group| group.reconnects) >= sent, reconnected);
    assert_eq!(sum(&result, |group| group.restarts) > 0, behavior == Behavior::Restart);
    assert_eq!((result.calls.wrong, result.calls.answered), (0, result.calls.sent));
}

#[tokio::test]
async fn first_token_latency() {
    let node = fake_node::start(Behavior::Late).await;
    let result = run_load(load_plan(vec![node]), &CancellationToken::new()).await.unwrap();
    let counter = result.class_total("counter").unwrap();
    // The histograms round to within 1%.
    assert!(counter.first_token.p50_ms >= fake_node::FIRST_TOKEN_DELAY.as_secs_f64() * 990.0);
    assert!(counter.first_token.p50_ms <= counter.first_token.p99_ms);
}

/// An answered call without a counted run is an error only if every service could be read. The fake
/// node counts no runs.
#[rstest]
#[case::all_read(false)]
#[case::one_unreachable(true)]
#[tokio::test]
async fn uncounted_calls(#[case] unreachable: bool) {
    let node = fake_node::start(Behavior::Complete).await;
    let mut plan = load_plan(vec![node]);
    plan.rate_per_s = 200.0;
    plan.services = vec![node];
    if unreachable {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        plan.services.push(listener.local_addr().unwrap());
    }
    let calls = run_load(plan, &CancellationToken::new()).await.unwrap().calls;
    assert!(calls.answered > 0);
    assert_eq!(calls.not_counted, if unreachable { 0 } else { calls.answered });
}

#[tokio::test]
async fn unreachable_node_skipped() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let node = fake_node::start(Behavior::Complete).await;
    let result = run_load(load_plan(vec![dead, node]), &CancellationToken::new()).await.unwrap();
    assert_eq!(sum(&result, |group| group.whole), sum(&result, |group| group.sent));
}
