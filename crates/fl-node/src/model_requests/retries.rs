//! Pursues one owned request over as many attempts as it takes.

use super::attempt::{self, AttemptOutcome};
use super::{ModelRequests, OwnedRequest, ServiceHandles, guardian, to_json};
use fl_kernel::services::{RouteQuery, TokenState, Verdict, stream_id};
use fl_protocol::engine::block_hashes;
use fl_protocol::event::EventKind;
use fl_protocol::request::StreamPlace;
use fl_protocol::{CallClass, Problem, VmName};
use std::sync::Arc;
use std::time::Duration;

/// How long a request waits for a runner to become free before it asks again.
const RETRY_BASE: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_millis(1000);
const COME_BACK_AFTER: Duration = Duration::from_secs(2);
const EXCLUDED_MAX: usize = 3;

/// Chooses the runner of the first attempt; an error is a refusal at the door.
pub fn choose_first_runner(
    services: &ServiceHandles,
    request: &OwnedRequest,
    class: &CallClass,
) -> Result<(), Problem> {
    choose_place(services, request, class, &[]).map(|_| ())
}

/// Pursues a request until its answer is whole or given up.
pub async fn run_to_completion(
    requests: Arc<ModelRequests>,
    request: Arc<OwnedRequest>,
    class: CallClass,
) {
    let Ok(services) = requests.services() else { return };
    tokio::select! {
        () = run_attempts(&requests, &services, &request, &class) => {}
        () = stalled(&request, requests.give_up_after()) => {
            fail(&request, Problem::GivenUp { retry_after: COME_BACK_AFTER });
            services.events.record(EventKind::GivenUp, Some(request.id), class.name.clone());
        }
        () = request.cancel.cancelled() => {}
    }
    finish(&requests, &services, &request).await;
}

/// Gives a request its final answer.
pub fn fail(request: &OwnedRequest, problem: Problem) {
    metrics::counter!("fl_requests_failed_total", "kind" => problem.kind()).increment(1);
    request.finish(TokenState::Failed(to_json(&problem.body(Some(request.id)))));
}

/// Returns once no token has come for a while; an answer that goes on may take as long as it needs.
async fn stalled(request: &OwnedRequest, give_up: Duration) {
    loop {
        let left = give_up.saturating_sub(request.time_since_last_token());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left).await;
    }
}

async fn run_attempts(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    class: &CallClass,
) {
    let mut excluded: Vec<VmName> = Vec::new();
    let mut tries = 0;
    loop {
        let Some(place) = next_place(services, request, class, &excluded).await else {
            return;
        };
        let end = attempt::run(requests, services, request, &place).await;
        services.router.ended(request.id, &place.runner);
        match end {
            AttemptOutcome::Complete => {
                services.quarantine.ended_well(request.record().fingerprint);
                request.finish(TokenState::Whole);
                return;
            }
            AttemptOutcome::Leaving => attempt::cancel_in_background(requests, &place),
            AttemptOutcome::Lost(reason) => {
                services.events.record(EventKind::AttemptFailed, Some(request.id), reason);
            }
        }
        request.update_record(|record| record.stream = None);
        count_recomputed(request, &place);
        exclude(&mut excluded, place.runner.clone());
        if !services.admission.try_retry(&place.runner) {
            tokio::time::sleep(back_off(tries)).await;
        }
        tries += 1;
    }
}

/// Gives the place of the running attempt, or begins a new one, waiting for a runner.
async fn next_place(
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    class: &CallClass,
    excluded: &[VmName],
) -> Option<StreamPlace> {
    if let Some(place) = request.stream_location() {
        return Some(place);
    }
    let mut tries = 0;
    loop {
        let fingerprint = request.record().fingerprint;
        if services.quarantine.verdict(fingerprint) == Verdict::Quarantined {
            fail(request, Problem::Quarantined);
            let detail = "its content is quarantined".to_string();
            services.events.record(EventKind::GivenUp, Some(request.id), detail);
            return None;
        }
        // A runner that failed this request is better than none once the others are full.
        let avoided = if tries % 2 == 0 { excluded } else { &[] };
        if let Ok(place) = choose_place(services, request, class, avoided) {
            guardian::refresh_replica(services, request).await;
            return Some(place);
        }
        tokio::time::sleep(back_off(tries)).await;
        tries += 1;
    }
}

fn choose_place(
    services: &ServiceHandles,
    request: &OwnedRequest,
    class: &CallClass,
    excluded: &[VmName],
) -> Result<StreamPlace, Problem> {
    let record = request.record();
    let verdict = services.quarantine.verdict(record.fingerprint);
    if verdict == Verdict::Quarantined {
        return Err(Problem::Quarantined);
    }
    if !services.quarantine.may_run(record.fingerprint, request.id) {
        return Err(Problem::Overloaded { retry_after: COME_BACK_AFTER });
    }
    let mut excluded = excluded.to_vec();
    if verdict == Verdict::Suspect {
        excluded.extend(services.quarantine.kept_from(record.fingerprint));
        excluded.sort();
    }
    let query = RouteQuery {
        id: request.id,
        model: request.chat.model.clone(),
        class: class.clone(),
        blocks: block_hashes(&request.chat.model, &request.chat.prompt_text()),
        prompt_tokens: request.prompt_tokens + request.next_offset(),
        max_tokens: request.chat.max_tokens,
        excluded,
        alone: verdict == Verdict::Suspect,
    };
    let route = services.router.choose(&query)?;
    if verdict == Verdict::Suspect {
        services.quarantine.runs_at(record.fingerprint, &route.runner);
    }
    let attempt = request.next_attempt_number();
    let place = StreamPlace {
        runner: route.runner,
        address: route.address,
        stream_id: stream_id(request.id, record.epoch, attempt),
        attempt,
        base_offset: request.next_offset(),
    };
    request.begin_attempt(place.clone());
    if attempt == 1 {
        services.admission.count_first_try(&place.runner);
    }
    Ok(place)
}

fn exclude(excluded: &mut Vec<VmName>, runner: VmName) {
    if let Err(index) = excluded.binary_search(&runner) {
        excluded.insert(index, runner);
    }
    if excluded.len() > EXCLUDED_MAX {
        excluded.remove(0);
    }
}

/// Counts what the next attempt has to compute again.
fn count_recomputed(request: &OwnedRequest, place: &StreamPlace) {
    let tokens = request.prompt_tokens + request.next_offset();
    metrics::counter!("fl_recomputed_tokens_total", "cause" => "new-attempt").increment(tokens);
    metrics::counter!("fl_attempts_lost_total", "runner" => place.runner.clone()).increment(1);
}

fn back_off(tries: u32) -> Duration {
    let ceiling = RETRY_BASE.saturating_mul(1 << tries.min(6)).min(RETRY_MAX);
    ceiling.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

async fn finish(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
) {
    match request.state() {
        TokenState::Running | TokenState::Moved => return,
        TokenState::Whole => {
            services.events.record(EventKind::Whole, Some(request.id), String::new());
        }
        TokenState::Failed(_) => {
            if let Some(place) = request.stream_location() {
                services.router.ended(request.id, &place.runner);
                attempt::cancel_in_background(requests, &place);
            }
        }
    }
    guardian::drop_replica(services, request).await;
}
