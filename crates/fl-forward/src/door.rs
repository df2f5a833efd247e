//! The callers' door: connections bounded in head, body and time, and one answer a request.

use crate::admit::{Admitted, admit};
use crate::answer::{Answer, AnswerBody, EventRelay, RelayStep};
use crate::channels::set_socket_options;
use crate::drive::{Call, Progress, drive};
use crate::head_clock::{HeadClock, TimedConnection};
use crate::log::event::{CallEnded, CallRefused};
use crate::node::{CallUnderWay, Node};
use bytes::Bytes;
use fl_kernel::forward::Refusal;
use fl_protocol::forward::{CallHead, CallerLimits};
use futures::stream;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// The smallest buffer the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8192;

type ReplyBody = UnsyncBoxBody<Bytes, BrokenOff>;

#[derive(Debug, displaydoc::Display, thiserror::Error)]
/// the answer broke off before it was whole
pub struct BrokenOff;

/// Accepts callers until the node ends.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    while let Some(accepted) = node.closing.run_until_cancelled(listener.accept()).await {
        if let Ok((stream, _)) = accepted {
            tokio::spawn(serve(node.clone(), stream));
        }
    }
}

/// Serves one connection; when the node stops, the answer under way is finished first.
async fn serve(node: Arc<Node>, stream: TcpStream) {
    // A connection that broke before it was set up ends at its first read.
    let _ = set_socket_options(&stream);
    let limits = node.declared.table().limits;
    let clock = HeadClock::new(limits.head_timeout, limits.idle_timeout);
    let io = TokioIo::new(TimedConnection::new(stream, clock.clone()));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let service_node = node.clone();
    let service = service_fn(move |request| {
        clock.head_read();
        let node = service_node.clone();
        let on_answered = AnsweredMark(clock.clone());
        async move { Ok::<_, Infallible>(answer(node, request, limits, on_answered).await) }
    });
    let connection = builder.serve_connection(io, service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        () = node.closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = node.cancel.run_until_cancelled(connection).await;
}

/// Tells the connection's clock that a request was answered, once its answer is gone.
struct AnsweredMark(HeadClock);

impl Drop for AnsweredMark {
    fn drop(&mut self) {
        self.0.answered();
    }
}

/// What is logged of a call, whatever becomes of it.
struct Record {
    node: Arc<Node>,
    head: CallHead,
    admitted: Option<Admitted>,
    received_at: Instant,
    _under_way: CallUnderWay,
}

async fn answer(
    node: Arc<Node>,
    request: Request<Incoming>,
    limits: CallerLimits,
    mark: AnsweredMark,
) -> Response<ReplyBody> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    let mut record = Record {
        node: node.clone(),
        head: CallHead::default(),
        admitted: None,
        received_at,
        _under_way: CallUnderWay::begin(&node),
    };
    match take(&mut record, parts, body, limits).await {
        Ok((answer, progress)) => record.reply(answer, &progress, mark),
        Err((refusal, progress)) => record.refuse(&refusal, &progress, mark),
    }
}

async fn take(
    record: &mut Record,
    parts: http::request::Parts,
    body: Incoming,
    limits: CallerLimits,
) -> Result<(Answer, Progress), (Refusal, Progress)> {
    let node = record.node.clone();
    let unsent = |refusal: Refusal| (refusal, Progress::default());
    let head = node.ports.codec.read_call(&parts);
    record.head = head.map_err(|_| unsent(bad_request("the request's head cannot be read")))?;
    check_length(&parts.headers, limits).map_err(unsent)?;
    let admitted = admit(&node, &record.head, record.received_at).map_err(unsent)?;
    record.admitted = Some(admitted.clone());
    let body = read_body(body, limits, admitted.deadline).await.map_err(unsent)?;
    let call = Call {
        head: record.head.clone(),
        passed: node.ports.codec.passed_headers(&parts.headers),
        parts,
        body,
        admitted,
        received_at: record.received_at,
    };
    drive(&node, Arc::new(call)).await
}

fn check_length(headers: &http::HeaderMap, limits: CallerLimits) -> Result<(), Refusal> {
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let size = announced.and_then(|text| text.parse::<usize>().ok());
    if size.is_some_and(|size| size > limits.body_bytes) {
        return Err(too_large());
    }
    Ok(())
}

async fn read_body(
    body: Incoming,
    limits: CallerLimits,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout_at(deadline, reading).await {
        Err(_) => Err(Refusal {
            status: StatusCode::REQUEST_TIMEOUT,
            reason: "the body did not arrive in time",
            retry_after: None,
        }),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(bad_request("the body broke off")),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
    }
}

fn bad_request(reason: &'static str) -> Refusal {
    Refusal { status: StatusCode::BAD_REQUEST, reason, retry_after: None }
}

fn too_large() -> Refusal {
    let reason = "the body is larger than allowed";
    Refusal { status: StatusCode::PAYLOAD_TOO_LARGE, reason, retry_after: None }
}

impl Record {
    fn refuse(
        self,
        refusal: &Refusal,
        progress: &Progress,
        mark: AnsweredMark,
    ) -> Response<ReplyBody> {
        let status = refusal.status;
        metrics::counter!(
            "fl_calls_refused_total",
            "status" => status.as_u16().to_string(),
            "reason" => refusal.reason
        )
        .increment(1);
        self.node.log.write(&CallRefused {
            request_id: &self.head.id,
            status: status.as_u16(),
            reason: refusal.reason,
            route: self.route(),
            workspace: self.workspace(),
            table_version: self.node.declared.table().version,
            table_age_ms: self.node.declared.age().map(|age| age.as_millis() as u64),
            retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
            sends: progress.sends,
            held_ms: millis(self.received_at),
        });
        let id = Some(self.head.id.as_str()).filter(|id| !id.is_empty());
        let mut response = Response::new(whole_body(Bytes::from_static(refusal.reason.as_bytes())));
        *response.status_mut() = status;
        *response.headers_mut() = self.node.ports.codec.refusal_headers(id, refusal);
        if !self.node.is_ready() {
            close_after(&mut response);
        }
        drop(mark);
        response
    }

    fn reply(self, answer: Answer, progress: &Progress, mark: AnsweredMark) -> Response<ReplyBody> {
        let first_ms = millis(self.received_at);
        let Answer { status, headers, body, server, predicted_ms, in_flight } = answer;
        let ending = Ending {
            record: self,
            status,
            server,
            sends: progress.sends,
            first_ms,
            predicted_ms,
            in_flight,
            outcome: "the caller left",
            _mark: mark,
        };
        let closes = !ending.record.node.is_ready();
        let body = match body {
            AnswerBody::Whole(bytes) => {
                ending.end("whole");
                whole_body(bytes)
            }
            AnswerBody::Events(relay) => event_body(*relay, ending),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if closes {
            close_after(&mut response);
        }
        response
    }

    fn route(&self) -> &str {
        self.admitted.as_ref().map_or("", |admitted| &admitted.route.name)
    }

    fn workspace(&self) -> &str {
        let workspace = self.admitted.as_ref().and_then(|admitted| admitted.workspace.as_deref());
        workspace.unwrap_or("")
    }
}

/// Logs the end of an answered call when it is dropped, whichever way it ended.
struct Ending {
    record: Record,
    status: StatusCode,
    server: String,
    sends: u32,
    first_ms: u64,
    predicted_ms: f64,
    in_flight: u32,
    outcome: &'static str,
    _mark: AnsweredMark,
}

impl Ending {
    fn end(mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        let record = &self.record;
        metrics::counter!("fl_calls_answered_total", "outcome" => self.outcome).increment(1);
        metrics::histogram!("fl_first_byte_seconds").record(self.first_ms as f64 / 1000.0);
        record.node.log.write(&CallEnded {
            request_id: &record.head.id,
            route: record.route(),
            workspace: record.workspace(),
            server: &self.server,
            status: self.status.as_u16(),
            outcome: self.outcome,
            sends: self.sends,
            first_ms: self.first_ms,
            predicted_ms: self.predicted_ms as u64,
            held_ms: millis(record.received_at),
            in_flight: self.in_flight,
        });
    }
}

/// Lets the caller open its next connection, which the balancer gives to a node that is ready.
fn close_after(response: &mut Response<ReplyBody>) {
    response.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
}

fn whole_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn event_body(relay: EventRelay, ending: Ending) -> ReplyBody {
    let events = stream::unfold(Some((relay, ending)), |state| async move {
        let (mut relay, mut ending) = state?;
        let step = relay.step().await;
        ending.server = relay.server().to_string();
        ending.sends = relay.sends();
        match step {
            RelayStep::Event(bytes) => Some((Ok(Frame::data(bytes)), Some((relay, ending)))),
            RelayStep::End => {
                ending.end("whole");
                None
            }
            RelayStep::Broken(reason) => {
                ending.end(reason);
                Some((Err(BrokenOff), None))
            }
        }
    });
    StreamBody::new(events).boxed_unsync()
}

fn millis(since: Instant) -> u64 {
    Duration::as_millis(&since.elapsed()) as u64
}
