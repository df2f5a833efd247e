//! The reports of the stand-in engine, its orders and the transfer of cached blocks.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "support/client.rs"]
#[allow(dead_code, reason = "each test file uses a part of the client")]
mod client;

use client::*;
use fl_protocol::Priority;
use fl_protocol::engine::*;
use fl_standins::{Engine, EngineHandle, EngineOptions, FencingMode};
use rstest::rstest;
use std::time::Duration;

async fn start_engine(options: EngineOptions) -> EngineHandle {
    Engine::start(fresh_address(), options).await.unwrap()
}

fn without_delays() -> EngineOptions {
    EngineOptions {
        prefill_tokens_per_s: 0,
        between_tokens_ms: 0,
        cache_event_lag_ms: 0,
        load_lag_ms: 0,
        ..EngineOptions::default()
    }
}

async fn run_prompt(engine: &EngineHandle, words: usize) {
    let request = StreamRequest {
        model: "fitting".to_string(),
        prompt: "word ".repeat(words),
        continue_text: String::new(),
        continue_tokens: 0,
        max_tokens: 1,
        priority: Priority::Counter,
    };
    assert_eq!(send(engine.address(), "POST", "/v1/streams/a", &request).await, 200);
}

#[rstest]
#[case::fresh(0, 1)]
#[case::delayed(3_600_000, 0)]
#[tokio::test]
async fn delayed_load_report(#[case] load_lag_ms: u64, #[case] expected: u64) {
    let engine = start_engine(EngineOptions { load_lag_ms, ..without_delays() }).await;
    run_prompt(&engine, 8).await;
    let report: LoadReport = get(engine.address(), "/v1/load").await;
    assert_eq!(report.generated_tokens_total, expected);
    assert_eq!(engine.current_load().generated_tokens_total, 1);
}

/// Guards against a reclaim notice that is delayed together with the rest of the load report.
#[tokio::test]
async fn undelayed_reclaim_notice() {
    let engine = start_engine(EngineOptions { load_lag_ms: 3_600_000, ..without_delays() }).await;
    engine.reclaim(Duration::from_millis(300));
    let report: LoadReport = get(engine.address(), "/v1/load").await;
    assert!(report.leaving_at_ms.is_some());
    run_prompt(&engine, 8).await;
    assert_eq!(engine.counters().started_while_leaving, 1);
    tokio::time::timeout(DEADLINE, engine.wait_stopped()).await.unwrap();
}

#[rstest]
#[case::all_published(0, 0, 8)]
#[case::delayed(3_600_000, 0, 0)]
#[case::all_lost(0, 100, 0)]
#[tokio::test]
async fn delayed_and_lost_events(
    #[case] lag_ms: u64,
    #[case] loss_percent: u32,
    #[case] expected: usize,
) {
    let options = EngineOptions {
        cache_event_lag_ms: lag_ms,
        cache_event_loss_percent: loss_percent,
        ..without_delays()
    };
    let engine = start_engine(options).await;
    run_prompt(&engine, 8 * BLOCK_TOKENS).await;
    let published: CacheEvents = get(engine.address(), "/v1/cache-events?after=0").await;
    assert_eq!(published.events.len(), expected);
    let rest: CacheEvents = get(engine.address(), "/v1/cache-events?after=6").await;
    assert_eq!(rest.events.len(), expected.saturating_sub(6));
}

#[tokio::test]
async fn partly_lost_events() {
    let options = EngineOptions { cache_event_loss_percent: 30, ..without_delays() };
    let engine = start_engine(options).await;
    run_prompt(&engine, 500 * BLOCK_TOKENS).await;
    let published: CacheEvents = get(engine.address(), "/v1/cache-events?after=0").await;
    let sequences: Vec<u64> = published.events.iter().map(|event| event.sequence).collect();
    assert!(sequences.is_sorted());
    assert!((300..400).contains(&sequences.len()), "{} of 500", sequences.len());
}

/// Guards against an engine that applies the order of an earlier lease holder.
#[rstest]
#[case::checked(FencingMode::Check, 409, 7, "standby")]
#[case::ignored(FencingMode::Ignore, 200, 0, "serve")]
#[tokio::test]
async fn stale_order(
    #[case] fencing: FencingMode,
    #[case] status: u16,
    #[case] token: u64,
    #[case] role: &str,
) {
    let engine = start_engine(EngineOptions { fencing, ..without_delays() }).await;
    let order = |fencing, role: &str| EngineOrder {
        fencing,
        models: vec!["fitting".to_string()],
        role: role.to_string(),
    };
    assert_eq!(send(engine.address(), "POST", "/v1/orders", &order(7, "standby")).await, 200);
    assert_eq!(send(engine.address(), "POST", "/v1/orders", &order(6, "serve")).await, status);
    let state: EngineState = get(engine.address(), "/v1/state").await;
    assert_eq!((state.fencing, state.role.as_str()), (token, role));
}

#[tokio::test]
async fn block_transfer() {
    let (from, to) = (start_engine(without_delays()).await, start_engine(without_delays()).await);
    run_prompt(&from, 4 * BLOCK_TOKENS).await;
    let prompt = "word ".repeat(6 * BLOCK_TOKENS);
    let requested = KvBlocks { blocks: hash_prompt_blocks("fitting", &prompt) };
    let body = serde_json::to_vec(&requested).unwrap();
    let (_, body) = call(from.address(), "POST", "/v1/kv/export", &[], body).await.unwrap();
    let exported: KvBlocks = serde_json::from_slice(&body).unwrap();
    assert_eq!(exported.blocks, requested.blocks[..4]);
    assert_eq!(send(to.address(), "POST", "/v1/kv/import", &exported).await, 200);
    run_prompt(&to, 4 * BLOCK_TOKENS).await;
    assert_eq!(to.counters().prefilled_tokens, 1);
}
