//! An accepted request completes although nodes, engines or a whole data centre fail.
//!
//! Each case streams one response through the first node and injects faults in mid-stream. See
//! `docs/PROOFS.md`.

#![allow(clippy::expect_used)]

use fl_protocol::chat::count_tokens;
use fl_protocol::event::EventKind;
use fl_standins::EngineOptions;
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{CallOutcome, CallerEvent, ChatStream, Testbed, TestbedOptions, wait_until};
use rstest::rstest;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const TOKENS: u64 = 400;
/// Tokens that the caller has received before the first fault.
const TOKENS_BEFORE: usize = 20;
/// Tokens that the caller reads after a termination notice, while the text is copied to another
/// node.
const TOKENS_AFTER_NOTICE: usize = 100;
/// Time between a reclaim notice and the end of the VM.
const NOTICE_PERIOD: Duration = Duration::from_millis(3_000);
const PROMPT: &str = "a long plan for a group of eleven guests with boots of every size";

/// A failure of the owner, of the guardian, of the engine, or of the owner's data centre.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillOwner,
    KillGuardian,
    KillEngine,
    /// The engine keeps its open connections but sends nothing more on them.
    SilenceEngine,
    PauseOwner,
    /// The owner gets SIGTERM and shuts down gracefully.
    TerminateOwner,
    /// The owner gets a reclaim notice and is killed at its end.
    ReclaimOwner,
    ReclaimEngine,
    ReclaimDataCenter,
}

use Fault::*;

#[rstest]
#[case::kill_owner(&[KillOwner])]
#[case::kill_guardian(&[KillGuardian])]
#[case::kill_engine(&[KillEngine])]
#[case::silence_engine(&[SilenceEngine])]
#[case::pause_owner(&[PauseOwner])]
#[case::terminate_owner(&[TerminateOwner])]
#[case::reclaim_owner(&[ReclaimOwner])]
#[case::reclaim_engine(&[ReclaimEngine])]
#[case::reclaim_dc(&[ReclaimDataCenter])]
#[tokio::test]
async fn single_fault(#[case] faults: &[Fault]) {
    assert_completes(faults).await;
}

#[rstest]
#[case::owner_engine(&[KillOwner, KillEngine])]
#[case::engine_owner(&[KillEngine, KillOwner])]
#[case::guardian_owner(&[KillGuardian, KillOwner])]
#[case::owner_guardian(&[KillOwner, KillGuardian])]
#[case::notice_owner(&[TerminateOwner, KillOwner])]
#[case::reclaim_killed(&[ReclaimOwner, KillOwner])]
#[case::dc_killed(&[ReclaimDataCenter, KillOwner])]
#[case::dc_guardian(&[ReclaimDataCenter, KillGuardian])]
#[case::silence_owner(&[SilenceEngine, KillOwner])]
#[case::reclaim_both(&[ReclaimEngine, ReclaimOwner])]
#[tokio::test]
async fn fault_pair(#[case] faults: &[Fault]) {
    assert_completes(faults).await;
}

#[rstest]
#[case::owner(&[KillOwner, KillOwner])]
#[case::guardian(&[KillGuardian, KillGuardian])]
#[case::silence(&[SilenceEngine, SilenceEngine])]
#[case::reclaim(&[ReclaimEngine, ReclaimEngine])]
#[tokio::test]
async fn repeated_fault(#[case] faults: &[Fault]) {
    assert_completes(faults).await;
}

/// A request that was in flight on two engines that died without notice may have crashed both. It
/// gets its final response at once and is not sent to a third engine.
#[tokio::test]
async fn two_engine_crashes_quarantine() {
    let (_bed, outcome) = stream_with_faults(&[KillEngine, KillEngine]).await;
    let problem = outcome.problem_json.expect("a final response");
    assert!(problem.contains("urn:filbertlead:problem:quarantined"), "{problem}");
}

/// No engine computes anything again when only the owner or its connection is lost.
#[rstest]
#[case::kill_owner(KillOwner)]
#[case::pause_owner(PauseOwner)]
#[case::reclaim_owner(ReclaimOwner)]
#[case::silence_engine(SilenceEngine)]
#[tokio::test]
async fn owner_loss_recomputes_nothing(#[case] fault: Fault) {
    let bed = assert_completes(&[fault]).await;
    let prompt_tokens = count_tokens(&chat_request(PROMPT, TOKENS).prompt_text());
    assert_eq!(count_computed_tokens(&bed), (prompt_tokens, TOKENS), "{fault:?}");
}

/// The text is copied to another node at a termination notice, so that the next engine prefills it
/// instead of generating it again.
#[tokio::test]
async fn copied_text_not_regenerated() {
    let (mut bed, mut stream, mut text) = start_stream().await;
    let owner = wait_for_owner(&bed, &stream.request_id).await;
    let engine = find_engine(&bed, &stream.request_id).await;
    bed.nodes[owner].terminate();
    read_tokens(&mut stream, &mut text, TOKENS_AFTER_NOTICE).await;
    bed.engines[engine].crash();
    bed.nodes[owner].kill();
    let outcome = bed.finish(stream, &[1, 2, 3, 4, 5]).await;
    assert!(outcome.is_complete, "{outcome:?}");
    let text_received = if outcome.restarts == 0 { text + &outcome.text } else { outcome.text };
    assert_eq!(text_received, expected_answer(PROMPT, TOKENS));
    let prompt_tokens = count_tokens(&chat_request(PROMPT, TOKENS).prompt_text());
    let tokens_with_text = 2 * prompt_tokens + TOKENS_BEFORE as u64;
    assert!(count_computed_tokens(&bed).0 >= tokens_with_text, "{:?}", count_computed_tokens(&bed));
}

/// Returns the prompt tokens and the response tokens that all engines have computed.
fn count_computed_tokens(bed: &Testbed) -> (u64, u64) {
    let counters = bed.engines.iter().map(|engine| engine.counters());
    counters.fold((0, 0), |sum, counters| {
        (sum.0 + counters.prefilled_tokens, sum.1 + counters.generated_tokens)
    })
}

async fn start_stream() -> (Testbed, ChatStream, String) {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("membership", "heartbeat_ms = 200")
        .with_setting("membership", "suspicion_ms = 600");
    options.runners = 6;
    options.engine = EngineOptions { between_tokens_ms: 15, ..options.engine };
    let bed = Testbed::start(options).await;
    let opened = bed.open_chat(0, &chat_request(PROMPT, TOKENS), "plan", None).await;
    let mut stream = opened.expect("the call was refused");
    let mut text = String::new();
    read_tokens(&mut stream, &mut text, TOKENS_BEFORE).await;
    (bed, stream, text)
}

async fn read_tokens(stream: &mut ChatStream, text: &mut String, tokens: usize) {
    for _ in 0..tokens {
        if let CallerEvent::Token { text: token, .. } = stream.next().await {
            text.push_str(&token);
        }
    }
}

async fn assert_completes(faults: &[Fault]) -> Testbed {
    let (bed, outcome) = stream_with_faults(faults).await;
    assert!(outcome.is_complete, "{faults:?}: {outcome:?}");
    assert_eq!(outcome.text, expected_answer(PROMPT, TOKENS), "{faults:?}");
    bed
}

/// Streams one response, injects the faults in mid-stream, and returns what the caller has received
/// at the end.
async fn stream_with_faults(faults: &[Fault]) -> (Testbed, CallOutcome) {
    let (mut bed, stream, text) = start_stream().await;
    let request_id = stream.request_id.clone();
    for fault in faults {
        inject_fault(&mut bed, *fault, &request_id).await;
    }
    let mut outcome = bed.finish(stream, &[1, 2, 3, 4, 5, 0]).await;
    if outcome.restarts == 0 {
        outcome.text = text + &outcome.text;
    }
    (bed, outcome)
}

async fn inject_fault(bed: &mut Testbed, fault: Fault, request_id: &str) {
    match fault {
        KillOwner => {
            let owner = wait_for_owner(bed, request_id).await;
            bed.nodes[owner].kill();
        }
        PauseOwner => bed.nodes[wait_for_owner(bed, request_id).await].pause(),
        TerminateOwner => bed.nodes[wait_for_owner(bed, request_id).await].terminate(),
        KillGuardian => {
            wait_for_owner(bed, request_id).await;
            let vm = wait_for_event_detail(bed, EventKind::GuardianPlaced, request_id).await;
            let guardian = bed.node_index(&vm);
            bed.nodes[guardian].kill();
            // A response that has completed in the meantime needs no guardian.
            wait_until("a new guardian", async || {
                wait_for_event_detail(bed, EventKind::GuardianPlaced, request_id).await != vm
                    || bed.last_event(EventKind::Whole, request_id).await.is_some()
            })
            .await;
        }
        KillEngine => {
            let engine = find_engine(bed, request_id).await;
            bed.engines[engine].crash();
            wait_for_new_attempt(bed, engine, request_id).await;
        }
        SilenceEngine => bed.engines[find_engine(bed, request_id).await].silence_open_connections(),
        ReclaimEngine => {
            let engine = find_engine(bed, request_id).await;
            let vm = bed.engines[engine].vm().to_string();
            announce_reclaim(bed, &vm);
            bed.engines[engine].reclaim(NOTICE_PERIOD);
            wait_for_new_attempt(bed, engine, request_id).await;
        }
        ReclaimOwner => {
            let owner = wait_for_owner(bed, request_id).await;
            let vm = bed.nodes[owner].vm.clone();
            announce_reclaim(bed, &vm);
            bed.nodes[owner].kill_after(NOTICE_PERIOD);
        }
        ReclaimDataCenter => reclaim_data_center(bed, request_id).await,
    }
}

async fn reclaim_data_center(bed: &Testbed, request_id: &str) {
    let owner = wait_for_owner(bed, request_id).await;
    let data_center = bed.nodes[owner].data_center.clone();
    bed.announce_reclaim(&data_center, leaving_at_ms());
    for node in bed.nodes_in(&data_center) {
        bed.nodes[node].kill_after(NOTICE_PERIOD);
    }
    for vm in bed.cloud.vms() {
        if vm.data_center == data_center
            && let Some(engine) = bed.engines.iter().find(|engine| engine.vm() == vm.name)
        {
            engine.reclaim(NOTICE_PERIOD);
        }
    }
}

/// Waits until the last owner runs and has placed a replica at a guardian, and returns its index.
///
/// Before that there is only one copy of the request, and losing it counts as losing owner and
/// guardian at once, against which there is no guarantee.
async fn wait_for_owner(bed: &Testbed, request_id: &str) -> usize {
    let mut found = 0;
    wait_until("a live owner", async || {
        let taken = bed.last_event(EventKind::TakenOver, request_id).await;
        found = taken.map_or(0, |event| bed.node_index(&event.vm));
        let placed = bed.last_event(EventKind::GuardianPlaced, request_id).await;
        let by_owner = placed.is_some_and(|event| event.vm == bed.nodes[found].vm);
        by_owner && bed.nodes[found].is_started()
    })
    .await;
    found
}

async fn find_engine(bed: &Testbed, request_id: &str) -> usize {
    bed.engine_index(&wait_for_event_detail(bed, EventKind::AttemptStarted, request_id).await)
}

async fn wait_for_event_detail(bed: &Testbed, kind: EventKind, request_id: &str) -> String {
    let mut found = None;
    wait_until("an event", async || {
        found = bed.last_event(kind, request_id).await;
        found.is_some()
    })
    .await;
    found.map(|event| event.detail).unwrap_or_default()
}

/// Waits until another engine runs the request, so that the next fault affects the new attempt.
async fn wait_for_new_attempt(bed: &Testbed, lost: usize, request_id: &str) {
    wait_until("a new attempt or a final response", async || {
        find_engine(bed, request_id).await != lost
            || bed.last_event(EventKind::GivenUp, request_id).await.is_some()
    })
    .await;
}

fn announce_reclaim(bed: &Testbed, vm: &str) {
    let notice =
        fl_protocol::platform::ReclaimNotice { vm: vm.to_string(), leaving_at_ms: leaving_at_ms() };
    bed.cloud.announce_reclaim(notice);
}

fn leaving_at_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now + NOTICE_PERIOD).as_millis() as u64
}
