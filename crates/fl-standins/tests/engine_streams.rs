//! The streams of the stand-in engine: completed, resumed, cancelled and under faults.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/client.rs"]
#[allow(dead_code, reason = "each test file uses a part of the client")]
mod client;

use client::*;
use fl_protocol::Priority;
use fl_protocol::engine::{StreamRequest, stand_in_token};
use fl_standins::{Engine, EngineFaults, EngineHandle, EngineOptions};
use http::StatusCode;
use http_body_util::BodyExt as _;
use rstest::rstest;

const PROMPT: &str = "which boots fit this guest";

fn stream_request(prompt: &str, max_tokens: u64, priority: Priority) -> StreamRequest {
    StreamRequest {
        model: "fitting".to_string(),
        prompt: prompt.to_string(),
        continue_text: String::new(),
        continue_tokens: 0,
        max_tokens,
        priority,
    }
}

fn without_step_time() -> EngineOptions {
    EngineOptions { prefill_tokens_per_s: 0, between_tokens_ms: 0, ..EngineOptions::default() }
}

fn with_step_time() -> EngineOptions {
    EngineOptions { prefill_tokens_per_s: 0, between_tokens_ms: 5, ..EngineOptions::default() }
}

async fn start_engine(options: EngineOptions) -> EngineHandle {
    Engine::start(fresh_address(), options).await.unwrap()
}

async fn start_stream(
    engine: &EngineHandle,
    id: &str,
    request: &StreamRequest,
) -> Result<(StatusCode, String), String> {
    let path = format!("/v1/streams/{id}");
    let body = serde_json::to_vec(request).unwrap();
    let (status, body) = call(engine.address(), "POST", &path, &[], body).await?;
    Ok((status, String::from_utf8(body.to_vec()).unwrap()))
}

fn expected_body(prompt: &str, from: u64, end: u64) -> String {
    let events = (from..end).map(|offset| {
        format!("id: {offset}\ndata: {{\"text\":\"{}\"}}\n\n", stand_in_token(prompt, offset))
    });
    events.chain(["data: [DONE]\n\n".to_string()]).collect()
}

#[rstest]
#[case::without_step_time(without_step_time(), 0, 3_000)]
#[case::with_step_time(with_step_time(), 0, 20)]
#[case::continued(without_step_time(), 7, 20)]
#[case::nothing_left(without_step_time(), 20, 20)]
#[tokio::test]
async fn complete_response(#[case] options: EngineOptions, #[case] from: u64, #[case] end: u64) {
    let engine = start_engine(options).await;
    let mut request = stream_request(PROMPT, end, Priority::Counter);
    request.continue_tokens = from;
    request.continue_text = (0..from).map(|offset| stand_in_token(PROMPT, offset)).collect();
    let (status, text) = start_stream(&engine, "a", &request).await.unwrap();
    assert_eq!(status, StatusCode::OK);

    assert_eq!(text, expected_body(PROMPT, from, end));
    assert_eq!(engine.counters().generated_tokens, end - from);
}

/// Guards against a stream that stops or generates tokens twice when its reader disconnects.
#[tokio::test]
async fn resume_after_disconnect() {
    let engine = start_engine(with_step_time()).await;
    let body = serde_json::to_vec(&stream_request(PROMPT, 30, Priority::Counter)).unwrap();
    let response = open(engine.address(), "POST", "/v1/streams/a", &[], body).await.unwrap();
    let mut body = response.into_body();
    body.frame().await.unwrap().unwrap();
    drop(body);
    let resumed = call(engine.address(), "GET", "/v1/streams/a?from=3", &[], Vec::new());
    let resumed_from_start = call(engine.address(), "GET", "/v1/streams/a?from=0", &[], Vec::new());
    let (resumed, resumed_from_start) = tokio::join!(resumed, resumed_from_start);
    assert_eq!(resumed.unwrap().1, expected_body(PROMPT, 3, 30));
    assert_eq!(resumed_from_start.unwrap().1, expected_body(PROMPT, 0, 30));
    assert_eq!(engine.counters().generated_tokens, 30);
}

#[rstest]
#[case::unknown("b?from=0", StatusCode::NOT_FOUND)]
#[case::before_first("a?from=2", StatusCode::RANGE_NOT_SATISFIABLE)]
#[case::not_a_number("a?from=x", StatusCode::BAD_REQUEST)]
#[tokio::test]
async fn refused_resume(#[case] location: &str, #[case] expected: StatusCode) {
    let engine = start_engine(without_step_time()).await;
    let mut continued = stream_request(PROMPT, 9, Priority::Counter);
    continued.continue_tokens = 5;
    start_stream(&engine, "a", &continued).await.unwrap();
    let path = format!("/v1/streams/{location}");
    let (status, _) = call(engine.address(), "GET", &path, &[], Vec::new()).await.unwrap();
    assert_eq!(status, expected);
}

#[tokio::test]
async fn duplicate_stream_id() {
    let engine = start_engine(without_step_time()).await;
    let request = stream_request(PROMPT, 2, Priority::Counter);
    assert_eq!(start_stream(&engine, "a", &request).await.unwrap().0, StatusCode::OK);
    assert_eq!(start_stream(&engine, "a", &request).await.unwrap().0, StatusCode::CONFLICT);
}

#[tokio::test]
async fn cancel_frees_slot() {
    let engine = start_engine(EngineOptions { slots: 1, ..with_step_time() }).await;
    let endless = stream_request(PROMPT, u64::MAX, Priority::Counter);
    let body = serde_json::to_vec(&endless).unwrap();
    let first = open(engine.address(), "POST", "/v1/streams/a", &[], body).await.unwrap();
    let short = stream_request("another", 2, Priority::Counter);
    let waiting = start_stream(&engine, "b", &short);
    let cancel = async {
        wait_until(|| async { engine.current_load().waiting == 1 }).await;
        call(engine.address(), "DELETE", "/v1/streams/a", &[], Vec::new()).await.unwrap()
    };
    let (waited, cancelled) = tokio::join!(waiting, cancel);
    assert_eq!(cancelled.0, StatusCode::OK);
    assert_eq!(waited.unwrap().1, expected_body("another", 0, 2));
    let received = first.into_body().collect().await.unwrap().to_bytes();
    assert!(!String::from_utf8_lossy(&received).contains("[DONE]"));
}

/// Guards against a prompt of priority `counter` that waits behind deferrable ones queued earlier.
#[tokio::test]
async fn counter_priority_first() {
    let engine = start_engine(EngineOptions { slots: 1, ..with_step_time() }).await;
    let running = stream_request(PROMPT, 40, Priority::Deferrable);
    let deferrable = stream_request("deferrable", 1_000, Priority::Deferrable);
    let counter = stream_request("counter", 1, Priority::Counter);
    let address = engine.address();
    let body = |request: &StreamRequest| serde_json::to_vec(request).unwrap();
    let _running = open(address, "POST", "/v1/streams/a", &[], body(&running)).await.unwrap();
    let _waits = open(address, "POST", "/v1/streams/b", &[], body(&deferrable)).await.unwrap();
    let (_, text) = start_stream(&engine, "c", &counter).await.unwrap();
    assert_eq!(text, expected_body("counter", 0, 1));
    assert!(engine.counters().generated_tokens < 1_000);
}

#[tokio::test]
async fn cached_prefix_reused() {
    let engine = start_engine(without_step_time()).await;
    let shared = "history ".repeat(64);
    for (id, tail) in [("a", "one"), ("b", "two")] {
        let prompt = format!("{shared}{tail}");
        start_stream(&engine, id, &stream_request(&prompt, 1, Priority::Counter)).await.unwrap();
    }
    let counters = engine.counters();
    assert_eq!((counters.prefilled_tokens, counters.cached_tokens), (65 + 1, 64));
}

#[tokio::test]
async fn least_recently_used_evicted() {
    let engine = start_engine(EngineOptions { cache_blocks: 4, ..without_step_time() }).await;
    for (number, word) in ["x ", "y ", "x ", "z ", "x "].iter().enumerate() {
        let prompt = word.repeat(32);
        let request = stream_request(&prompt, 1, Priority::Counter);
        start_stream(&engine, &number.to_string(), &request).await.unwrap();
    }
    // The third and the fifth prompt of 32 tokens are cached. Each time the last token is computed
    // again, so that 2 * 31 cached tokens count.
    assert_eq!(engine.counters().cached_tokens, 62);
}

#[tokio::test]
async fn freeze_and_unfreeze() {
    let engine = start_engine(without_step_time()).await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let request = stream_request(PROMPT, 1, Priority::Counter);
    let frozen = tokio::time::timeout(
        std::time::Duration::from_millis(100),
        start_stream(&engine, "a", &request),
    );
    assert!(frozen.await.is_err());
    let unfrozen = send(engine.address(), "PUT", "/faults", &EngineFaults::default()).await;
    assert_eq!(unfrozen, 200);
    assert_eq!(start_stream(&engine, "b", &request).await.unwrap().0, StatusCode::OK);
}

/// Guards against a silenced connection that still delivers data or its end.
#[tokio::test]
async fn open_connections_silenced() {
    let engine = start_engine(with_step_time()).await;
    let body = serde_json::to_vec(&stream_request(PROMPT, 50, Priority::Counter)).unwrap();
    let response = open(engine.address(), "POST", "/v1/streams/a", &[], body).await.unwrap();
    let mut body = response.into_body();
    body.frame().await.unwrap().unwrap();
    engine.silence_open_connections();
    let (_, resumed) =
        call(engine.address(), "GET", "/v1/streams/a?from=0", &[], Vec::new()).await.unwrap();
    assert_eq!(resumed, expected_body(PROMPT, 0, 50));
    let rest = tokio::time::timeout(std::time::Duration::from_millis(100), body.collect());
    assert!(rest.await.is_err());
}

/// Guards against a crash that spares the other streams or does not follow the restart fault.
#[rstest]
#[case::without_restart(None)]
#[case::with_restart(Some(30))]
#[tokio::test]
async fn crash_on_marked_prompt(#[case] restart_after_ms: Option<u64>) {
    let engine = start_engine(with_step_time()).await;
    let crash_on_marker = Some("poison".to_string());
    engine.set_faults(EngineFaults {
        crash_on_marker,
        restart_after_ms,
        ..EngineFaults::default()
    });
    let endless = serde_json::to_vec(&stream_request(PROMPT, u64::MAX, Priority::Counter)).unwrap();
    let other = open(engine.address(), "POST", "/v1/streams/a", &[], endless).await.unwrap();
    let marked = stream_request("a poison b", 5, Priority::Counter);
    assert!(start_stream(&engine, "b", &marked).await.is_err());
    assert!(other.into_body().collect().await.is_err());
    let plain = stream_request(PROMPT, 1, Priority::Counter);
    match restart_after_ms {
        None => {
            engine.wait_stopped().await;
            wait_until(|| async { start_stream(&engine, "c", &plain).await.is_err() }).await;
        }
        Some(_) => wait_until(|| async { start_stream(&engine, "c", &plain).await.is_ok() }).await,
    }
}
