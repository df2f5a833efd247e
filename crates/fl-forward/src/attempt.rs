//! One attempt to forward a call: chooses a server, sends the call and reads the response's head.

mod failure;

pub use failure::{AttemptFailure, CrashSign, is_final_status};

use crate::connection_pool::{Connection, SendError, send_on_pooled};
use crate::forwarding::{Call, Progress, refuse_denied, refuse_expired, refuse_failed};
use crate::links;
use crate::node::Node;
use crate::peer_proxy;
use crate::peers;
use crate::rollouts::{AnswerWatch, WatchedCall, choose_server};
use crate::servers::{
    ChosenServer, InFlightCall, NoServer, ServerRequest, note_load, note_response,
};
use bytes::Bytes;
use failure::{head_failure, send_failure};
use fl_kernel::forward::{Refusal, ResponseHead, SendOptions};
use fl_protocol::forward::ServerEntry;
use fl_routing::placement::ExpectedCost;
use fl_routing::stream_origins::StreamOrigin;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A call with less time left than this is not sent.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

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
    /// Counts the answer for or against the server's software version.
    pub watch: AnswerWatch,
    /// When the call was sent.
    pub sent_at: Instant,
    /// The peer that sent the call on; `None` if this node reached the server.
    pub peer: Option<SocketAddr>,
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
    if node.links.are_lost() && node.peers.proxy_candidates().is_empty() {
        let refusal = refuse_failed(progress, "no node reaches the backend servers");
        return Err(AttemptError::Refused(refusal));
    }
    let is_urgent = call.admission.is_urgent;
    let request = ServerRequest {
        service: &call.admission.service,
        call: call.head.model.as_ref(),
        is_urgent,
        target: Some(call.admission.route.latency_target),
        expected: ExpectedCost::default(),
        own_zone: &node.settings.zone,
        excluded_servers: &progress.excluded_servers,
        origin: resumption.origin,
        has_links: !node.links.are_lost(),
        versions: None,
    };
    let chosen = choose_server(&node.rollouts, &node.servers, &request).map_err(|no_server| {
        AttemptError::Refused(match no_server {
            NoServer::NoneUsable => refuse_failed(progress, "no backend server can take the call"),
            NoServer::AllDenied(wait) => refuse_denied(progress, wait),
        })
    })?;
    let in_flight = InFlightCall::begin(node, &chosen, &call.admission.route.name, is_urgent);
    if chosen.slot_owners.is_empty() {
        peers::announce_call(node, &chosen, is_urgent);
    }
    let mut watch = AnswerWatch::begin(
        &node.rollouts,
        &WatchedCall {
            request_id: &call.head.id,
            route: &call.admission.route.name,
            prompt_tokens: call.head.model.as_ref().map_or(0, |model| model.prompt_tokens),
            server: &chosen.entry,
        },
    );
    let sent_at = Instant::now();
    let sending = send(node, call, &chosen, resumption.last_event_id);
    let sent = tokio::time::timeout_at(call.admission.deadline, sending).await;
    let failure = match sent {
        Ok(Ok(sent)) => match head_failure(&sent.head) {
            None => {
                progress.sends += 1;
                let SentCall { connection, head, response, peer } = sent;
                return Ok(Attempt {
                    chosen,
                    connection,
                    head,
                    response,
                    in_flight,
                    watch,
                    sent_at,
                    peer,
                });
            }
            Some(failure) => {
                if failure.may_have_run {
                    watch.on_failure(false, &node.log);
                }
                failure
            }
        },
        Ok(Err(error)) => {
            let failure = send_failure(&error);
            if failure.may_have_run {
                watch.on_failure(true, &node.log);
            }
            failure
        }
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

/// A response whose head has arrived.
struct SentCall {
    connection: Connection,
    head: ResponseHead,
    response: Response<Incoming>,
    /// The peer that sent the call on; `None` if this node reached the server.
    peer: Option<SocketAddr>,
}

async fn send(
    node: &Node,
    call: &Call,
    chosen: &ChosenServer,
    last_event_id: Option<u64>,
) -> Result<SentCall, SendError> {
    let build = || build_request(node, call, chosen, last_event_id);
    let goes_to_owner = !chosen.slot_owners.is_empty();
    let direct = match goes_to_owner {
        true => Err(SendError::NotConnected("other nodes have the slots".to_string())),
        false => send_directly(node, chosen, build).await,
    };
    let (mut connection, response, peer) = match direct {
        Ok((connection, response)) => (connection, response, None),
        Err(SendError::NotConnected(_)) if goes_to_owner || node.links.are_lost() => {
            let peers = match goes_to_owner {
                true => chosen.slot_owners.clone(),
                false => peer_proxy::some_peers(node),
            };
            let sent = peer_proxy::send(node, &chosen.entry.name, call, &peers, build).await?;
            (sent.connection, sent.response, Some(sent.peer))
        }
        Err(error) => return Err(error),
    };
    let (parts, body) = response.into_parts();
    let head = node.platform.codec.parse_response(&call.head.id, &parts);
    if peer.is_none() {
        connection.set_keep_alive(head.keep_alive);
    }
    if head.matches_call && !head.is_misdirected {
        note_response(node, &chosen.entry.name, &head.notices);
        note_load(node, &chosen.entry.name, head.load);
    }
    Ok(SentCall { connection, head, response: Response::from_parts(parts, body), peer })
}

/// Sends on this node's own connection to the server. While the links are lost, only a connection
/// that lives on is used, and none is opened.
async fn send_directly(
    node: &Node,
    chosen: &ChosenServer,
    build: impl Fn() -> Result<Request<Full<Bytes>>, SendError>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    let address = chosen.entry.address;
    node.links.record_sent();
    let open = async {
        match node.links.are_lost() {
            true => Err(SendError::NotConnected("the links to the servers are lost".to_string())),
            false => links::open(node, address).await,
        }
    };
    let sent = send_on_pooled(&node.connections, address, open, build).await?;
    node.links.record_received();
    Ok(sent)
}

fn build_request(
    node: &Node,
    call: &Call,
    chosen: &ChosenServer,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, SendError> {
    let options = SendOptions {
        server: chosen.entry.name.clone(),
        time_left: call.admission.deadline.saturating_duration_since(Instant::now()),
        workspace: call.admission.workspace.clone(),
        last_event_id,
        engine_priority: call.head.model.as_ref().map(|_| call.admission.rank),
    };
    let body = call.body.clone();
    let codec = &node.platform.codec;
    let request = codec.build_request(&call.parts, &call.forwarded_headers, body, &options);
    request.map_err(|error| SendError::NotSent(error.to_string()))
}
