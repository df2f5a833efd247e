//! One attempt of a request at one engine, resumed over several connections if needed.
//!
//! The task that runs the request reads the tokens of all its attempts, one attempt after the
//! other. Tokens of an earlier attempt cannot arrive once the next has begun, since their reader is
//! dropped by then.

use super::{ModelRequests, OwnedRequest, ServiceHandles};
use fl_kernel::clock::unix_ms;
use fl_kernel::services::Backend;
use fl_platform::HttpError;
use fl_platform::engine::{EngineError, TokenReader};
use fl_protocol::Fingerprint;
use fl_protocol::engine::StreamRequest;
use fl_protocol::event::EventKind;
use fl_protocol::platform::VmKind;
use fl_protocol::request::StreamLocation;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(1500);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Consecutive connection failures that an attempt tolerates; one more ends it.
const MAX_RESUME_FAILURES: u32 = 2;
const RESUME_BACKOFF: Duration = Duration::from_millis(50);
/// How long before the departure of its runner a response must be complete, in milliseconds; one
/// that would take longer is moved to another runner.
const DEPARTURE_MARGIN_MS: u64 = 500;
/// The assumed time between two tokens of a runner that has reported none, in milliseconds.
const DEFAULT_TOKEN_INTERVAL_MS: u64 = 50;

/// The outcome of an attempt.
pub enum AttemptOutcome {
    /// The engine sent the end marker.
    Complete,
    /// The runner is leaving and would not complete the response in time.
    Leaving,
    /// The runner or its stream is lost, for this reason.
    Lost(String),
}

/// Runs an attempt; if its stream exists at the engine already, it is resumed.
pub async fn run(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    location: &StreamLocation,
) -> AttemptOutcome {
    let mut directory_changes = services.directory.subscribe();
    let reading = read_to_end(requests, services, request, location);
    tokio::pin!(reading);
    loop {
        if must_move(services, request, location) {
            return AttemptOutcome::Leaving;
        }
        tokio::select! {
            end = &mut reading => return end,
            changed = directory_changes.changed() => {
                if changed.is_err() {
                    return reading.await;
                }
            }
        }
    }
}

/// Cancels a stream that is no longer needed; errors are ignored, as the engine may be gone.
pub fn cancel_in_background(requests: &Arc<ModelRequests>, location: &StreamLocation) {
    let engines = requests.engines.clone();
    let location = location.clone();
    requests.context.spawn(async move {
        let _ = engines.cancel(&location.address, &location.stream_id, CANCEL_TIMEOUT).await;
    });
}

async fn read_to_end(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    location: &StreamLocation,
) -> AttemptOutcome {
    let started_at = Instant::now();
    let mut connection = open_stream(requests, services, request, location).await;
    let mut failures = 0;
    let mut was_reached = false;
    loop {
        was_reached |= took_connection(&connection);
        let error = match connection {
            Ok(mut reader) => {
                let before = request.next_offset();
                match read_connection(requests, services, request, &mut reader, started_at).await {
                    Ok(()) => return AttemptOutcome::Complete,
                    Err(error) => {
                        if request.next_offset() > before {
                            failures = 0;
                        }
                        error
                    }
                }
            }
            Err(error) => error,
        };
        match error {
            EngineError::UnknownStream => {
                // A connection broke and the engine no longer knows the stream: it crashed, even if
                // it was restarted so quickly that no connection was refused.
                if failures > 0 && was_reached {
                    report_crash(requests, services, location, &error);
                }
                return AttemptOutcome::Lost(error.to_string());
            }
            EngineError::Refused(..) => return AttemptOutcome::Lost(error.to_string()),
            EngineError::AlreadyStarted => {}
            // The engine kept the connection open: either the stream is queued, or the connection
            // was lost on the way without notice. Resuming shows which, and costs nothing.
            EngineError::TimedOut(_) => failures = 0,
            _ => failures += 1,
        }
        if failures > MAX_RESUME_FAILURES {
            services.directory.mark_contact(&location.runner, false);
            // A server that crashed before the request reached it is no evidence against the
            // request. Neither is one that does not respond at all, since it may only be
            // unreachable.
            if was_reached && is_crash_evidence(&error) {
                report_crash(requests, services, location, &error);
            }
            return AttemptOutcome::Lost(error.to_string());
        }
        if failures > 0 {
            tokio::time::sleep(RESUME_BACKOFF * failures).await;
        }
        services.events.record(EventKind::Resumed, Some(request.id), error.to_string());
        let from = request.next_offset();
        let resumed = requests.engines.resume(
            &location.address,
            &location.stream_id,
            from,
            RESPONSE_HEAD_TIMEOUT,
        );
        connection = resumed.await;
    }
}

/// Returns whether the engine took the connection, whatever it answered.
fn took_connection(connection: &Result<TokenReader, EngineError>) -> bool {
    match connection {
        Err(EngineError::Http(HttpError::TimedOut(..))) => false,
        Err(EngineError::Http(error)) => !error.is_before_send(),
        _ => true,
    }
}

/// Returns whether an error shows that the engine's VM responds but no process takes the
/// connection.
fn is_crash_evidence(error: &EngineError) -> bool {
    let broken = |error: &HttpError| {
        matches!(error, HttpError::NotConnected(_) | HttpError::ConnectionLost(..))
    };
    matches!(error, EngineError::ConnectionLost)
        || matches!(error, EngineError::Http(error) if broken(error))
}

async fn open_stream(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    location: &StreamLocation,
) -> Result<TokenReader, EngineError> {
    services.events.record(EventKind::AttemptStarted, Some(request.id), location.runner.clone());
    let tokens = request.tokens();
    let stream_request = StreamRequest {
        model: request.chat.model.clone(),
        prompt: request.chat.prompt_text(),
        continue_text: tokens.concat(),
        continue_tokens: tokens.len() as u64,
        max_tokens: request.chat.max_tokens,
        priority: request.record().priority,
    };
    let opened = requests
        .engines
        .open(&location.address, &location.stream_id, &stream_request, RESPONSE_HEAD_TIMEOUT)
        .await;
    if opened.is_ok() {
        services.directory.mark_contact(&location.runner, true);
        request.mark_regenerated();
    }
    opened
}

async fn read_connection(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &Arc<OwnedRequest>,
    reader: &mut TokenReader,
    started_at: Instant,
) -> Result<(), EngineError> {
    let limits = &requests.context.settings.limits;
    let mut timeout = limits.first_token_timeout;
    loop {
        let received = reader.next(timeout).await?;
        if !received.tokens.is_empty() {
            if request.next_offset() == 0 {
                services.router.record_first_token(request.id, started_at.elapsed());
                services.events.record(EventKind::FirstToken, Some(request.id), String::new());
            }
            metrics::counter!("fl_tokens_total").increment(received.tokens.len() as u64);
            if !request.append_tokens(received.first_offset, received.tokens) {
                return Err(EngineError::Unreadable("tokens are missing".to_string()));
            }
            timeout = limits.between_tokens_timeout;
        }
        if received.ended {
            return Ok(());
        }
    }
}

/// Returns whether the runner would go away before it completes the response, so that the request
/// must move to another runner.
fn must_move(services: &ServiceHandles, request: &OwnedRequest, location: &StreamLocation) -> bool {
    let backends = services.directory.backends(VmKind::Runner);
    let found = backends.binary_search_by(|backend| backend.vm.name.cmp(&location.runner));
    let Some(backend) = found.ok().and_then(|index| backends.get(index)) else { return false };
    let Some(leaving_at_ms) = backend.leaving_at_ms else { return false };
    let missing = request.chat.max_tokens.saturating_sub(request.next_offset());
    let needed_ms = missing * token_interval_ms(backend) + DEPARTURE_MARGIN_MS;
    unix_ms() + needed_ms > leaving_at_ms
}

fn token_interval_ms(backend: &Backend) -> u64 {
    let reported_ms = backend.load.as_ref().map_or(0, |load| load.between_tokens_ms);
    if reported_ms == 0 { DEFAULT_TOKEN_INTERVAL_MS } else { reported_ms }
}

/// Reports a runner that crashed, with the contents of all requests in flight there.
///
/// The end of a runner that was leaving is no evidence against its requests and is not reported.
fn report_crash(
    requests: &ModelRequests,
    services: &ServiceHandles,
    location: &StreamLocation,
    error: &EngineError,
) {
    let backends = services.directory.backends(VmKind::Runner);
    let leaving = backends
        .iter()
        .any(|backend| backend.vm.name == location.runner && backend.leaving_at_ms.is_some());
    if leaving {
        return;
    }
    let in_flight = in_flight_contents(requests, location);
    if in_flight.is_empty() {
        return;
    }
    let detail = format!("{}: {error}", location.runner);
    services.events.record(EventKind::ServerDied, None, detail);
    services.quarantine.record_server_death(&location.runner, &in_flight);
}

fn in_flight_contents(requests: &ModelRequests, location: &StreamLocation) -> Vec<Fingerprint> {
    let owned = requests.owned.values();
    owned
        .iter()
        .filter(|request| request.is_running_on(&location.runner))
        .filter(|request| request.is_running() && request.mark_crash_counted())
        .map(|request| request.record().fingerprint)
        .collect()
}
