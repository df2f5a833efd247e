//! Measures what a request costs its owner (the node that carries it) and its guardian (the node
//! that holds its replica): processor time, and memory while the request is kept.
//!
//! `cargo build --release --bin filbertlead`, then
//! `cargo run --release -p fl-testbed --example request_cost -- target/release/filbertlead`.
//! Runs two nodes in two data centres: the first owns every request, the second is its guardian.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use fl_standins::EngineOptions;
use fl_testbed::caller::chat_request;
use fl_testbed::{Testbed, TestbedOptions};
use std::time::Instant;

const ROUNDS: usize = 3;
const CALLS: usize = 1_000;
const CONCURRENT_CALLS: usize = 8;
const PROMPT_WORDS: usize = 512;
const ANSWER_TOKENS: u64 = 64;

#[tokio::main]
async fn main() {
    let binary = std::env::args().nth(1).expect("pass the path of the node's binary");
    let mut options = TestbedOptions::new(&binary);
    options.data_centers = 2;
    options.nodes = 2;
    options.runners = 1;
    options.engine = EngineOptions {
        models: vec!["fit".to_string()],
        slots: 256,
        prefill_tokens_per_s: 0,
        between_tokens_ms: 0,
        ..options.engine
    };
    let testbed = std::sync::Arc::new(Testbed::start(options).await);
    println!("prompts of {PROMPT_WORDS} tokens, answers of {ANSWER_TOKENS} tokens, kept for 30 s");
    println!("calls  owner ms a call  guardian ms a call  owner MB  guardian MB  calls/s");
    for round in 0..ROUNDS {
        let before = [testbed.nodes[0].cpu_seconds(), testbed.nodes[1].cpu_seconds()];
        let started_at = Instant::now();
        send_calls(&testbed, round).await;
        let elapsed_s = started_at.elapsed().as_secs_f64();
        let cpu_ms =
            |node: usize| (testbed.nodes[node].cpu_seconds() - before[node]) * 1e3 / CALLS as f64;
        let memory_mb = |node: usize| testbed.nodes[node].memory_bytes() as f64 / 1e6;
        println!(
            "{:5}  {:15.3}  {:18.3}  {:8.1}  {:11.1}  {:7.0}",
            (round + 1) * CALLS,
            cpu_ms(0),
            cpu_ms(1),
            memory_mb(0),
            memory_mb(1),
            CALLS as f64 / elapsed_s
        );
    }
}

async fn send_calls(testbed: &std::sync::Arc<Testbed>, round: usize) {
    let mut calls = tokio::task::JoinSet::new();
    for worker in 0..CONCURRENT_CALLS {
        let testbed = testbed.clone();
        calls.spawn(async move {
            for index in 0..CALLS / CONCURRENT_CALLS {
                let prompt = prompt(round, worker, index);
                let stream = testbed
                    .open_chat(0, &chat_request(&prompt, ANSWER_TOKENS), "counter", None)
                    .await;
                stream.unwrap().count_bytes().await;
            }
        });
    }
    calls.join_all().await;
}

fn prompt(round: usize, worker: usize, index: usize) -> String {
    let words = (0..PROMPT_WORDS).map(|word| format!("w{round}x{worker}x{index}x{word} "));
    words.collect()
}
