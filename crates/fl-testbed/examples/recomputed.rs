//! How many tokens are computed again when a data centre goes, by what is left of it.
//!
//! `cargo build --release --bin filbertlead`, then
//! `cargo run --release -p fl-testbed --example recomputed -- target/release/filbertlead`.
//! Streams answers through the nodes of one data centre, takes it away in mid-stream, and prints
//! what the engines computed beyond one prompt and one answer a call.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use fl_protocol::chat::count_tokens;
use fl_standins::EngineOptions;
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{CallerEvent, ChatStream, Testbed, TestbedOptions};
use futures::future::join_all;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const CALLS: usize = 12;
const TOKENS: u64 = 500;
/// Tokens that each caller holds before the fault.
const TOKENS_BEFORE: usize = 100;
const PROMPT_WORDS: usize = 300;
const BETWEEN_TOKENS_MS: u64 = 10;
/// Too short for the answers to end where they are.
const NOTICE: Duration = Duration::from_millis(2_000);
const LOST: &str = "dc-a";
/// The nodes of the lost data centre, and those that callers come back to.
const INSIDE: [usize; 2] = [0, 3];
const OUTSIDE: [usize; 4] = [1, 2, 4, 5];

#[derive(Debug, Clone, Copy)]
enum Loss {
    Nothing,
    /// Nodes and engines go after a notice.
    Notice,
    /// Nodes are killed; the engines go on.
    Nodes,
    /// Nodes and engines are killed.
    Both,
}

#[tokio::main]
async fn main() {
    let binary = std::env::args().nth(1).expect("name the node's binary");
    println!("{CALLS} calls, {TOKENS} tokens each, fault after {TOKENS_BEFORE} tokens");
    println!("| what goes | streams at its engine | prefilled again | generated again | whole |");
    println!("|---|---|---|---|---|");
    for (name, loss) in [
        ("nothing", Loss::Nothing),
        ("nodes and engine, 2 s notice (hand-over)", Loss::Notice),
        ("nodes without notice (resume only)", Loss::Nodes),
        ("nodes and engine without notice (neither)", Loss::Both),
    ] {
        measure(&binary, name, loss).await;
    }
}

async fn measure(binary: &str, name: &str, loss: Loss) {
    let mut options = TestbedOptions::new(binary)
        .with_setting("membership", "heartbeat_ms = 200")
        .with_setting("membership", "suspicion_ms = 600");
    options.engine =
        EngineOptions { between_tokens_ms: BETWEEN_TOKENS_MS, slots: 64, ..options.engine };
    let bed = Testbed::start(options).await;
    let prompts: Vec<String> = (0..CALLS).map(prompt).collect();
    let opened =
        join_all(prompts.iter().enumerate().map(|(call, prompt)| begin(&bed, call, prompt)));
    let (streams, texts): (Vec<ChatStream>, Vec<String>) = opened.await.into_iter().unzip();
    let at_engine = bed.engines[0].current_load().running;
    take(&bed, loss);
    let outcomes = join_all(streams.into_iter().map(|stream| bed.finish(stream, &OUTSIDE))).await;
    let mut whole = 0;
    for ((outcome, before), prompt) in outcomes.into_iter().zip(texts).zip(&prompts) {
        let text = if outcome.restarts == 0 { before + &outcome.text } else { outcome.text };
        whole += usize::from(outcome.is_complete && text == expected_answer(prompt, TOKENS));
    }
    let counters = bed.engines.iter().map(|engine| engine.counters());
    let (prefilled, generated) = counters.fold((0, 0), |sum, counters| {
        (sum.0 + counters.prefilled_tokens, sum.1 + counters.generated_tokens)
    });
    let needed: u64 = prompts
        .iter()
        .map(|prompt| count_tokens(&chat_request(prompt, TOKENS).prompt_text()))
        .sum();
    let prefilled_again = prefilled as i64 - needed as i64;
    let generated_again = generated as i64 - (CALLS as u64 * TOKENS) as i64;
    println!(
        "| {name} | {at_engine} | {prefilled_again} | {generated_again} | {whole} of {CALLS} |"
    );
}

fn prompt(call: usize) -> String {
    let words: Vec<String> = (0..PROMPT_WORDS).map(|word| format!("guest{call}x{word}")).collect();
    words.join(" ")
}

/// Opens a call and reads the tokens before the fault.
async fn begin(bed: &Testbed, call: usize, prompt: &str) -> (ChatStream, String) {
    let node = INSIDE[call % INSIDE.len()];
    let opened = bed.open_chat(node, &chat_request(prompt, TOKENS), "plan", None).await;
    let mut stream = opened.expect("the call was refused");
    let mut text = String::new();
    for _ in 0..TOKENS_BEFORE {
        match stream.next().await {
            CallerEvent::Token { text: token, .. } => text.push_str(&token),
            other => panic!("{other:?} before the fault"),
        }
    }
    (stream, text)
}

/// Takes the data centre away; its engine is the first.
fn take(bed: &Testbed, loss: Loss) {
    match loss {
        Loss::Nothing => {}
        Loss::Notice => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            bed.announce_reclaim(LOST, (now + NOTICE).as_millis() as u64);
            INSIDE.iter().for_each(|node| bed.nodes[*node].kill_after(NOTICE));
            bed.engines[0].reclaim(NOTICE);
        }
        Loss::Nodes => kill_nodes(bed),
        Loss::Both => {
            kill_nodes(bed);
            bed.engines[0].crash();
        }
    }
}

fn kill_nodes(bed: &Testbed) {
    INSIDE.iter().for_each(|node| bed.nodes[*node].kill_after(Duration::ZERO));
}
