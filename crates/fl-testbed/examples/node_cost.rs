//! Measures the overhead of a node: the same engine is called directly and through a node in one
//! run.
//!
//! `cargo build --release --bin filbertlead`, then
//! `cargo run --release -p fl-testbed --example node_cost -- target/release/filbertlead`.
//! Prints the times to the first token and between tokens for both, and the tokens that a node
//! forwards per second of processor time.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use fl_platform::engine::EngineClient;
use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::Priority;
use fl_protocol::engine::StreamRequest;
use fl_standins::EngineOptions;
use fl_testbed::caller::chat_request;
use fl_testbed::{CallerEvent, Testbed, TestbedOptions};
use std::time::{Duration, Instant};

const FIRST_TOKEN_CALLS: usize = 600;
const GAP_CALLS: usize = 20;
const GAP_TOKENS: u64 = 200;
const THROUGHPUT_CALLS: usize = 32;
const THROUGHPUT_TOKENS: u64 = 20_000;
const TIMEOUT: Duration = Duration::from_secs(20);
const PROMPT: &str = "which size of boot fits the guest who rented a forty two last year";

#[tokio::main]
async fn main() {
    let binary = std::env::args().nth(1).expect("pass the path of the node's binary");
    let engine = EngineOptions {
        models: vec!["fit".to_string()],
        slots: 256,
        prefill_tokens_per_s: 0,
        between_tokens_ms: 0,
        ..EngineOptions::default()
    };
    measure_first_token(&binary, &engine).await;
    measure_token_gaps(&binary, &EngineOptions { between_tokens_ms: 5, ..engine.clone() }).await;
    measure_throughput(&binary, &engine).await;
}

async fn start_testbed(binary: &str, engine: &EngineOptions) -> Testbed {
    let mut options = TestbedOptions::new(binary);
    options.data_centers = 2;
    options.nodes = 2;
    options.runners = 1;
    options.engine = engine.clone();
    Testbed::start(options).await
}

/// Measures the time to the first token. Direct calls and calls through a node alternate, so that
/// noise on the machine affects both.
async fn measure_first_token(binary: &str, engine: &EngineOptions) {
    let testbed = start_testbed(binary, engine).await;
    let mut direct = Vec::new();
    let mut through_node = Vec::new();
    for index in 0..FIRST_TOKEN_CALLS {
        direct.push(direct_first_token(&testbed, index).await);
        through_node.push(node_first_token(&testbed).await);
    }
    println!(
        "time to the first token, {FIRST_TOKEN_CALLS} calls each, replica at the guardian included"
    );
    for (name, share) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (direct, through_node) =
            (percentile(&mut direct, share), percentile(&mut through_node, share));
        let added = through_node.saturating_sub(direct);
        println!("  {name}: direct {direct:?}, through a node {through_node:?}, added {added:?}");
    }
}

async fn direct_first_token(testbed: &Testbed, index: usize) -> Duration {
    let engines = EngineClient::new(HttpClient::new(ConnectionReuse::Never));
    let address = testbed.engines[0].address().to_string();
    let started_at = Instant::now();
    let stream_id = format!("direct-{index}");
    let mut reader = engines.open(&address, &stream_id, &stream_request(1), TIMEOUT).await.unwrap();
    reader.next(TIMEOUT).await.unwrap();
    started_at.elapsed()
}

async fn node_first_token(testbed: &Testbed) -> Duration {
    let started_at = Instant::now();
    let mut stream = testbed.open_chat(0, &chat_request(PROMPT, 1), "counter", None).await.unwrap();
    stream.next().await;
    started_at.elapsed()
}

/// Measures the times between tokens, for one stream at a time. Direct streams and streams through
/// a node alternate.
async fn measure_token_gaps(binary: &str, engine: &EngineOptions) {
    let testbed = start_testbed(binary, engine).await;
    let mut direct = Vec::new();
    let mut through_node = Vec::new();
    for index in 0..GAP_CALLS {
        direct.extend(direct_gaps(&testbed, index).await);
        through_node.extend(node_gaps(&testbed).await);
    }
    println!("time between tokens, {GAP_CALLS} streams of {GAP_TOKENS} tokens each");
    for (name, share) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (direct, through_node) =
            (percentile(&mut direct, share), percentile(&mut through_node, share));
        println!("  {name}: direct {direct:?}, through a node {through_node:?}");
    }
}

async fn direct_gaps(testbed: &Testbed, index: usize) -> Vec<Duration> {
    let engines = EngineClient::new(HttpClient::new(ConnectionReuse::Never));
    let address = testbed.engines[0].address().to_string();
    let stream_id = format!("gaps-{index}");
    let opened = engines.open(&address, &stream_id, &stream_request(GAP_TOKENS), TIMEOUT).await;
    let mut reader = opened.unwrap();
    let mut gaps = Vec::new();
    let mut last = None;
    loop {
        let run = reader.next(TIMEOUT).await.unwrap();
        let now = Instant::now();
        gaps.extend(last.replace(now).map(|last| now - last));
        if run.ended {
            return gaps;
        }
    }
}

async fn node_gaps(testbed: &Testbed) -> Vec<Duration> {
    let mut stream =
        testbed.open_chat(0, &chat_request(PROMPT, GAP_TOKENS), "counter", None).await.unwrap();
    let mut gaps = Vec::new();
    let mut last = None;
    while let CallerEvent::Token { .. } = stream.next().await {
        let now = Instant::now();
        gaps.extend(last.replace(now).map(|last| now - last));
    }
    gaps
}

/// Measures the tokens that a node forwards per second of its processor time, with many concurrent
/// streams.
async fn measure_throughput(binary: &str, engine: &EngineOptions) {
    let testbed = std::sync::Arc::new(start_testbed(binary, engine).await);
    let cpu_before = testbed.nodes[0].cpu_seconds();
    let started_at = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..THROUGHPUT_CALLS {
        let testbed = testbed.clone();
        calls.spawn(async move {
            let prompt = format!("{PROMPT} {index}");
            let stream = testbed
                .open_chat(0, &chat_request(&prompt, THROUGHPUT_TOKENS), "counter", None)
                .await;
            stream.unwrap().count_bytes().await
        });
    }
    let sizes = calls.join_all().await;
    let elapsed = started_at.elapsed();
    let cpu_seconds = testbed.nodes[0].cpu_seconds() - cpu_before;
    let tokens = THROUGHPUT_CALLS as f64 * THROUGHPUT_TOKENS as f64;
    println!("{THROUGHPUT_CALLS} streams of {THROUGHPUT_TOKENS} tokens, concurrently");
    println!("  {:.0} bytes in {elapsed:?}", sizes.iter().sum::<usize>() as f64);
    println!("  {:.0} tokens per second", tokens / elapsed.as_secs_f64());
    println!("  {:.0} tokens per second of processor time of the node", tokens / cpu_seconds);
}

fn stream_request(max_tokens: u64) -> StreamRequest {
    StreamRequest {
        model: "fit".to_string(),
        prompt: chat_request(PROMPT, max_tokens).prompt_text(),
        continue_text: String::new(),
        continue_tokens: 0,
        max_tokens,
        priority: Priority::Counter,
    }
}

fn percentile(samples: &mut [Duration], share: f64) -> Duration {
    samples.sort();
    samples[((samples.len() - 1) as f64 * share) as usize]
}
