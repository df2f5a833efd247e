//! Runs an owned request to completion, with retries on other runners.

use super::attempt::{self, AttemptOutcome};
use super::{ModelRequests, OwnedRequest, ServiceHandles, guardian, to_json};
use fl_kernel::services::{ContentStatus, ResponseProgress, RoutingQuery, stream_id};
use fl_protocol::engine::hash_prompt_blocks;
use fl_protocol::event::EventKind;
use fl_protocol::request::StreamLocation;
use fl_protocol::{CallClass, Problem, VmName};
use std::sync::Arc;
use std::time::Duration;

/// The upper bound of the first backoff before a request asks again for a runner; it doubles with
/// each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Runners that failed a request and are avoided by its next attempt; the name that sorts first is
/// dropped when there are more.
const MAX_EXCLUDED_RUNNERS: usize = 3;

/// Chooses the runner of the first attempt; an error refuses the call before it is accepted.
pub fn choose_first_runner(
    services: &ServiceHandles,
    request: &OwnedRequest,
    class: &CallClass,
) -> Result<(), Problem> {
    choose_location(services, request, class, &[]).map(|_| ())
}

/// Runs a request until its response is complete, or it is given up or cancelled.
pub async fn run_to_completion(
    requests: Arc<ModelRequests>,
    request: Arc<OwnedRequest>,
    class: CallClass,
) {
    let Ok(services) = requests.find_services() else { return };
    tokio::select! {
        () = run_attempts(&requests, &services, &request, &class) => {}
        () = wait_until_stalled(&request, requests.give_up_after()) => {
            fail_request(&request, Problem::GivenUp { retry_after: RETRY_AFTER });
            services.events.record(EventKind::GivenUp, Some(request.id), class.name.clone());
        }
        () = request.cancel.cancelled() => {}
    }
    clean_up(&requests, &services, &request).await;
}

/// Ends a request with a problem.
pub fn fail_request(request: &OwnedRequest, problem: Problem) {
    metrics::counter!("fl_requests_failed_total", "kind" => problem.kind()).increment(1);
    request.finish(ResponseProgress::Failed(to_json(&problem.body(Some(request.id)))));
}

/// Returns once no token has arrived for the time `give_up`.
///
/// A response that makes progress may take as long as it needs.
async fn wait_until_stalled(request: &OwnedRequest, give_up: Duration) {
    loop {
        let remaining = give_up.saturating_sub(request.time_since_last_token());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining).await;
    }
}

async fn run_attempts(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    class: &CallClass,
) {
    let mut excluded: Vec<VmName> = Vec::new();
    let mut retry_count = 0;
    loop {
        let Some(location) = next_location(services, request, class, &excluded).await else {
            return;
        };
        let outcome = attempt::run(requests, services, request, &location).await;
        services.router.record_end(request.id, &location.runner);
        match outcome {
            AttemptOutcome::Complete => {
                services.quarantine.record_success(request.record().fingerprint);
                request.finish(ResponseProgress::Complete);
                return;
            }
            AttemptOutcome::Leaving => attempt::cancel_in_background(requests, &location),
            AttemptOutcome::Lost(reason) => {
                services.events.record(EventKind::AttemptFailed, Some(request.id), reason);
            }
        }
        request.update_record(|record| record.stream = None);
        count_recomputed_tokens(request, &location);
        exclude_runner(&mut excluded, location.runner.clone());
        if !services.admission.take_retry(&location.runner) {
            tokio::time::sleep(backoff_delay(retry_count)).await;
        }
        retry_count += 1;
    }
}

/// Returns the location of the running attempt, or begins a new one once a runner can take it.
///
/// `None` if the content was quarantined, which ends the request.
async fn next_location(
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    class: &CallClass,
    excluded: &[VmName],
) -> Option<StreamLocation> {
    if let Some(location) = request.stream_location() {
        return Some(location);
    }
    let mut retry_count = 0;
    loop {
        let fingerprint = request.record().fingerprint;
        if services.quarantine.status(fingerprint) == ContentStatus::Quarantined {
            fail_request(request, Problem::Quarantined);
            let detail = "the content of the request is quarantined".to_string();
            services.events.record(EventKind::GivenUp, Some(request.id), detail);
            return None;
        }
        // Every second round also allows the runners that failed this request: one of them is
        // better than none while the others are full.
        let avoided = if retry_count % 2 == 0 { excluded } else { &[] };
        if let Ok(location) = choose_location(services, request, class, avoided) {
            guardian::refresh_replica(services, request).await;
            return Some(location);
        }
        tokio::time::sleep(backoff_delay(retry_count)).await;
        retry_count += 1;
    }
}

fn choose_location(
    services: &ServiceHandles,
    request: &OwnedRequest,
    class: &CallClass,
    excluded: &[VmName],
) -> Result<StreamLocation, Problem> {
    let record = request.record();
    let status = services.quarantine.status(record.fingerprint);
    if status == ContentStatus::Quarantined {
        return Err(Problem::Quarantined);
    }
    if !services.quarantine.may_run(record.fingerprint, request.id) {
        return Err(Problem::Overloaded { retry_after: RETRY_AFTER });
    }
    let mut excluded = excluded.to_vec();
    if status == ContentStatus::Suspect {
        excluded.extend(services.quarantine.excluded_runners(record.fingerprint));
        excluded.sort();
    }
    let query = RoutingQuery {
        id: request.id,
        model: request.chat.model.clone(),
        class: class.clone(),
        blocks: hash_prompt_blocks(&request.chat.model, &request.chat.prompt_text()),
        prompt_tokens: request.prompt_tokens + request.next_offset(),
        max_tokens: request.chat.max_tokens,
        excluded,
        exclusive: status == ContentStatus::Suspect,
    };
    let decision = services.router.choose(&query)?;
    if status == ContentStatus::Suspect {
        services.quarantine.record_run(record.fingerprint, &decision.runner);
    }
    let attempt = request.next_attempt_number();
    let location = StreamLocation {
        runner: decision.runner,
        address: decision.address,
        stream_id: stream_id(request.id, record.epoch, attempt),
        attempt,
        base_offset: request.next_offset(),
    };
    request.begin_attempt(location.clone());
    if attempt == 1 {
        services.admission.count_first_attempt(&location.runner);
    }
    Ok(location)
}

fn exclude_runner(excluded: &mut Vec<VmName>, runner: VmName) {
    if let Err(index) = excluded.binary_search(&runner) {
        excluded.insert(index, runner);
    }
    if excluded.len() > MAX_EXCLUDED_RUNNERS {
        excluded.remove(0);
    }
}

/// Counts the tokens that the next attempt has to compute again, and the lost attempt.
fn count_recomputed_tokens(request: &OwnedRequest, location: &StreamLocation) {
    let tokens = request.prompt_tokens + request.next_offset();
    metrics::counter!("fl_recomputed_tokens_total", "cause" => "new-attempt").increment(tokens);
    metrics::counter!("fl_attempts_lost_total", "runner" => location.runner.clone()).increment(1);
}

fn backoff_delay(retry_count: u32) -> Duration {
    let ceiling = INITIAL_BACKOFF.saturating_mul(1 << retry_count.min(6)).min(MAX_BACKOFF);
    ceiling.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

async fn clean_up(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
) {
    match request.progress() {
        ResponseProgress::Running | ResponseProgress::Moved => return,
        ResponseProgress::Complete => {
            services.events.record(EventKind::Whole, Some(request.id), String::new());
        }
        ResponseProgress::Failed(_) => {
            if let Some(location) = request.stream_location() {
                services.router.record_end(request.id, &location.runner);
                attempt::cancel_in_background(requests, &location);
            }
        }
    }
    guardian::drop_replica(services, request).await;
}
