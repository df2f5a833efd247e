//! Responses to callers, with the log lines and metrics of each call.

use crate::admission::Admission;
use crate::backend_response::{BackendResponse, BackendResponseBody, EventRelay, RelayStep};
use crate::forwarding::Progress;
use crate::log::event::{CallEnded, CallRefused};
use crate::node::{ActiveCallGuard, Node};
use bytes::Bytes;
use fl_clients::ActiveRequest;
use fl_kernel::forward::Refusal;
use fl_protocol::forward::CallHead;
use fl_routing::server_speed::ServerSpeed;
use futures::stream;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::Frame;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

pub(super) type ResponseBody = UnsyncBoxBody<Bytes, IncompleteResponse>;

#[derive(Debug, displaydoc::Display, thiserror::Error)]
/// the response broke off before it was complete
pub struct IncompleteResponse;

/// The bytes of a whole answer, which are dropped once they are written to the caller.
struct AnswerBytes {
    bytes: Bytes,
    _active_request: ActiveRequest,
}

impl AsRef<[u8]> for AnswerBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What is logged of a call, whether it is answered or refused.
pub(super) struct CallRecord {
    pub(super) node: Arc<Node>,
    pub(super) head: CallHead,
    pub(super) admission: Option<Admission>,
    pub(super) received_at: Instant,
    pub(super) _active_call: ActiveCallGuard,
}

impl CallRecord {
    /// Logs a refused or failed call and builds its response.
    pub(super) fn refuse(
        self,
        refusal: &Refusal,
        progress: &Progress,
        active_request: ActiveRequest,
    ) -> Response<ResponseBody> {
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
            table_version: self.node.route_table.current().version,
            table_age_ms: self.node.route_table.age().map(|age| age.as_millis() as u64),
            retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
            sends: progress.sends,
            held_ms: millis(self.received_at),
        });
        let id = Some(self.head.id.as_str()).filter(|id| !id.is_empty());
        let mut response =
            Response::new(full_body(Bytes::from_static(refusal.reason.as_bytes()), active_request));
        *response.status_mut() = status;
        *response.headers_mut() = self.node.platform.codec.refusal_headers(id, refusal);
        if !self.node.is_ready() {
            set_connection_close(&mut response);
        }
        response
    }

    /// Builds the response to an answered call. The end of the call is logged at once for a full
    /// body, else when the event stream ends or is dropped.
    pub(super) fn respond(
        self,
        backend: BackendResponse,
        progress: &Progress,
        active_request: ActiveRequest,
    ) -> Response<ResponseBody> {
        let first_ms = millis(self.received_at);
        let BackendResponse { status, headers, body, server, peer, predicted_ms, in_flight, speed } =
            backend;
        let end_logger = EndLogger {
            record: self,
            status,
            server,
            peer,
            sends: progress.sends,
            first_ms,
            predicted_ms,
            in_flight,
            speed,
            outcome: "the caller left",
        };
        let must_close = !end_logger.record.node.is_ready();
        let body = match body {
            BackendResponseBody::Full(bytes) => {
                end_logger.end("whole");
                full_body(bytes, active_request)
            }
            BackendResponseBody::Events(relay) => event_body(*relay, end_logger, active_request),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if must_close {
            set_connection_close(&mut response);
        }
        response
    }

    fn route(&self) -> &str {
        self.admission.as_ref().map_or("", |admission| &admission.route.name)
    }

    fn workspace(&self) -> &str {
        let workspace =
            self.admission.as_ref().and_then(|admission| admission.workspace.as_deref());
        workspace.unwrap_or("")
    }
}

/// Logs the end of an answered call when it is dropped, also if the caller disconnects.
struct EndLogger {
    record: CallRecord,
    status: StatusCode,
    server: String,
    peer: Option<SocketAddr>,
    sends: u32,
    first_ms: u64,
    predicted_ms: f64,
    in_flight: u32,
    speed: ServerSpeed,
    outcome: &'static str,
}

impl EndLogger {
    fn end(mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for EndLogger {
    fn drop(&mut self) {
        let record = &self.record;
        metrics::counter!("fl_calls_answered_total", "outcome" => self.outcome).increment(1);
        metrics::histogram!("fl_first_byte_seconds").record(self.first_ms as f64 / 1000.0);
        record.node.log.write(&CallEnded {
            request_id: &record.head.id,
            route: record.route(),
            workspace: record.workspace(),
            server: &self.server,
            peer: self.peer.map(|peer| peer.ip()),
            status: self.status.as_u16(),
            outcome: self.outcome,
            sends: self.sends,
            first_ms: self.first_ms,
            predicted_ms: self.predicted_ms as u64,
            held_ms: millis(record.received_at),
            in_flight: self.in_flight,
            pace: (self.speed.pace * 100.0).round() / 100.0,
            slowdown: self.speed.slowdown,
        });
    }
}

/// Makes the caller open a new connection for its next call, which the load balancer sends to a
/// node that is ready.
fn set_connection_close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
}

fn full_body(bytes: Bytes, active_request: ActiveRequest) -> ResponseBody {
    active_request.on_answer(bytes.len());
    let answer = AnswerBytes { bytes, _active_request: active_request };
    Full::new(Bytes::from_owner(answer)).map_err(|never| match never {}).boxed_unsync()
}

fn event_body(
    relay: EventRelay,
    end_logger: EndLogger,
    active_request: ActiveRequest,
) -> ResponseBody {
    let state = Some((relay, end_logger, active_request));
    let events = stream::unfold(state, |state| async move {
        let (mut relay, mut end_logger, active_request) = state?;
        let step = relay.next_step().await;
        end_logger.server = relay.server().to_string();
        end_logger.peer = relay.peer();
        end_logger.sends = relay.sends();
        match step {
            RelayStep::Event(bytes) => {
                Some((Ok(Frame::data(bytes)), Some((relay, end_logger, active_request))))
            }
            RelayStep::End => {
                end_logger.end("whole");
                None
            }
            RelayStep::Broken(reason) => {
                end_logger.end(reason);
                Some((Err(IncompleteResponse), None))
            }
        }
    });
    StreamBody::new(events).boxed_unsync()
}

fn millis(since: Instant) -> u64 {
    Duration::as_millis(&since.elapsed()) as u64
}
