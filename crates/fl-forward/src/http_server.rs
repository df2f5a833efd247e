//! HTTP server for callers: limits the size and duration of each request and answers it.

mod response;

use crate::admission::{Admission, admit};
use crate::attempt::Resumption;
use crate::backend_response::BackendResponse;
use crate::connection_pool::set_socket_options;
use crate::crash_suspects::{self, suspect_keys};
use crate::forwarding::{Call, Progress, forward_call};
use crate::node::{ActiveCallGuard, Node};
use crate::stream_origins::find_origin;
use bytes::Bytes;
use fl_clients::{
    ActiveRequest, BodyError, BodyReader, ConnectionSlot, HeldBytes, INCLUDED_BYTES, NoMemory,
    TimedConnection, serve_until_closed,
};
use fl_kernel::forward::Refusal;
use fl_protocol::forward::{CallHead, RequestLimits};
use fl_protocol::{Fingerprint, hash64};
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use response::{CallRecord, ResponseBody};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// The smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// Retry delay given to callers while memory is short. Bodies that do not go on have made room by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Memory that one part of a prompt takes in all places that keep it while its call is served.
const PROMPT_PART_BYTES: usize = 128;

/// Accepts callers' connections until the node closes them to stop.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let limits = node.route_table.current().limits;
        let callers = node.clients.callers();
        let accepting = callers.accept(&listener, limits.head_timeout, limits.idle_timeout);
        let Some((stream, _, slot)) = node.closing.run_until_cancelled(accepting).await else {
            return;
        };
        tokio::spawn(serve_connection(node.clone(), stream, slot));
    }
}

/// Serves one connection. When the node stops, the current response is completed first.
async fn serve_connection(node: Arc<Node>, stream: TcpStream, slot: ConnectionSlot) {
    // If setting the options fails, the connection is broken and ends at its first read.
    let _ = set_socket_options(&stream);
    let limits = node.route_table.current().limits;
    let timer = slot.timer().clone();
    timer.set_timeouts(limits.head_timeout, limits.idle_timeout);
    let body_reader = BodyReader::new(&node.clients, &slot);
    let timed = TimedConnection::new(stream, timer.clone()).with_resources(node.clients.clone());
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let service_node = node.clone();
    let service = service_fn(move |request| {
        let active_request = timer.on_head_read();
        let body_reader = body_reader.clone();
        let node = service_node.clone();
        // A connection may outlive the route table version that was in force when it began.
        let limits = node.route_table.current().limits;
        timer.set_timeouts(limits.head_timeout, limits.idle_timeout);
        let incoming = IncomingCall { active_request, body_reader, limits };
        async move { Ok::<_, Infallible>(handle_request(node, request, incoming).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(timed), service);
    serve_until_closed(connection, slot, &node.closing, &node.cancel).await;
}

/// What a call needs of the connection that it is received on.
struct IncomingCall {
    /// Dropped when the answer was written.
    active_request: ActiveRequest,
    body_reader: BodyReader,
    limits: RequestLimits,
}

/// Answers one request and logs the outcome.
async fn handle_request(
    node: Arc<Node>,
    request: Request<Incoming>,
    incoming: IncomingCall,
) -> Response<ResponseBody> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    let mut record = CallRecord {
        node: node.clone(),
        head: CallHead::default(),
        admission: None,
        received_at,
        _active_call: ActiveCallGuard::begin(&node),
    };
    match forward(&mut record, parts, body, &incoming).await {
        Ok((response, progress)) => record.respond(response, &progress, incoming.active_request),
        Err((refusal, progress)) => record.refuse(&refusal, &progress, incoming.active_request),
    }
}

/// Reads, admits and forwards a request. Fills `record` on the way, so that a refusal is logged
/// with what is known of the call.
async fn forward(
    record: &mut CallRecord,
    parts: http::request::Parts,
    body: Incoming,
    incoming: &IncomingCall,
) -> Result<(BackendResponse, Progress), (Refusal, Progress)> {
    let node = record.node.clone();
    let before_sending = |refusal: Refusal| (refusal, Progress::default());
    let head = node.platform.codec.parse_request(&parts);
    record.head =
        head.map_err(|_| before_sending(bad_request("the request's head cannot be read")))?;
    check_length(&parts.headers, incoming.limits).map_err(before_sending)?;
    let parts_memory =
        reserve_prompt_parts(&node, &record.head, incoming).await.map_err(before_sending)?;
    let admission = admit(&node, &record.head, record.received_at).map_err(before_sending)?;
    record.admission = Some(admission.clone());
    let body = read_body(body, incoming, admission.deadline).await.map_err(before_sending)?;
    let fingerprint = fingerprint(&parts, &record.head, &admission, &body);
    let suspect_keys = suspect_keys(fingerprint, record.head.model.as_ref());
    crash_suspects::check(&node, &suspect_keys).map_err(before_sending)?;
    let mut admission = admission;
    let origin = find_origin(&node, &record.head, &mut admission).await.map_err(before_sending)?;
    let resumption = Resumption { last_event_id: record.head.last_event_id, origin };
    let call = Call {
        resumption,
        fingerprint,
        suspect_keys,
        head: record.head.clone(),
        forwarded_headers: node.platform.codec.forwarded_headers(&parts.headers),
        parts,
        body,
        admission,
        _parts_memory: parts_memory,
    };
    forward_call(&node, Arc::new(call)).await
}

/// Returns the hash of what stays the same when a caller sends a call again.
fn fingerprint(
    parts: &http::request::Parts,
    head: &CallHead,
    admission: &Admission,
    body: &Bytes,
) -> Fingerprint {
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = admission.workspace.as_deref().unwrap_or_default();
    let mut fields =
        [parts.method.as_str(), &head.host, path, workspace].map(str::as_bytes).to_vec();
    fields.push(body);
    let prompt = head.model.iter().flat_map(|model| &model.parts);
    let part_ids: Vec<[u8; 8]> = prompt.map(|part| part.id.to_be_bytes()).collect();
    fields.extend(part_ids.iter().map(|id| &id[..]));
    hash64(&fields)
}

/// Refuses a request whose announced length is too large, before its body is read.
fn check_length(headers: &http::HeaderMap, limits: RequestLimits) -> Result<(), Refusal> {
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let size = announced.and_then(|text| text.parse::<usize>().ok());
    if size.is_some_and(|size| size > limits.body_bytes) {
        return Err(too_large());
    }
    Ok(())
}

/// Reserves memory for the parts of a prompt, if a call names very many.
async fn reserve_prompt_parts(
    node: &Node,
    head: &CallHead,
    incoming: &IncomingCall,
) -> Result<Option<HeldBytes>, Refusal> {
    let parts = head.model.as_ref().map_or(0, |model| model.parts.len());
    let bytes = parts * PROMPT_PART_BYTES;
    if bytes <= INCLUDED_BYTES {
        return Ok(None);
    }
    let reserved = node.clients.reserve(bytes).await;
    let reservation =
        reserved.map_err(|NoMemory| no_memory("no memory is free for the prompt's parts"))?;
    Ok(Some(incoming.active_request.hold(reservation)))
}

async fn read_body(
    body: Incoming,
    incoming: &IncomingCall,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let reading = incoming.body_reader.read(body, incoming.limits.body_bytes);
    let Ok(read) = tokio::time::timeout_at(deadline, reading).await else {
        return Err(Refusal {
            status: StatusCode::REQUEST_TIMEOUT,
            reason: "the body did not arrive in time",
            retry_after: None,
        });
    };
    read.map_err(|error| match error {
        BodyError::TooLarge => too_large(),
        BodyError::Broken => bad_request("the body broke off"),
        BodyError::NoMemory => no_memory("no memory is free for the body"),
        BodyError::Stopped => no_memory("the body did not go on, and its memory was needed"),
    })
}

fn no_memory(reason: &'static str) -> Refusal {
    let retry_after = Some(NO_MEMORY_RETRY_AFTER);
    Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after }
}

fn bad_request(reason: &'static str) -> Refusal {
    Refusal { status: StatusCode::BAD_REQUEST, reason, retry_after: None }
}

fn too_large() -> Refusal {
    let reason = "the body is larger than allowed";
    Refusal { status: StatusCode::PAYLOAD_TOO_LARGE, reason, retry_after: None }
}
