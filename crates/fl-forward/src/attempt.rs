//! One attempt to forward a call: chooses a server, sends the call and reads the response's head.

use crate::connection_pool::{Connection, SendError};
use crate::forwarding::{Call, Progress, refuse_denied, refuse_expired, refuse_failed};
use crate::links;
use crate::node::Node;
use crate::servers::{ChosenServer, InFlightCall, NoServer, ServerRequest, note_response};
use fl_kernel::forward::{Refusal, ResponseHead, SendOptions};
use fl_protocol::forward::ServerEntry;
use fl_routing::stream_origins::StreamOrigin;
use http::Response;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A call with less time left than this is not sent.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// How one attempt at one backend server failed.
#[derive(Debug, Default)]
pub struct AttemptFailure {
    /// A fixed text that names the failure in logs and metrics.
    pub reason: &'static str,
    /// The error's own text, for logs.
    pub error: String,
    /// Whether the call reached the server, or may have.
    pub reached_server: bool,
    /// Whether the call may have run at the server.
    pub may_have_run: bool,
    /// Whether the connection broke after the call was sent, as it does when the server crashes.
    pub broke_connection: bool,
    /// Whether another server uses the address now, so that the intended server received nothing.
    pub is_misdirected: bool,
}

/// A server's response of which only the head was read.
pub struct Attempt {
    /// The server that the call was sent to.
    pub chosen: ChosenServer,
    /// The connection that the response is read from.
    pub connection: Connection,
    /// The decoded head of the response.
    pub head: ResponseHead,
    /// The response, whose body has not been read.
    pub response: Response<Incoming>,
    /// Counts the call as in flight at the server.
    pub in_flight: InFlightCall,
    /// When the call was sent.
    pub sent_at: Instant,
}

/// Where a stream goes on; empty for a call that is for no rest of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Resumption {
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// The service and the software version that sent it.
    pub origin: Option<StreamOrigin>,
}

/// Why an attempt did not get the head of a response.
pub enum AttemptError {
    /// This attempt tried no server; the call is refused.
    Refused(Refusal),
    /// The attempt at this server, begun at this time, failed.
    Failed(Box<ServerEntry>, AttemptFailure, Instant),
}

/// Sends a call to the server that placement prefers and reads the head of its response.
///
/// `resumption` says where a stream goes on, if the call is for the rest of one.
pub async fn send_attempt(
    node: &Arc<Node>,
    call: &Arc<Call>,
    progress: &mut Progress,
    resumption: Resumption,
) -> Result<Attempt, AttemptError> {
    let time_left = call.admission.deadline.saturating_duration_since(Instant::now());
    if time_left < TIME_LEFT_MIN {
        return Err(AttemptError::Refused(refuse_expired(progress)));
    }
    let is_urgent = call.admission.is_urgent;
    let chosen = node.servers.choose(&ServerRequest {
        service: &call.admission.service,
        call: call.head.model.as_ref(),
        is_urgent,
        own_zone: &node.settings.zone,
        excluded_servers: &progress.excluded_servers,
        origin: resumption.origin,
    });
    let chosen = chosen.map_err(|no_server| {
        AttemptError::Refused(match no_server {
            NoServer::NoneUsable => refuse_failed(progress, "no backend server can take the call"),
            NoServer::AllDenied(wait) => refuse_denied(progress, wait),
        })
    })?;
    let in_flight = InFlightCall::begin(node, &chosen, is_urgent);
    let sent_at = Instant::now();
    let sending = send(node, call, &chosen, resumption.last_event_id);
    let sent = tokio::time::timeout_at(call.admission.deadline, sending).await;
    let failure = match sent {
        Ok(Ok((connection, head, response))) => match head_failure(&head) {
            None => {
                progress.sends += 1;
                return Ok(Attempt { chosen, connection, head, response, in_flight, sent_at });
            }
            Some(failure) => failure,
        },
        Ok(Err(error)) => send_failure(&error),
        Err(_) => AttemptFailure {
            reason: "no answer in time",
            reached_server: true,
            may_have_run: true,
            ..AttemptFailure::default()
        },
    };
    progress.sends += u32::from(failure.reached_server && !failure.is_misdirected);
    Err(AttemptError::Failed(Box::new(chosen.entry), failure, sent_at))
}

/// Returns why a response cannot be used, judged by its head; `None` if it can.
fn head_failure(head: &ResponseHead) -> Option<AttemptFailure> {
    let (reason, may_have_run) = if !head.matches_call {
        ("the answer belongs to another call", true)
    } else if head.is_misdirected {
        ("another server is at its address", false)
    } else if head.not_run {
        ("the server did not run it", false)
    } else {
        return None;
    };
    let error = head.status.to_string();
    let is_misdirected = head.matches_call && head.is_misdirected;
    Some(AttemptFailure {
        reason,
        error,
        reached_server: true,
        may_have_run,
        broke_connection: false,
        is_misdirected,
    })
}

fn send_failure(error: &SendError) -> AttemptFailure {
    let reached_server = matches!(error, SendError::ConnectionLost(_));
    let reason = if reached_server { "the connection broke" } else { "the server was not reached" };
    AttemptFailure {
        reason,
        error: error.to_string(),
        reached_server,
        may_have_run: reached_server,
        broke_connection: reached_server,
        is_misdirected: false,
    }
}

async fn send(
    node: &Node,
    call: &Call,
    chosen: &ChosenServer,
    last_event_id: Option<u64>,
) -> Result<(Connection, ResponseHead, Response<Incoming>), SendError> {
    let address = chosen.entry.address;
    let pooled = node.connections.take(address);
    let mut is_pooled = pooled.is_some();
    let mut connection = match pooled {
        Some(connection) => {
            metrics::counter!("fl_connections_reused_total").increment(1);
            connection
        }
        None => links::open(node, address).await?,
    };
    loop {
        let options = SendOptions {
            server: chosen.entry.name.clone(),
            time_left: call.admission.deadline.saturating_duration_since(Instant::now()),
            workspace: call.admission.workspace.clone(),
            last_event_id,
            engine_priority: call.head.model.as_ref().map(|_| call.admission.rank),
        };
        let request = node.platform.codec.build_request(
            &call.parts,
            &call.forwarded_headers,
            call.body.clone(),
            &options,
        );
        let request = request.map_err(|error| SendError::NotSent(error.to_string()))?;
        node.links.record_sent();
        match connection.send(request).await {
            Ok(response) => {
                node.links.record_received();
                let (parts, body) = response.into_parts();
                let head = node.platform.codec.parse_response(&call.head.id, &parts);
                connection.set_keep_alive(head.keep_alive);
                if head.matches_call && !head.is_misdirected {
                    note_response(node, &chosen.entry.name, &head.notices);
                }
                return Ok((connection, head, Response::from_parts(parts, body)));
            }
            // A pooled connection that closed before a byte was written says nothing about the
            // server.
            Err(SendError::NotSent(_)) if is_pooled => {
                is_pooled = false;
                connection = links::open(node, address).await?;
            }
            Err(error) => return Err(error),
        }
    }
}
