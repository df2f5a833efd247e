//! Measures how many tokens are recomputed when a data centre is lost, by what survives of it.
//!
//! `cargo build --release --bin filbertlead`, then
//! `cargo run --release -p fl-testbed --example recomputed_tokens -- target/release/filbertlead`.
//! Streams answers through the nodes of one data centre, takes it down while they stream, and
//! prints how many tokens the engines computed beyond one prompt and one answer per call.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use fl_protocol::chat::count_tokens;
use fl_standins::EngineOptions;
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{CallerEvent, ChatStream, Testbed, TestbedOptions};
use futures::future::join_all;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const CALLS: usize = 12;
const TOKENS: u64 = 500;
/// Tokens that each caller has received before the loss.
const TOKENS_BEFORE: usize = 100;
const PROMPT_WORDS: usize = 300;
const BETWEEN_TOKENS_MS: u64 = 10;
/// The time from the reclaim notice to the loss; too short for the answers to finish in place.
const NOTICE: Duration = Duration::from_millis(2_000);
const LOST_DATA_CENTER: &str = "dc-a";
/// The nodes of the lost data centre, and those that callers reconnect to.
const LOST_NODES: [usize; 2] = [0, 3];
const SURVIVING_NODES: [usize; 4] = [1, 2, 4, 5];

#[derive(Debug, Clone, Copy)]
enum Loss {
    Nothing,
    /// Nodes and engines go away after a reclaim notice.
    Notice,
    /// Nodes are killed without notice; the engines continue.
    Nodes,
    /// Nodes and engines are killed without notice.
    Both,
}

#[tokio::main]
async fn main() {
    let binary = std::env::args().nth(1).expect("pass the path of the node's binary");
    println!("{CALLS} calls, {TOKENS} tokens each, loss after {TOKENS_BEFORE} tokens");
    println!("| lost | streams at its engine | prefilled again | generated again | complete |");
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
    let testbed = Testbed::start(options).await;
    let prompts: Vec<String> = (0..CALLS).map(call_prompt).collect();
    let opened = join_all(
        prompts.iter().enumerate().map(|(call, prompt)| start_call(&testbed, call, prompt)),
    );
    let (streams, texts): (Vec<ChatStream>, Vec<String>) = opened.await.into_iter().unzip();
    let at_engine = testbed.engines[0].current_load().running;
    take_down(&testbed, loss);
    let outcomes =
        join_all(streams.into_iter().map(|stream| testbed.finish(stream, &SURVIVING_NODES))).await;
    let mut complete = 0;
    for ((outcome, before), prompt) in outcomes.into_iter().zip(texts).zip(&prompts) {
        let text = if outcome.restarts == 0 { before + &outcome.text } else { outcome.text };
        complete += usize::from(outcome.is_complete && text == expected_answer(prompt, TOKENS));
    }
    let counters = testbed.engines.iter().map(|engine| engine.counters());
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
        "| {name} | {at_engine} | {prefilled_again} | {generated_again} | {complete} of {CALLS} |"
    );
}

fn call_prompt(call: usize) -> String {
    let words: Vec<String> = (0..PROMPT_WORDS).map(|word| format!("guest{call}x{word}")).collect();
    words.join(" ")
}

/// Opens a call and reads the tokens that come before the loss.
async fn start_call(testbed: &Testbed, call: usize, prompt: &str) -> (ChatStream, String) {
    let node = LOST_NODES[call % LOST_NODES.len()];
    let opened = testbed.open_chat(node, &chat_request(prompt, TOKENS), "plan", None).await;
    let mut stream = opened.expect("the node refused the call");
    let mut text = String::new();
    for _ in 0..TOKENS_BEFORE {
        match stream.next().await {
            CallerEvent::Token { text: token, .. } => text.push_str(&token),
            other => panic!("expected a token before the loss, received {other:?}"),
        }
    }
    (stream, text)
}

/// Takes the data centre down; its engine is the first one.
fn take_down(testbed: &Testbed, loss: Loss) {
    match loss {
        Loss::Nothing => {}
        Loss::Notice => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            testbed.announce_reclaim(LOST_DATA_CENTER, (now + NOTICE).as_millis() as u64);
            LOST_NODES.iter().for_each(|node| testbed.nodes[*node].kill_after(NOTICE));
            testbed.engines[0].reclaim(NOTICE);
        }
        Loss::Nodes => kill_nodes(testbed),
        Loss::Both => {
            kill_nodes(testbed);
            testbed.engines[0].crash();
        }
    }
}

fn kill_nodes(testbed: &Testbed) {
    LOST_NODES.iter().for_each(|node| testbed.nodes[*node].kill_after(Duration::ZERO));
}
