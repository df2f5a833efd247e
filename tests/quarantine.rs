//! A request that makes engines crash takes down at most two of them before it is quarantined.
//!
//! Other requests that run on the same engines complete. See `docs/PROOFS.md`.

#![allow(clippy::expect_used)]

use fl_protocol::ProblemBody;
use fl_protocol::event::EventKind;
use fl_standins::{EngineFaults, EngineOptions};
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{CallerEvent, Testbed, TestbedOptions, wait_until};
use rstest::rstest;

/// Text in a prompt that makes the stand-in engines crash.
const MARKER: &str = "poison";
const MAX_ENGINE_CRASHES: u64 = 2;
const OTHER_CALL_TOKENS: u64 = 150;
const RUNNERS: usize = 8;

#[rstest]
#[case::engines_stay_down(None, 5)]
#[case::engines_restart(Some(200), 5)]
#[case::engines_restart_at_once(Some(1), 5)]
#[case::no_other_calls(None, 0)]
#[tokio::test]
async fn crashing_request_quarantined(
    #[case] restart_after_ms: Option<u64>,
    #[case] other_calls: usize,
) {
    let bed = start_testbed(restart_after_ms).await;
    let mut streams = Vec::new();
    for index in 0..other_calls {
        let prompt = format!("innocent plan number {index}");
        let node = index % bed.nodes.len();
        let opened =
            bed.open_chat(node, &chat_request(&prompt, OTHER_CALL_TOKENS), "plan", None).await;
        streams.push((prompt, opened.expect("a harmless call was refused")));
    }
    let mut kinds = Vec::new();
    for node in 0..bed.nodes.len() {
        kinds.push(send_crashing_request(&bed, node).await);
    }
    println!(
        "engine crashes: {}; responses to the crashing request: {kinds:?}",
        count_crashes(&bed)
    );
    assert!(kinds.iter().all(|kind| kind == "quarantined"), "{kinds:?}");
    for (prompt, stream) in streams {
        let outcome = bed.finish(stream, &[0, 1, 2, 3, 4, 5]).await;
        assert!(outcome.is_complete, "{prompt}: {outcome:?}\n{}", format_history(&bed).await);
        assert_eq!(outcome.text, expected_answer(&prompt, OTHER_CALL_TOKENS));
    }
    let crashes = count_crashes(&bed);
    assert!(
        crashes <= MAX_ENGINE_CRASHES,
        "{crashes} engines crashed\n{}",
        format_history(&bed).await
    );
}

async fn start_testbed(restart_after_ms: Option<u64>) -> Testbed {
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

/// Returns the events that led to the quarantine, for the message of a failed assertion.
async fn format_history(bed: &Testbed) -> String {
    let mut lines = Vec::new();
    for node in 0..bed.nodes.len() {
        for event in bed.events(node).await {
            let is_relevant = matches!(
                event.kind,
                EventKind::AttemptStarted
                    | EventKind::AttemptFailed
                    | EventKind::ServerDied
                    | EventKind::Judged
            );
            if is_relevant {
                let id = event.request_id.unwrap_or_default();
                let at_ms = event.stamp.time_ms;
                lines.push(format!("{at_ms} {} {:?} {id} {}", event.vm, event.kind, event.detail));
            }
        }
    }
    lines.sort();
    lines.join("\n")
}

fn count_crashes(bed: &Testbed) -> u64 {
    bed.engines.iter().map(|engine| engine.counters().crashes).sum()
}

/// Sends the crashing request through a node until its response is final, and returns the kind of
/// problem.
async fn send_crashing_request(bed: &Testbed, node: usize) -> String {
    let mut kind = String::new();
    wait_until("a final response", async || {
        let call = chat_request(&format!("a {MARKER} request"), 20);
        kind = match bed.open_chat(node, &call, "counter", None).await {
            Ok(mut stream) => loop {
                match stream.next().await {
                    CallerEvent::Problem(problem_json) => break read_kind(problem_json.as_bytes()),
                    CallerEvent::Disconnected => break "cut".to_string(),
                    CallerEvent::End => break "whole".to_string(),
                    _ => {}
                }
            },
            Err(Ok(reply)) => read_kind(&reply.body),
            Err(Err(error)) => error.to_string(),
        };
        // A node that leaves the probe of the request to another node answers `overloaded` with a
        // delay after which to retry.
        kind != "overloaded"
    })
    .await;
    kind
}

fn read_kind(problem_json: &[u8]) -> String {
    let problem: ProblemBody = serde_json::from_slice(problem_json).expect("a problem");
    problem.kind.trim_start_matches("urn:filbertlead:problem:").to_string()
}
