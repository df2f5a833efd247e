//! A response that makes progress may take longer than any timeout of a stalled request.

#![allow(clippy::expect_used)]

use fl_protocol::event::EventKind;
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{Testbed, TestbedOptions};

const TOKENS: u64 = 500;

fn options() -> TestbedOptions {
    TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("limits", "first_token_timeout_ms = 1000")
        .with_setting("limits", "give_up_ms = 2000")
        .with_setting("limits", "resume_window_ms = 1000")
}

#[tokio::test]
async fn long_response_completes() {
    let bed = Testbed::start(options()).await;
    let stream = bed.open_chat(0, &chat_request("a long briefing", TOKENS), "plan", None).await;
    let outcome = bed.finish(stream.expect("the call was refused"), &[1]).await;
    assert!(outcome.is_complete, "{:?}", outcome.problem_json);
    assert_eq!(outcome.text, expected_answer("a long briefing", TOKENS));
}

/// The guardian keeps its replica until the response is complete, and takes over when the owner
/// dies.
#[tokio::test]
async fn replica_kept_during_response() {
    let mut bed = Testbed::start(options()).await;
    let stream = bed.open_chat(0, &chat_request("a longer one", TOKENS), "plan", None).await;
    let mut stream = stream.expect("the call was refused");
    for _ in 0..TOKENS * 3 / 4 {
        stream.next().await;
    }
    bed.nodes[0].kill();
    let id = stream.request_id.clone();
    let outcome = bed.finish(stream, &[1, 2, 3, 4, 5]).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert!(bed.last_event(EventKind::TakenOver, &id).await.is_some());
}
