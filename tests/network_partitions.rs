//! A partitioned data centre keeps serving, and no call has run twice once the partition heals.
//!
//! A partition drops all traffic without an error; see `fl_testbed::network`. Engines cannot tell
//! which node calls them, so partitioning the engines of a data centre makes them unreachable for
//! every node.

#![allow(clippy::expect_used)]

use fl_platform::http::HttpResponse;
use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::chat::FIRST_TRY_HEADER;
use fl_protocol::event::EventKind;
use fl_protocol::{ExecutionState, ProblemBody, derive_request_id, format_request_id};
use fl_standins::{EngineOptions, PlainServiceFaults};
use fl_testbed::caller::{chat_request, expected_answer, request_builder};
use fl_testbed::{CallerEvent, PLATFORM, Testbed, TestbedOptions, wait_until};
use http::Method;
use http_body_util::Full;
use rstest::rstest;
use std::time::Duration;

const KEY: &str = "booking-1";
/// The data centre that is partitioned from the others, from the platform, or from both.
const PARTITIONED: &str = "dc-a";
const OTHER_DATA_CENTERS: [&str; 2] = ["dc-b", "dc-c"];
/// The nodes of the partitioned data centre.
const INSIDE: [usize; 2] = [0, 3];
/// The nodes of the other data centres.
const OUTSIDE: [usize; 4] = [1, 2, 4, 5];
const TOKENS: u64 = 200;
const TOKENS_BEFORE_PARTITION: usize = 20;
const PROMPT: &str = "a long plan for a group of eleven guests with boots of every size";
const TIMEOUT: Duration = Duration::from_secs(30);
/// The place that stands for every caller of an engine.
const ANYWHERE: &str = "";

async fn start_testbed() -> Testbed {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("membership", "heartbeat_ms = 200")
        .with_setting("membership", "suspicion_ms = 600");
    options.relay_backends = true;
    options.engine = EngineOptions { between_tokens_ms: 15, ..options.engine };
    Testbed::start(options).await
}

fn partition_from(bed: &Testbed, from: &[&str]) {
    from.iter().for_each(|place| bed.network.partition(PARTITIONED, place));
}

fn make_engines_unreachable(bed: &Testbed, places: &[&str]) {
    places.iter().for_each(|place| bed.network.partition(ANYWHERE, place));
}

#[rstest]
#[case::others(&["dc-b", "dc-c"], &["dc-b", "dc-c"])]
#[case::platform(&[PLATFORM], &[])]
#[case::all(&["dc-b", "dc-c", PLATFORM], &["dc-b", "dc-c"])]
#[tokio::test]
async fn partitioned_data_center_serves(#[case] from: &[&str], #[case] unreachable: &[&str]) {
    let bed = start_testbed().await;
    partition_from(&bed, from);
    make_engines_unreachable(&bed, unreachable);
    assert_serving(&bed, "before it is noticed").await;
    for node in INSIDE {
        wait_until("the partition is detected", async || has_detected(&bed, node, from).await)
            .await;
    }
    assert_serving(&bed, "after it was noticed").await;
}

async fn assert_serving(bed: &Testbed, round: &str) {
    for node in INSIDE {
        let prompt = format!("which boot fits guest {node} {round}");
        let stream = bed.open_chat(node, &chat_request(&prompt, 20), "counter", None).await;
        let outcome = bed.finish(stream.expect("refused"), &INSIDE).await;
        assert!(outcome.is_complete, "{round}: {outcome:?}");
        assert_eq!(outcome.text, expected_answer(&prompt, 20), "{round}");
    }
}

/// Returns whether a node has detected the partitions, on each of its connections to the platform.
async fn has_detected(bed: &Testbed, node: usize, from: &[&str]) -> bool {
    let events = bed.events(node).await;
    let seen = |kind: EventKind, matches_detail: &dyn Fn(&str) -> bool| {
        events.iter().any(|event| event.kind == kind && matches_detail(&event.detail))
    };
    from.iter().all(|place| match *place {
        PLATFORM => {
            seen(EventKind::PlatformChanged, &|detail| detail.starts_with("VM list out of reach"))
                && seen(EventKind::PlatformChanged, &|detail| !detail.starts_with("VM list"))
        }
        _ => seen(EventKind::MemberChanged, &|detail| detail.ends_with("to CutOff")),
    })
}

#[tokio::test]
async fn booking_refused_while_partitioned() {
    let bed = start_testbed().await;
    partition_from(&bed, &[OTHER_DATA_CENTERS[0], OTHER_DATA_CENTERS[1], PLATFORM]);
    let reply = book(&bed, 0, true).await.expect("a reply");
    let problem: ProblemBody = serde_json::from_slice(&reply.body).expect("a problem");
    assert_eq!((reply.status.as_u16(), problem.what_was_done), (503, ExecutionState::NotRun));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(count_runs(&bed), 0);
    bed.network.heal();
    wait_until("a later attempt runs", async || is_booked(book(&bed, 0, false).await)).await;
    assert_eq!(count_runs(&bed), 1);
}

#[rstest]
#[case::engines_reachable(&[])]
#[case::engines_unreachable(&["dc-a"])]
#[tokio::test]
async fn stream_resumed_elsewhere(#[case] unreachable: &[&str]) {
    let bed = start_testbed().await;
    let opened = bed.open_chat(0, &chat_request(PROMPT, TOKENS), "plan", None).await;
    let mut stream = opened.expect("refused");
    let mut text = String::new();
    for _ in 0..TOKENS_BEFORE_PARTITION {
        if let CallerEvent::Token { text: token, .. } = stream.next().await {
            text.push_str(&token);
        }
    }
    let (id, last) = (stream.request_id.clone(), stream.last_event_id.clone());
    partition_from(&bed, &[OTHER_DATA_CENTERS[0], OTHER_DATA_CENTERS[1], PLATFORM]);
    make_engines_unreachable(&bed, unreachable);
    // The caller loses its node and reconnects through another data centre.
    drop(stream);
    let mut reconnected = None;
    wait_until("the caller has reconnected", async || {
        reconnected = bed.reconnect(1, &id, last.as_deref()).await.ok();
        reconnected.is_some()
    })
    .await;
    let outcome = bed.finish(reconnected.take().expect("a stream"), &OUTSIDE).await;
    let whole = if outcome.restarts == 0 { text + &outcome.text } else { outcome.text.clone() };
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(whole, expected_answer(PROMPT, TOKENS));
    bed.network.heal();
    for node in [0, 1, 2, 3, 4, 5] {
        let again = bed.reconnect(node, &id, None).await.expect("known after healing");
        let again = bed.finish(again, &[node]).await;
        assert!(again.is_complete, "node {node}: {again:?}");
        assert_eq!(again.text, expected_answer(PROMPT, TOKENS), "node {node}");
    }
    wait_until("all engines have stopped generating", async || {
        bed.engines.iter().all(|engine| engine.current_load().running == 0)
    })
    .await;
    let taken = bed.last_event(EventKind::TakenOver, &id).await.expect("a new owner");
    assert!(OUTSIDE.contains(&bed.node_index(&taken.vm)));
}

#[rstest]
#[case::before_run(PlainServiceFaults { delay_before_effect_ms: 700, ..Default::default() })]
#[case::after_run(PlainServiceFaults { delay_after_effect_ms: 700, ..Default::default() })]
#[tokio::test]
async fn booking_runs_at_most_once(
    #[case] slow: PlainServiceFaults,
    #[values(&["platform"], &["dc-b", "dc-c", "platform"])] from: &[&str],
) {
    let bed = start_testbed().await;
    bed.applications.iter().for_each(|server| server.set_faults(slow.clone()));
    let first = tokio::spawn(book(&bed, 0, true));
    wait_until("the claim", async || !bed.table.rows("calls").is_empty()).await;
    partition_from(&bed, from);
    let others =
        tokio::spawn(futures::future::join_all(OUTSIDE.map(|node| book(&bed, node, false))));
    let mut replies = others.await.expect("the task of a later attempt panicked");
    let during = count_runs(&bed);
    assert!(during <= 1, "{replies:?}");
    bed.network.heal();
    replies.push(first.await.expect("the task of the first attempt panicked"));
    let not_run = replies
        .iter()
        .flatten()
        .any(|reply| execution_state(reply) == Some(ExecutionState::NotRun));
    assert!(
        !not_run || count_runs(&bed) == 0,
        "a call that ran was reported as not run: {replies:?}"
    );
    replies.push(book(&bed, 4, false).await);
    let total = count_runs(&bed);
    assert!(total <= 1, "ran {total} times: {replies:?}");
    assert!(!replies.into_iter().any(is_booked) || total == 1, "a success response without a run");
}

fn execution_state(reply: &HttpResponse) -> Option<ExecutionState> {
    let problem: Option<ProblemBody> = serde_json::from_slice(&reply.body).ok();
    problem.map(|problem| problem.what_was_done)
}

fn is_booked(reply: Option<HttpResponse>) -> bool {
    reply.is_some_and(|reply| reply.status == 201)
}

fn count_runs(bed: &Testbed) -> u64 {
    let id = format_request_id(derive_request_id(fl_testbed::WORKSPACE, KEY));
    bed.applications.iter().map(|server| server.run_count(&id)).sum()
}

fn book(
    bed: &Testbed,
    node: usize,
    is_first_attempt: bool,
) -> impl Future<Output = Option<HttpResponse>> + use<> {
    let path = "/v1/services/bookings/bookings";
    let builder = request_builder(Method::POST, bed.nodes[node].caller_address, path)
        .header("idempotency-key", KEY)
        .header(FIRST_TRY_HEADER, is_first_attempt.to_string());
    let built = builder.body(Full::new("{\"room\":\"crypt\"}".into())).expect("a request");
    async move { HttpClient::new(ConnectionReuse::Never).fetch(built, TIMEOUT).await.ok() }
}
