//! The streams of the stand-in engine, whole, resumed, cancelled and under faults.

#![allow(clippy::unwrap_used, reason = "a step that fails shall fail the test")]

#[path = "support/client.rs"]
#[allow(dead_code, reason = "each test file uses its part of the client")]
mod client;

use client::*;
use fl_protocol::Priority;
use fl_protocol::engine::{StreamRequest, stand_in_token};
use fl_standins::{Engine, EngineFaults, EngineHandle, EngineOptions};
use http::StatusCode;
use http_body_util::BodyExt as _;
use rstest::rstest;

const PROMPT: &str = "which boots fit this guest";

fn order(prompt: &str, max_tokens: u64, priority: Priority) -> StreamRequest {
    StreamRequest {
        model: "fitting".to_string(),
        prompt: prompt.to_string(),
        continue_text: String::new(),
        continue_tokens: 0,
        max_tokens,
        priority,
    }
}

fn fast() -> EngineOptions {
    EngineOptions { prefill_tokens_per_s: 0, between_tokens_ms: 0, ..EngineOptions::default() }
}

fn slow() -> EngineOptions {
    EngineOptions { prefill_tokens_per_s: 0, between_tokens_ms: 5, ..EngineOptions::default() }
}

async fn engine(options: EngineOptions) -> EngineHandle {
    Engine::start(fresh_address(), options).await.unwrap()
}

async fn start(
    engine: &EngineHandle,
    id: &str,
    order: &StreamRequest,
) -> Result<(StatusCode, String), String> {
    let path = format!("/v1/streams/{id}");
    let body = serde_json::to_vec(order).unwrap();
    let (status, body) = call(engine.address(), "POST", &path, &[], body).await?;
    Ok((status, String::from_utf8(body.to_vec()).unwrap()))
}

fn answer(prompt: &str, from: u64, end: u64) -> String {
    let events = (from..end).map(|offset| {
        format!("id: {offset}\ndata: {{\"text\":\"{}\"}}\n\n", stand_in_token(prompt, offset))
    });
    events.chain(["data: [DONE]\n\n".to_string()]).collect()
}

#[rstest]
#[case::at_once(fast(), 0, 3_000)]
#[case::in_steps(slow(), 0, 20)]
#[case::continued(fast(), 7, 20)]
#[case::nothing_left(fast(), 20, 20)]
#[tokio::test]
async fn whole_answer(#[case] options: EngineOptions, #[case] from: u64, #[case] end: u64) {
    let engine = engine(options).await;
    let mut order = order(PROMPT, end, Priority::Counter);
    order.continue_tokens = from;
    order.continue_text = (0..from).map(|offset| stand_in_token(PROMPT, offset)).collect();
    let (status, text) = start(&engine, "a", &order).await.unwrap();
    assert_eq!(status, StatusCode::OK);

    assert_eq!(text, answer(PROMPT, from, end));
    assert_eq!(engine.counters().generated_tokens, end - from);
}

#[tokio::test]
async fn resume_after_cut() {
    let engine = engine(slow()).await;
    let body = serde_json::to_vec(&order(PROMPT, 30, Priority::Counter)).unwrap();
    let response = open(engine.address(), "POST", "/v1/streams/a", &[], body).await.unwrap();
    let mut body = response.into_body();
    body.frame().await.unwrap().unwrap();
    drop(body);
    let resumed = call(engine.address(), "GET", "/v1/streams/a?from=3", &[], Vec::new());
    let again = call(engine.address(), "GET", "/v1/streams/a?from=0", &[], Vec::new());
    let (resumed, again) = tokio::join!(resumed, again);
    assert_eq!(resumed.unwrap().1, answer(PROMPT, 3, 30));
    assert_eq!(again.unwrap().1, answer(PROMPT, 0, 30));
    assert_eq!(engine.counters().generated_tokens, 30);
}

#[rstest]
#[case::unknown("b?from=0", StatusCode::NOT_FOUND)]
#[case::before_first("a?from=2", StatusCode::RANGE_NOT_SATISFIABLE)]
#[case::no_number("a?from=x", StatusCode::BAD_REQUEST)]
#[tokio::test]
async fn refused_resume(#[case] place: &str, #[case] expected: StatusCode) {
    let engine = engine(fast()).await;
    let mut continued = order(PROMPT, 9, Priority::Counter);
    continued.continue_tokens = 5;
    start(&engine, "a", &continued).await.unwrap();
    let path = format!("/v1/streams/{place}");
    let (status, _) = call(engine.address(), "GET", &path, &[], Vec::new()).await.unwrap();
    assert_eq!(status, expected);
}

#[tokio::test]
async fn second_start() {
    let engine = engine(fast()).await;
    let order = order(PROMPT, 2, Priority::Counter);
    assert_eq!(start(&engine, "a", &order).await.unwrap().0, StatusCode::OK);
    assert_eq!(start(&engine, "a", &order).await.unwrap().0, StatusCode::CONFLICT);
}

#[tokio::test]
async fn cancel_frees_slot() {
    let engine = engine(EngineOptions { slots: 1, ..slow() }).await;
    let endless = order(PROMPT, u64::MAX, Priority::Counter);
    let body = serde_json::to_vec(&endless).unwrap();
    let first = open(engine.address(), "POST", "/v1/streams/a", &[], body).await.unwrap();
    let short = order("another", 2, Priority::Counter);
    let waiting = start(&engine, "b", &short);
    let cancel = async {
        eventually(|| async { engine.current_load().waiting == 1 }).await;
        call(engine.address(), "DELETE", "/v1/streams/a", &[], Vec::new()).await.unwrap()
    };
    let (waited, cancelled) = tokio::join!(waiting, cancel);
    assert_eq!(cancelled.0, StatusCode::OK);
    assert_eq!(waited.unwrap().1, answer("another", 0, 2));
    let cut = first.into_body().collect().await.unwrap().to_bytes();
    assert!(!String::from_utf8_lossy(&cut).contains("[DONE]"));
}

#[tokio::test]
async fn counter_first() {
    let engine = engine(EngineOptions { slots: 1, ..slow() }).await;
    let running = order(PROMPT, 40, Priority::Deferrable);
    let deferrable = order("deferrable", 1_000, Priority::Deferrable);
    let counter = order("counter", 1, Priority::Counter);
    let address = engine.address();
    let body = |order: &StreamRequest| serde_json::to_vec(order).unwrap();
    let _running = open(address, "POST", "/v1/streams/a", &[], body(&running)).await.unwrap();
    let _waits = open(address, "POST", "/v1/streams/b", &[], body(&deferrable)).await.unwrap();
    let (_, text) = start(&engine, "c", &counter).await.unwrap();
    assert_eq!(text, answer("counter", 0, 1));
    assert!(engine.counters().generated_tokens < 1_000);
}

#[tokio::test]
async fn prefix_cached() {
    let engine = engine(fast()).await;
    let shared = "history ".repeat(64);
    for (id, tail) in [("a", "one"), ("b", "two")] {
        let prompt = format!("{shared}{tail}");
        start(&engine, id, &order(&prompt, 1, Priority::Counter)).await.unwrap();
    }
    let counters = engine.counters();
    assert_eq!((counters.prefilled_tokens, counters.cached_tokens), (65 + 1, 64));
}

#[tokio::test]
async fn least_used_evicted() {
    let engine = engine(EngineOptions { cache_blocks: 4, ..fast() }).await;
    for (number, word) in ["x ", "y ", "x ", "z ", "x "].iter().enumerate() {
        let prompt = word.repeat(32);
        let order = order(&prompt, 1, Priority::Counter);
        start(&engine, &number.to_string(), &order).await.unwrap();
    }
    // Of 5 prompts of 32 tokens the third and the last find 31 tokens, all but the last one.
    assert_eq!(engine.counters().cached_tokens, 62);
}

#[tokio::test]
async fn frozen_then_thawed() {
    let engine = engine(fast()).await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let order = order(PROMPT, 1, Priority::Counter);
    let frozen =
        tokio::time::timeout(std::time::Duration::from_millis(100), start(&engine, "a", &order));
    assert!(frozen.await.is_err());
    let thawed = send(engine.address(), "PUT", "/faults", &EngineFaults::default()).await;
    assert_eq!(thawed, 200);
    assert_eq!(start(&engine, "b", &order).await.unwrap().0, StatusCode::OK);
}

#[tokio::test]
async fn open_ones_silent() {
    let engine = engine(slow()).await;
    let body = serde_json::to_vec(&order(PROMPT, 50, Priority::Counter)).unwrap();
    let response = open(engine.address(), "POST", "/v1/streams/a", &[], body).await.unwrap();
    let mut body = response.into_body();
    body.frame().await.unwrap().unwrap();
    engine.silence_open_connections();
    let (_, whole) =
        call(engine.address(), "GET", "/v1/streams/a?from=0", &[], Vec::new()).await.unwrap();
    assert_eq!(whole, answer(PROMPT, 0, 50));
    let rest = tokio::time::timeout(std::time::Duration::from_millis(100), body.collect());
    assert!(rest.await.is_err());
}

#[rstest]
#[case::for_good(None)]
#[case::comes_back(Some(30))]
#[tokio::test]
async fn marked_request_crashes(#[case] restart_after_ms: Option<u64>) {
    let engine = engine(slow()).await;
    let crash_on_marker = Some("poison".to_string());
    engine.set_faults(EngineFaults {
        crash_on_marker,
        restart_after_ms,
        ..EngineFaults::default()
    });
    let endless = serde_json::to_vec(&order(PROMPT, u64::MAX, Priority::Counter)).unwrap();
    let innocent = open(engine.address(), "POST", "/v1/streams/a", &[], endless).await.unwrap();
    let marked = order("a poison b", 5, Priority::Counter);
    assert!(start(&engine, "b", &marked).await.is_err());
    assert!(innocent.into_body().collect().await.is_err());
    let harmless = order(PROMPT, 1, Priority::Counter);
    match restart_after_ms {
        None => {
            engine.wait_stopped().await;
            eventually(|| async { start(&engine, "c", &harmless).await.is_err() }).await;
        }
        Some(_) => eventually(|| async { start(&engine, "c", &harmless).await.is_ok() }).await,
    }
}
