//! A request that makes engines crash costs at most two of them, and its neighbours complete.
//!
//! See `docs/PROOFS.md`.

#![allow(clippy::expect_used)]

use fl_protocol::ProblemBody;
use fl_protocol::event::EventKind;
use fl_standins::{EngineFaults, EngineOptions};
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{CallerEvent, Testbed, TestbedOptions, wait_until};
use rstest::rstest;

const MARKER: &str = "poison";
const MAX_SERVERS_LOST: u64 = 2;
const INNOCENT_TOKENS: u64 = 150;
const RUNNERS: usize = 8;

#[rstest]
#[case::servers_stay_dead(None, 5)]
#[case::servers_restart(Some(200), 5)]
#[case::servers_restart_at_once(Some(1), 5)]
#[case::no_neighbours(None, 0)]
#[tokio::test]
async fn resent_everywhere(#[case] restart_after_ms: Option<u64>, #[case] innocents: usize) {
    let bed = start(restart_after_ms).await;
    let mut streams = Vec::new();
    for index in 0..innocents {
        let prompt = format!("innocent plan number {index}");
        let node = index % bed.nodes.len();
        let opened =
            bed.open_chat(node, &chat_request(&prompt, INNOCENT_TOKENS), "plan", None).await;
        streams.push((prompt, opened.expect("an innocent call was refused")));
    }
    let mut kinds = Vec::new();
    for node in 0..bed.nodes.len() {
        kinds.push(send_poison(&bed, node).await);
    }
    println!("servers lost: {}; the poison was told: {kinds:?}", lost(&bed));
    assert!(kinds.iter().all(|kind| kind == "quarantined"), "{kinds:?}");
    for (prompt, stream) in streams {
        let outcome = bed.finish(stream, &[0, 1, 2, 3, 4, 5]).await;
        assert!(outcome.is_complete, "{prompt}: {outcome:?}\n{}", history(&bed).await);
        assert_eq!(outcome.text, expected_answer(&prompt, INNOCENT_TOKENS));
    }
    let lost = lost(&bed);
    assert!(lost <= MAX_SERVERS_LOST, "{lost} servers were lost\n{}", history(&bed).await);
}

async fn start(restart_after_ms: Option<u64>) -> Testbed {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    options.runners = RUNNERS;
    options.engine = EngineOptions { between_tokens_ms: 15, ..options.engine };
    let bed = Testbed::start(options).await;
    for engine in &bed.engines {
        let crash_on_marker = Some(MARKER.to_string());
        engine.set_faults(EngineFaults { crash_on_marker, restart_after_ms, ..Default::default() });
    }
    bed
}

/// What led to the judgements, for the report of a failure.
async fn history(bed: &Testbed) -> String {
    let mut lines = Vec::new();
    for node in 0..bed.nodes.len() {
        for event in bed.events(node).await {
            let wanted = matches!(
                event.kind,
                EventKind::AttemptStarted
                    | EventKind::AttemptFailed
                    | EventKind::ServerDied
                    | EventKind::Judged
            );
            if wanted {
                let id = event.request_id.unwrap_or_default();
                let at_ms = event.stamp.time_ms;
                lines.push(format!("{at_ms} {} {:?} {id} {}", event.vm, event.kind, event.detail));
            }
        }
    }
    lines.sort();
    lines.join("\n")
}

fn lost(bed: &Testbed) -> u64 {
    bed.engines.iter().map(|engine| engine.counters().crashes).sum()
}

/// Sends the poison through a node until it gets its final answer; gives the kind of that.
async fn send_poison(bed: &Testbed, node: usize) -> String {
    let mut kind = String::new();
    wait_until("a final answer", async || {
        let call = chat_request(&format!("a {MARKER} request"), 20);
        kind = match bed.open_chat(node, &call, "counter", None).await {
            Ok(mut stream) => loop {
                match stream.next().await {
                    CallerEvent::Problem(problem_json) => break kind_of(problem_json.as_bytes()),
                    CallerEvent::Disconnected => break "cut".to_string(),
                    CallerEvent::End => break "whole".to_string(),
                    _ => {}
                }
            },
            Err(Ok(reply)) => kind_of(&reply.body),
            Err(Err(error)) => error.to_string(),
        };
        // A node that leaves the probe to another says when to come back.
        kind != "overloaded"
    })
    .await;
    kind
}

fn kind_of(problem_json: &[u8]) -> String {
    let problem: ProblemBody = serde_json::from_slice(problem_json).expect("a problem");
    problem.kind.trim_start_matches("urn:filbertlead:problem:").to_string()
}
