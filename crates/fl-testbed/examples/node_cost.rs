//! What a node costs: the same engine asked directly and through a node, in one run.
//!
//! `cargo build --release --bin filbertlead`, then
//! `cargo run --release -p fl-testbed --example node_cost -- target/release/filbertlead`.
//! Prints the added time to the first token, the added time between tokens, and the tokens that a
//! node passes on for each second of processor time.

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
    let binary = std::env::args().nth(1).expect("name the node's binary");
    let engine = EngineOptions {
        models: vec!["fit".to_string()],
        slots: 256,
        prefill_tokens_per_s: 0,
        between_tokens_ms: 0,
        ..EngineOptions::default()
    };
    first_tokens(&binary, &engine).await;
    gaps(&binary, &EngineOptions { between_tokens_ms: 5, ..engine.clone() }).await;
    throughput(&binary, &engine).await;
}

async fn start(binary: &str, engine: &EngineOptions) -> Testbed {
    let mut options = TestbedOptions::new(binary);
    options.data_centers = 2;
    options.nodes = 2;
    options.runners = 1;
    options.engine = engine.clone();
    Testbed::start(options).await
}

/// Times to the first token, direct and through a node by turns, so that noise meets both.
async fn first_tokens(binary: &str, engine: &EngineOptions) {
    let bed = start(binary, engine).await;
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for index in 0..FIRST_TOKEN_CALLS {
        direct.push(direct_first_token(&bed, index).await);
        through.push(node_first_token(&bed).await);
    }
    println!("time to the first token, {FIRST_TOKEN_CALLS} calls each, copy at a peer included");
    for (name, share) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (direct, through) = (percentile(&mut direct, share), percentile(&mut through, share));
        let added = through.saturating_sub(direct);
        println!("  {name}: direct {direct:?}, through a node {through:?}, added {added:?}");
    }
}

async fn direct_first_token(bed: &Testbed, index: usize) -> Duration {
    let engines = EngineClient::new(HttpClient::new(ConnectionReuse::Never));
    let address = bed.engines[0].address().to_string();
    let begun = Instant::now();
    let stream_id = format!("direct-{index}");
    let mut reader = engines.open(&address, &stream_id, &order(1), TIMEOUT).await.unwrap();
    reader.next(TIMEOUT).await.unwrap();
    begun.elapsed()
}

async fn node_first_token(bed: &Testbed) -> Duration {
    let begun = Instant::now();
    let mut stream = bed.open_chat(0, &chat_request(PROMPT, 1), "counter", None).await.unwrap();
    stream.next().await;
    begun.elapsed()
}

/// Times between tokens of one stream at a time, beside the same stream read directly.
async fn gaps(binary: &str, engine: &EngineOptions) {
    let bed = start(binary, engine).await;
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for index in 0..GAP_CALLS {
        direct.extend(direct_gaps(&bed, index).await);
        through.extend(node_gaps(&bed).await);
    }
    println!("time between tokens, {GAP_CALLS} streams of {GAP_TOKENS} tokens each");
    for (name, share) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (direct, through) = (percentile(&mut direct, share), percentile(&mut through, share));
        println!("  {name}: direct {direct:?}, through a node {through:?}");
    }
}

async fn direct_gaps(bed: &Testbed, index: usize) -> Vec<Duration> {
    let engines = EngineClient::new(HttpClient::new(ConnectionReuse::Never));
    let address = bed.engines[0].address().to_string();
    let stream_id = format!("gaps-{index}");
    let opened = engines.open(&address, &stream_id, &order(GAP_TOKENS), TIMEOUT).await;
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

async fn node_gaps(bed: &Testbed) -> Vec<Duration> {
    let mut stream =
        bed.open_chat(0, &chat_request(PROMPT, GAP_TOKENS), "counter", None).await.unwrap();
    let mut gaps = Vec::new();
    let mut last = None;
    while let CallerEvent::Token { .. } = stream.next().await {
        let now = Instant::now();
        gaps.extend(last.replace(now).map(|last| now - last));
    }
    gaps
}

/// Tokens a node passes on for each second of its processor time, with many streams at once.
async fn throughput(binary: &str, engine: &EngineOptions) {
    let bed = std::sync::Arc::new(start(binary, engine).await);
    let before = bed.nodes[0].cpu_seconds();
    let begun = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..THROUGHPUT_CALLS {
        let bed = bed.clone();
        calls.spawn(async move {
            let prompt = format!("{PROMPT} {index}");
            let stream =
                bed.open_chat(0, &chat_request(&prompt, THROUGHPUT_TOKENS), "counter", None).await;
            stream.unwrap().count_bytes().await
        });
    }
    let sizes = calls.join_all().await;
    let elapsed = begun.elapsed();
    let spent = bed.nodes[0].cpu_seconds() - before;
    let tokens = THROUGHPUT_CALLS as f64 * THROUGHPUT_TOKENS as f64;
    println!("{THROUGHPUT_CALLS} streams of {THROUGHPUT_TOKENS} tokens at once");
    println!("  {:.0} bytes in {elapsed:?}", sizes.iter().sum::<usize>() as f64);
    println!("  {:.0} tokens a second", tokens / elapsed.as_secs_f64());
    println!("  {:.0} tokens a second and core of the node", tokens / spent);
}

fn order(max_tokens: u64) -> StreamRequest {
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
