//! An accepted request completes whatever is taken away from under it.
//!
//! Each case streams one answer through the first node and applies faults in mid-stream. See
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
/// Tokens that the caller holds before a fault.
const TOKENS_BEFORE: usize = 20;
/// Tokens that the caller reads after a notice, while the copy of the text travels.
const TOKENS_AFTER_NOTICE: usize = 100;
const NOTICE: Duration = Duration::from_millis(3_000);
const PROMPT: &str = "a long plan for a group of eleven guests with boots of every size";

#[derive(Debug, Clone, Copy)]
enum Fault {
    KillOwner,
    KillGuardian,
    KillEngine,
    SilenceEngine,
    PauseOwner,
    TerminateOwner,
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
    completes(faults).await;
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
    completes(faults).await;
}

#[rstest]
#[case::owner(&[KillOwner, KillOwner])]
#[case::guardian(&[KillGuardian, KillGuardian])]
#[case::silence(&[SilenceEngine, SilenceEngine])]
#[case::reclaim(&[ReclaimEngine, ReclaimEngine])]
#[tokio::test]
async fn same_twice(#[case] faults: &[Fault]) {
    completes(faults).await;
}

/// A request that was in flight on two engines that died without notice may have crashed both; it
/// gets its final answer at once and no third engine.
#[tokio::test]
async fn engine_twice() {
    let (_bed, outcome) = stream_under(&[KillEngine, KillEngine]).await;
    let problem = outcome.problem_json.expect("a final answer");
    assert!(problem.contains("urn:filbertlead:problem:quarantined"), "{problem}");
}

/// Losing the node alone, or its connection, makes no engine compute anything a second time.
#[rstest]
#[case::kill_owner(KillOwner)]
#[case::pause_owner(PauseOwner)]
#[case::reclaim_owner(ReclaimOwner)]
#[case::silence_engine(SilenceEngine)]
#[tokio::test]
async fn nothing_again(#[case] fault: Fault) {
    let bed = completes(&[fault]).await;
    let prompt_tokens = count_tokens(&chat_request(PROMPT, TOKENS).prompt_text());
    assert_eq!(computed(&bed), (prompt_tokens, TOKENS), "{fault:?}");
}

/// The text that is copied at the notice is computed by no engine from the beginning again.
#[tokio::test]
async fn text_kept() {
    let (mut bed, mut stream, mut text) = begin().await;
    let owner = owner(&bed, &stream.request_id).await;
    let engine = engine(&bed, &stream.request_id).await;
    bed.nodes[owner].terminate();
    read(&mut stream, &mut text, TOKENS_AFTER_NOTICE).await;
    bed.engines[engine].crash();
    bed.nodes[owner].kill();
    let outcome = bed.finish(stream, &[1, 2, 3, 4, 5]).await;
    assert!(outcome.is_complete, "{outcome:?}");
    let whole = if outcome.restarts == 0 { text + &outcome.text } else { outcome.text };
    assert_eq!(whole, expected_answer(PROMPT, TOKENS));
    let prompt_tokens = count_tokens(&chat_request(PROMPT, TOKENS).prompt_text());
    let with_text = 2 * prompt_tokens + TOKENS_BEFORE as u64;
    assert!(computed(&bed).0 >= with_text, "{:?}", computed(&bed));
}

/// The prompt tokens and answer tokens that all engines computed.
fn computed(bed: &Testbed) -> (u64, u64) {
    let counters = bed.engines.iter().map(|engine| engine.counters());
    counters.fold((0, 0), |sum, counters| {
        (sum.0 + counters.prefilled_tokens, sum.1 + counters.generated_tokens)
    })
}

async fn begin() -> (Testbed, ChatStream, String) {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("membership", "heartbeat_ms = 200")
        .with_setting("membership", "suspicion_ms = 600");
    options.runners = 6;
    options.engine = EngineOptions { between_tokens_ms: 15, ..options.engine };
    let bed = Testbed::start(options).await;
    let opened = bed.open_chat(0, &chat_request(PROMPT, TOKENS), "plan", None).await;
    let mut stream = opened.expect("the call was refused");
    let mut text = String::new();
    read(&mut stream, &mut text, TOKENS_BEFORE).await;
    (bed, stream, text)
}

async fn read(stream: &mut ChatStream, text: &mut String, tokens: usize) {
    for _ in 0..tokens {
        if let CallerEvent::Token { text: token, .. } = stream.next().await {
            text.push_str(&token);
        }
    }
}

async fn completes(faults: &[Fault]) -> Testbed {
    let (bed, outcome) = stream_under(faults).await;
    assert!(outcome.is_complete, "{faults:?}: {outcome:?}");
    assert_eq!(outcome.text, expected_answer(PROMPT, TOKENS), "{faults:?}");
    bed
}

/// Streams one answer, applies the faults in mid-stream, and gives what the caller has at the end.
async fn stream_under(faults: &[Fault]) -> (Testbed, CallOutcome) {
    let (mut bed, stream, text) = begin().await;
    let request_id = stream.request_id.clone();
    for fault in faults {
        apply(&mut bed, *fault, &request_id).await;
    }
    let mut outcome = bed.finish(stream, &[1, 2, 3, 4, 5, 0]).await;
    if outcome.restarts == 0 {
        outcome.text = text + &outcome.text;
    }
    (bed, outcome)
}

async fn apply(bed: &mut Testbed, fault: Fault, request_id: &str) {
    match fault {
        KillOwner => {
            let owner = owner(bed, request_id).await;
            bed.nodes[owner].kill();
        }
        PauseOwner => bed.nodes[owner(bed, request_id).await].pause(),
        TerminateOwner => bed.nodes[owner(bed, request_id).await].terminate(),
        KillGuardian => {
            owner(bed, request_id).await;
            let vm = detail(bed, EventKind::GuardianPlaced, request_id).await;
            let guardian = bed.node_index(&vm);
            bed.nodes[guardian].kill();
            // An answer that is whole by now needs no guardian any more.
            wait_until("a new guardian", async || {
                detail(bed, EventKind::GuardianPlaced, request_id).await != vm
                    || bed.last_event(EventKind::Whole, request_id).await.is_some()
            })
            .await;
        }
        KillEngine => {
            let engine = engine(bed, request_id).await;
            bed.engines[engine].crash();
            attempt_after(bed, engine, request_id).await;
        }
        SilenceEngine => bed.engines[engine(bed, request_id).await].silence_open_connections(),
        ReclaimEngine => {
            let engine = engine(bed, request_id).await;
            let vm = bed.engines[engine].vm().to_string();
            announce(bed, &vm);
            bed.engines[engine].reclaim(NOTICE);
            attempt_after(bed, engine, request_id).await;
        }
        ReclaimOwner => {
            let owner = owner(bed, request_id).await;
            let vm = bed.nodes[owner].vm.clone();
            announce(bed, &vm);
            bed.nodes[owner].kill_after(NOTICE);
        }
        ReclaimDataCenter => reclaim_data_center(bed, request_id).await,
    }
}

async fn reclaim_data_center(bed: &Testbed, request_id: &str) {
    let owner = owner(bed, request_id).await;
    let data_center = bed.nodes[owner].data_center.clone();
    bed.announce_reclaim(&data_center, leaving_at_ms());
    for node in bed.nodes_in(&data_center) {
        bed.nodes[node].kill_after(NOTICE);
    }
    for vm in bed.cloud.vms() {
        if vm.data_center == data_center
            && let Some(engine) = bed.engines.iter().find(|engine| engine.vm() == vm.name)
        {
            engine.reclaim(NOTICE);
        }
    }
}

/// The node that last became the owner, once it runs and has placed its copy at a guardian.
///
/// Until then there is one copy only, and its loss is the loss of both at once, which is not
/// promised.
async fn owner(bed: &Testbed, request_id: &str) -> usize {
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

async fn engine(bed: &Testbed, request_id: &str) -> usize {
    bed.engine_index(&detail(bed, EventKind::AttemptStarted, request_id).await)
}

async fn detail(bed: &Testbed, kind: EventKind, request_id: &str) -> String {
    let mut found = None;
    wait_until("an event", async || {
        found = bed.last_event(kind, request_id).await;
        found.is_some()
    })
    .await;
    found.map(|event| event.detail).unwrap_or_default()
}

/// Waits until the request is tried elsewhere, so that a second fault meets the new attempt.
async fn attempt_after(bed: &Testbed, lost: usize, request_id: &str) {
    wait_until("a new attempt or a final answer", async || {
        engine(bed, request_id).await != lost
            || bed.last_event(EventKind::GivenUp, request_id).await.is_some()
    })
    .await;
}

fn announce(bed: &Testbed, vm: &str) {
    let notice =
        fl_protocol::platform::ReclaimNotice { vm: vm.to_string(), leaving_at_ms: leaving_at_ms() };
    bed.cloud.announce_reclaim(notice);
}

fn leaving_at_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now + NOTICE).as_millis() as u64
}
