//! One attempt at one engine, over as many connections as it takes.
//!
//! The tokens of an attempt are read by the one task that drives the request, so frames of an
//! earlier attempt cannot arrive once the next has begun: their reader no longer exists.

use super::{Links, OwnedRequest, Streams};
use fl_kernel::clock::unix_ms;
use fl_kernel::services::Backend;
use fl_platform::HttpError;
use fl_platform::engine::{EngineError, TokenReader};
use fl_protocol::Fingerprint;
use fl_protocol::engine::StreamOrder;
use fl_protocol::event::EventKind;
use fl_protocol::platform::VmKind;
use fl_protocol::request::StreamPlace;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HEAD_TIMEOUT: Duration = Duration::from_millis(1500);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1000);
const RESUME_TRIES: u32 = 2;
const RESUME_PAUSE: Duration = Duration::from_millis(50);
const LEAVING_MARGIN_MS: u64 = 500;
const DEFAULT_BETWEEN_TOKENS_MS: u64 = 50;

/// How an attempt ended.
pub enum AttemptEnd {
    /// The end marker came.
    Whole,
    /// The runner is leaving before the answer could be whole.
    Leaving,
    /// The runner or its stream is lost, and why.
    Lost(String),
}

/// Runs an attempt; a stream that exists already is resumed.
pub async fn run(
    streams: &Arc<Streams>,
    links: &Links,
    request: &Arc<OwnedRequest>,
    place: &StreamPlace,
) -> AttemptEnd {
    let mut directory_changes = links.directory.subscribe();
    let reading = read_to_end(streams, links, request, place);
    tokio::pin!(reading);
    loop {
        if must_move(links, request, place) {
            return AttemptEnd::Leaving;
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

/// Cancels a stream that is no longer wanted; its engine may be gone.
pub fn cancel_in_background(streams: &Arc<Streams>, place: &StreamPlace) {
    let engines = streams.engines.clone();
    let place = place.clone();
    streams.context.spawn(async move {
        let _ = engines.cancel(&place.address, &place.stream_id, CANCEL_TIMEOUT).await;
    });
}

async fn read_to_end(
    streams: &Arc<Streams>,
    links: &Links,
    request: &Arc<OwnedRequest>,
    place: &StreamPlace,
) -> AttemptEnd {
    let started_at = Instant::now();
    let mut connection = open(streams, links, request, place).await;
    let mut failures = 0;
    let mut reached = false;
    loop {
        reached |= !matches!(connection, Err(EngineError::Http(HttpError::NotConnected(_))));
        let error = match connection {
            Ok(mut reader) => {
                let before = request.next_offset();
                match read_connection(streams, links, request, &mut reader, started_at).await {
                    Ok(()) => return AttemptEnd::Whole,
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
                // A connection broke and the engine came back empty: it died, however short.
                if failures > 0 && reached {
                    report_death(streams, links, place, &error);
                }
                return AttemptEnd::Lost(error.to_string());
            }
            EngineError::Refused(..) => return AttemptEnd::Lost(error.to_string()),
            EngineError::AlreadyStarted => {}
            // The engine held the connection open: the stream is queued or something between the
            // ends lost track of it. Resuming tells which, and costs nothing.
            EngineError::Silent(_) => failures = 0,
            _ => failures += 1,
        }
        if failures > RESUME_TRIES {
            links.directory.mark_contact(&place.runner, false);
            // A server that was dead before the request came is no evidence against it, nor is
            // one that is only silent, as behind a cut.
            if reached && !matches!(error, EngineError::Http(HttpError::TimedOut(..))) {
                report_death(streams, links, place, &error);
            }
            return AttemptEnd::Lost(error.to_string());
        }
        if failures > 0 {
            tokio::time::sleep(RESUME_PAUSE * failures).await;
        }
        links.events.record(EventKind::Resumed, Some(request.id), error.to_string());
        let from = request.next_offset();
        let resumed = streams.engines.resume(&place.address, &place.stream_id, from, HEAD_TIMEOUT);
        connection = resumed.await;
    }
}

async fn open(
    streams: &Arc<Streams>,
    links: &Links,
    request: &Arc<OwnedRequest>,
    place: &StreamPlace,
) -> Result<TokenReader, EngineError> {
    links.events.record(EventKind::AttemptStarted, Some(request.id), place.runner.clone());
    let tokens = request.tokens();
    let order = StreamOrder {
        model: request.chat.model.clone(),
        prompt: request.chat.prompt_text(),
        continue_text: tokens.concat(),
        continue_tokens: tokens.len() as u64,
        max_tokens: request.chat.max_tokens,
        priority: request.record().priority,
    };
    let opened = streams.engines.open(&place.address, &place.stream_id, &order, HEAD_TIMEOUT).await;
    if opened.is_ok() {
        links.directory.mark_contact(&place.runner, true);
        request.generated_anew();
    }
    opened
}

async fn read_connection(
    streams: &Arc<Streams>,
    links: &Links,
    request: &Arc<OwnedRequest>,
    reader: &mut TokenReader,
    started_at: Instant,
) -> Result<(), EngineError> {
    let limits = &streams.context.settings.limits;
    let mut timeout = limits.first_token_timeout;
    loop {
        let run = reader.next(timeout).await?;
        if !run.tokens.is_empty() {
            if request.next_offset() == 0 {
                links.router.first_token(request.id, started_at.elapsed());
                links.events.record(EventKind::FirstToken, Some(request.id), String::new());
            }
            metrics::counter!("fl_tokens_total").increment(run.tokens.len() as u64);
            if !request.append(run.first_offset, run.tokens) {
                return Err(EngineError::Unreadable("tokens are missing".to_string()));
            }
            timeout = limits.between_tokens_timeout;
        }
        if run.ended {
            return Ok(());
        }
    }
}

/// Says whether the runner goes away before the answer can be whole.
fn must_move(links: &Links, request: &OwnedRequest, place: &StreamPlace) -> bool {
    let backends = links.directory.backends(VmKind::Runner);
    let found = backends.binary_search_by(|backend| backend.vm.name.cmp(&place.runner));
    let Some(backend) = found.ok().and_then(|index| backends.get(index)) else { return false };
    let Some(leaving_at_ms) = backend.leaving_at_ms else { return false };
    let missing = request.chat.max_tokens.saturating_sub(request.next_offset());
    let needed_ms = missing * between_tokens_ms(backend) + LEAVING_MARGIN_MS;
    unix_ms() + needed_ms > leaving_at_ms
}

fn between_tokens_ms(backend: &Backend) -> u64 {
    let reported_ms = backend.load.as_ref().map_or(0, |load| load.between_tokens_ms);
    if reported_ms == 0 { DEFAULT_BETWEEN_TOKENS_MS } else { reported_ms }
}

/// Reports a runner that died without notice, with all contents in flight there.
///
/// A runner that is leaving is no evidence against its requests.
fn report_death(streams: &Streams, links: &Links, place: &StreamPlace, error: &EngineError) {
    let backends = links.directory.backends(VmKind::Runner);
    let leaving = backends
        .iter()
        .any(|backend| backend.vm.name == place.runner && backend.leaving_at_ms.is_some());
    if leaving {
        return;
    }
    let in_flight = contents_at(streams, place);
    if in_flight.is_empty() {
        return;
    }
    let detail = format!("{}: {error}", place.runner);
    links.events.record(EventKind::ServerDied, None, detail);
    links.quarantine.server_died(&place.runner, &in_flight);
}

fn contents_at(streams: &Streams, place: &StreamPlace) -> Vec<Fingerprint> {
    let owned = streams.owned.all();
    owned
        .iter()
        .filter(|request| request.is_at(&place.runner))
        .filter(|request| request.is_running() && request.count_death())
        .map(|request| request.record().fingerprint)
        .collect()
}
