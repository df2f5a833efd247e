//! Answers on their way back: read whole, or relayed event by event.

mod relay;

pub use relay::{EventRelay, RelayStep};

use crate::attempt::{Attempt, AttemptFailure};
use crate::forwarding::{Call, Progress};
use crate::node::Node;
use crate::sse::SseSplitter;
use bytes::{Bytes, BytesMut};
use fl_kernel::clock::unix_ms;
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use relay::{Source, next_event};
use std::sync::Arc;
use tokio::time::Instant;

/// Bytes of an answer that is read whole.
const FULL_RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// An answer for a caller.
pub struct BackendResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: BackendResponseBody,
    /// The server that gave it.
    pub server: String,
    /// What was predicted of the wait, in milliseconds.
    pub predicted_ms: f64,
    /// Calls in flight at the server, as believed when it was chosen.
    pub in_flight: u32,
}

/// The body of an answer.
pub enum BackendResponseBody {
    /// All of it.
    Full(Bytes),
    /// Events as they come.
    Events(Box<EventRelay>),
}

/// What came of an answer's beginning.
pub enum ResponseOutcome {
    /// It goes to the caller.
    Response(Box<BackendResponse>),
    /// It cannot be used.
    Failed(AttemptFailure),
}

/// Reads an answer whole, so that a broken one can still be replaced by another or by a failure.
pub async fn read_full_response(
    node: &Arc<Node>,
    call: &Call,
    attempt: Attempt,
    progress: &mut Progress,
) -> ResponseOutcome {
    count_run(node, call, progress);
    progress.may_have_run = true;
    let (parts, body) = attempt.response.into_parts();
    let reading = tokio::time::timeout_at(call.admission.deadline, collect(body)).await;
    let bytes = match reading {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => return broken("the answer broke off", error),
        Err(_) => return broken("the answer was not whole in time", String::new()),
    };
    if attempt.head.status.is_success() && !attempt.head.is_signed {
        return broken("the answer is not signed", String::new());
    }
    let connection = attempt.connection;
    let (keeper, service) = (node.clone(), call.admission.service.clone());
    tokio::spawn(async move { keeper.keep_connection(connection, &service).await });
    ResponseOutcome::Response(Box::new(BackendResponse {
        status: attempt.head.status,
        headers: node.platform.codec.response_headers(&parts.headers),
        body: BackendResponseBody::Full(bytes),
        server: attempt.chosen.entry.name,
        predicted_ms: attempt.chosen.placement.wait_ms,
        in_flight: attempt.chosen.in_flight,
    }))
}

async fn collect(mut body: Incoming) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > FULL_RESPONSE_BYTES_MAX {
            return Err(format!("it is larger than {FULL_RESPONSE_BYTES_MAX} bytes"));
        }
    }
    Ok(bytes.freeze())
}

/// Waits for the first event of a stream, before which another server may still take over.
pub async fn open_stream(
    node: &Arc<Node>,
    call: &Arc<Call>,
    attempt: Attempt,
    progress: &mut Progress,
) -> ResponseOutcome {
    if !attempt.head.is_signed {
        return broken("the answer is not signed", String::new());
    }
    progress.may_have_run = true;
    let (parts, body) = attempt.response.into_parts();
    let mut in_flight = attempt.in_flight;
    let mut splitter = SseSplitter::default();
    let mut body = body;
    let first =
        tokio::time::timeout_at(call.admission.deadline, next_event(&mut body, &mut splitter));
    let first = match first.await {
        Ok(Ok(first)) => first,
        Ok(Err(error)) => return broken("the stream broke off before its first event", error),
        Err(_) => return broken("the stream did not begin in time", String::new()),
    };
    count_run(node, call, progress);
    in_flight.on_first_token(attempt.sent_at.elapsed());
    let server = attempt.chosen.entry.name.clone();
    let source =
        Source { server: server.clone(), body, connection: Some(attempt.connection), in_flight };
    let relay = EventRelay {
        node: node.clone(),
        call: call.clone(),
        progress: progress.clone(),
        source,
        splitter,
        ended: first.is_none(),
        first,
        last_event_id: call.head.last_event_id,
        last_event_at: Instant::now(),
    };
    let mut headers = node.platform.codec.response_headers(&parts.headers);
    // The rest may come from another server, whose part has another length.
    headers.remove(header::CONTENT_LENGTH);
    ResponseOutcome::Response(Box::new(BackendResponse {
        status: attempt.head.status,
        headers,
        body: BackendResponseBody::Events(Box::new(relay)),
        server,
        predicted_ms: attempt.chosen.placement.wait_ms,
        in_flight: attempt.chosen.in_flight,
    }))
}

/// Counts the call as begun, once.
fn count_run(node: &Node, call: &Call, progress: &mut Progress) {
    if progress.usage_counted {
        return;
    }
    progress.usage_counted = true;
    if let Some(workspace) = &call.admission.workspace {
        node.usage.count(workspace, unix_ms(), node.settings.bounds.usage_window);
    }
}

fn broken(reason: &'static str, error: String) -> ResponseOutcome {
    ResponseOutcome::Failed(AttemptFailure {
        reason,
        error,
        reached_server: true,
        may_have_run: true,
        is_misdirected: false,
    })
}
