//! Responses of backend servers: read in full, or relayed event by event.

mod relay;

pub use relay::{EventRelay, RelayStep};

use crate::attempt::{Attempt, AttemptFailure, CrashSign};
use crate::crash_suspects;
use crate::forwarding::{Call, Progress};
use crate::log::event::StreamTakenUp;
use crate::node::Node;
use crate::stream_origins;
use bytes::Bytes;
use fl_clients::{ClientResources, NoMemory, ReservedBuffer};
use fl_kernel::clock::unix_ms;
use fl_protocol::forward::ServerEntry;
use fl_routing::server_speed::ServerSpeed;
use fl_routing::stream_origins::StreamOrigin;
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use relay::EventSource;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Size limit of a body that is read in full.
const FULL_RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// A backend server's response for a caller.
pub struct BackendResponse {
    /// The server's HTTP status.
    pub status: StatusCode,
    /// The headers that are returned to the caller.
    pub headers: HeaderMap,
    /// The body, complete or as a stream of events.
    pub body: BackendResponseBody,
    /// The server that sent it.
    pub server: String,
    /// The peer through which it came; `None` if this node reached the server.
    pub peer: Option<SocketAddr>,
    /// The wait in milliseconds that was predicted at placement.
    pub predicted_ms: f64,
    /// Estimate of the calls in flight at the server when it was chosen.
    pub in_flight: u32,
    /// The server's speed when it was chosen.
    pub speed: ServerSpeed,
}

/// The body of a backend server's response.
pub enum BackendResponseBody {
    /// The complete body.
    Full(Bytes),
    /// The events of a stream, relayed as they arrive.
    Events(Box<EventRelay>),
}

/// The outcome of reading a response, in full or up to its first event.
pub enum ResponseOutcome {
    /// The response for the caller.
    Response(Box<BackendResponse>),
    /// The response broke off or is invalid; the call may be retried.
    Failed(AttemptFailure),
}

/// Reads a response in full, so that the call can still be retried or refused if it breaks off.
pub async fn read_full_response(
    node: &Arc<Node>,
    call: &Call,
    mut attempt: Attempt,
    progress: &mut Progress,
) -> ResponseOutcome {
    count_usage(node, call, progress);
    progress.may_have_run = true;
    let (parts, body) = attempt.response.into_parts();
    let reading = read_body(body, &node.clients);
    let reading = tokio::time::timeout_at(call.admission.deadline, reading).await;
    let bytes = match reading {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            let broke_connection = matches!(error, BodyError::Broken(_));
            attempt.watch.on_failure(broke_connection, &node.log);
            let crash_sign = CrashSign::after(broke_connection, attempt.peer);
            let failure = failure("the answer broke off", error.to_string());
            return ResponseOutcome::Failed(AttemptFailure { crash_sign, ..failure });
        }
        Err(_) => return fail("the answer was not whole in time", String::new()),
    };
    if attempt.head.status.is_success() && !attempt.head.is_signed {
        attempt.watch.on_failure(false, &node.log);
        return fail("the answer is not signed", String::new());
    }
    if attempt.head.status.is_success() {
        crash_suspects::note_answer(node, call);
    }
    attempt.watch.on_whole(&node.log);
    let connection = attempt.connection;
    let (pool_node, service) = (node.clone(), call.admission.service.clone());
    tokio::spawn(async move { pool_node.keep_connection(connection, &service).await });
    ResponseOutcome::Response(Box::new(BackendResponse {
        status: attempt.head.status,
        headers: node.platform.codec.response_headers(&parts.headers),
        body: BackendResponseBody::Full(bytes),
        server: attempt.chosen.entry.name,
        peer: attempt.peer,
        predicted_ms: attempt.chosen.placement.wait_ms,
        in_flight: attempt.chosen.in_flight,
        speed: attempt.chosen.speed,
    }))
}

/// Why a body cannot be read in full.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum BodyError {
    /// the connection broke: {0}
    Broken(hyper::Error),
    /// the body is larger than 8 MiB
    TooLarge,
    /// no memory is free for the body
    NoMemory(#[from] NoMemory),
}

async fn read_body(mut body: Incoming, clients: &ClientResources) -> Result<Bytes, BodyError> {
    let mut bytes = ReservedBuffer::for_answer(clients, FULL_RESPONSE_BYTES_MAX);
    if let Some(announced) = body.size_hint().exact() {
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > FULL_RESPONSE_BYTES_MAX {
            return Err(BodyError::TooLarge);
        }
        bytes.reserve(announced).await?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Broken)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        if bytes.len() + data.len() > FULL_RESPONSE_BYTES_MAX {
            return Err(BodyError::TooLarge);
        }
        bytes.push(data).await?;
    }
    Ok(bytes.into_bytes())
}

/// Waits for the first event of a stream. Until then, the call can still be retried at another
/// server.
pub async fn open_stream(
    node: &Arc<Node>,
    call: &Arc<Call>,
    mut attempt: Attempt,
    progress: &mut Progress,
) -> ResponseOutcome {
    if !attempt.head.is_signed {
        attempt.watch.on_failure(false, &node.log);
        return fail("the answer is not signed", String::new());
    }
    progress.may_have_run = true;
    let mut headers = node.platform.codec.response_headers(attempt.response.headers());
    let (status, placement) = (attempt.head.status, attempt.chosen.placement);
    let (in_flight, speed) = (attempt.chosen.in_flight, attempt.chosen.speed);
    let mut source = EventSource::new(node, attempt);
    let first_event = tokio::time::timeout_at(call.admission.deadline, source.next_event());
    let first_event = match first_event.await {
        Ok(Ok(first_event)) => first_event,
        Ok(Err(error)) => {
            let reason = "the stream broke off before its first event";
            source.watch.on_failure(true, &node.log);
            return ResponseOutcome::Failed(error.into_failure(reason, source.peer));
        }
        Err(_) => return fail("the stream did not begin in time", String::new()),
    };
    count_usage(node, call, progress);
    source.on_first_token();
    source.watch.on_first_event(&node.log);
    log_taken_up(node, call, &source.server);
    let origin = StreamOrigin::of(&source.server);
    let route = &call.admission.route;
    let is_origin_stored = !route.is_resumable_stream() || node.stream_origins.is_stored(route);
    if first_event.is_some() && route.is_resumable_stream() {
        stream_origins::announce(node, &call.head, route, origin);
    }
    let (server, peer) = (source.server.name.clone(), source.peer);
    let relay = EventRelay {
        node: node.clone(),
        call: call.clone(),
        progress: progress.clone(),
        source,
        origin,
        is_origin_stored,
        has_ended: first_event.is_none(),
        first_event,
        last_event_id: call.head.last_event_id,
        last_event_at: Instant::now(),
    };
    // The rest may come from another server, so the length is not known.
    headers.remove(header::CONTENT_LENGTH);
    ResponseOutcome::Response(Box::new(BackendResponse {
        status,
        headers,
        body: BackendResponseBody::Events(Box::new(relay)),
        server,
        peer,
        predicted_ms: placement.wait_ms,
        in_flight,
        speed,
    }))
}

/// Logs that a stream goes on which an earlier attempt of the caller began.
fn log_taken_up(node: &Node, call: &Call, server: &ServerEntry) {
    let Some(last_event_id) = call.head.last_event_id else { return };
    node.log.write(&StreamTakenUp {
        request_id: &call.head.id,
        resumed_attempt: call.head.resumed_attempt.as_deref().unwrap_or_default(),
        last_event_id,
        server: &server.name,
        software_version: &server.software_version,
    });
}

/// Counts the call for the usage report, at most once.
fn count_usage(node: &Node, call: &Call, progress: &mut Progress) {
    if progress.usage_counted {
        return;
    }
    progress.usage_counted = true;
    if let Some(workspace) = &call.admission.workspace {
        node.usage.count(workspace, unix_ms(), node.settings.bounds.usage_window);
    }
}

fn fail(reason: &'static str, error: String) -> ResponseOutcome {
    ResponseOutcome::Failed(failure(reason, error))
}

fn failure(reason: &'static str, error: String) -> AttemptFailure {
    AttemptFailure {
        reason,
        error,
        reached_server: true,
        may_have_run: true,
        ..AttemptFailure::default()
    }
}
