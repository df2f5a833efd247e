//! One call that this node sends to a server for a peer, and the response that it passes on.

use super::message::{ProxiedCall, ProxyFailure, mark_unframed};
use crate::attempt::is_final_status;
use crate::connection_pool::{Connection, SendError, send_on_pooled};
use crate::crash_suspects::{BrokenCall, note_broken_connection};
use crate::links;
use crate::log::event::CallProxied;
use crate::node::{ActiveCallGuard, Node};
use crate::servers::{InFlightCall, Servers, note_load, note_response};
use bytes::Bytes;
use fl_clients::{ActiveRequest, BodyReader};
use fl_protocol::forward::ServerEntry;
use futures::stream;
use http::{HeaderMap, Request, Response, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the body of a peer's request may take, for the same reason.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// A frame below this size is copied, so that it does not keep the buffer alive that it came in.
const COPIED_FRAME_BYTES_MAX: usize = 4 * 1024;

pub(super) type ResponseBody = UnsyncBoxBody<Bytes, ResponseBroken>;

/// the server's response broke off
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(super) struct ResponseBroken;

/// A call of a peer's caller that this node sends to a server.
pub(super) struct Exchange {
    node: Arc<Node>,
    call: ProxiedCall,
    server: ServerEntry,
    peer: SocketAddr,
    sent_at: Instant,
    _active_call: ActiveCallGuard,
    _in_flight: InFlightCall,
    _active_request: ActiveRequest,
}

/// A response that is passed on to the peer.
struct PassedResponse {
    exchange: Exchange,
    body: Incoming,
    /// Taken when it is returned to the pool.
    connection: Option<Connection>,
    /// Whether the response answers the call, so that the connection may serve another one.
    is_answer: bool,
    outcome: &'static str,
}

impl Exchange {
    pub(super) fn begin(
        node: &Arc<Node>,
        call: ProxiedCall,
        server: ServerEntry,
        peer: SocketAddr,
        active_request: ActiveRequest,
    ) -> Result<Self, ProxyFailure> {
        let in_flight = Servers::begin_proxied_call(node, &server);
        Ok(Exchange {
            node: node.clone(),
            call,
            server,
            peer,
            sent_at: Instant::now(),
            _active_call: ActiveCallGuard::begin(node),
            _in_flight: in_flight.map_err(|_| ProxyFailure::Denied)?,
            _active_request: active_request,
        })
    }

    /// Sends the request to the server; returns its response, whose body follows.
    pub(super) async fn send(
        self,
        request: Request<Incoming>,
        body_reader: &BodyReader,
    ) -> Result<Response<ResponseBody>, ProxyFailure> {
        let sent = self.send_to_server(request, body_reader).await;
        let (connection, response) = match sent {
            Ok(sent) => sent,
            Err(failure) => {
                self.log_end(failure.name());
                return Err(failure);
            }
        };
        if !is_final_status(response.status()) {
            self.log_end(ProxyFailure::Lost.name());
            return Err(ProxyFailure::Lost);
        }
        let (mut parts, body) = response.into_parts();
        let head = self.node.platform.codec.parse_response(&self.call.call_id, &parts);
        let is_answer = head.matches_call && !head.is_misdirected;
        if is_answer {
            note_response(&self.node, &self.server.name, &head.notices);
            note_load(&self.node, &self.server.name, head.load);
        }
        let mut connection = connection;
        connection.set_keep_alive(head.keep_alive);
        prepare_headers(&mut parts.headers);
        let passed = PassedResponse {
            exchange: self,
            body,
            connection: Some(connection),
            is_answer,
            outcome: "the peer left",
        };
        Ok(Response::from_parts(parts, passed.into_body()))
    }

    async fn send_to_server(
        &self,
        request: Request<Incoming>,
        body_reader: &BodyReader,
    ) -> Result<(Connection, Response<Incoming>), ProxyFailure> {
        let (parts, body) = request.into_parts();
        let bytes_max = self.node.route_table.current().limits.body_bytes;
        let reading = tokio::time::timeout(BODY_TIMEOUT, body_reader.read(body, bytes_max));
        // Whatever the reason is, nothing was sent, which nodes of any version understand.
        let body = reading.await.map_err(|_| ProxyFailure::NotReached)?;
        let body = body.map_err(|_| ProxyFailure::NotReached)?;
        let build = || {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = parts.method.clone();
            *request.uri_mut() = parts.uri.clone();
            *request.headers_mut() = parts.headers.clone();
            Ok(request)
        };
        let address = self.server.address;
        let open = links::open(&self.node, address);
        self.node.links.record_sent();
        let sent = send_on_pooled(&self.node.connections, address, open, build).await;
        match sent {
            Ok(sent) => {
                self.node.links.record_received();
                Ok(sent)
            }
            Err(SendError::NotConnected(_) | SendError::NotSent(_)) => {
                Err(ProxyFailure::NotReached)
            }
            Err(_) => Err(match self.note_broken_connection().await {
                true => ProxyFailure::Crashed,
                false => ProxyFailure::Lost,
            }),
        }
    }

    /// Finds out whether the server crashed under the call. Returns whether it did.
    async fn note_broken_connection(&self) -> bool {
        let broken = BrokenCall {
            call_id: &self.call.call_id,
            suspect_keys: &self.call.suspect_keys,
            sent_at: self.sent_at,
        };
        note_broken_connection(&self.node, broken, &self.server).await
    }

    fn log_end(&self, outcome: &'static str) {
        metrics::counter!("fl_calls_proxied_total", "outcome" => outcome).increment(1);
        self.node.log.write(&CallProxied {
            request_id: &self.call.call_id,
            server: &self.server.name,
            peer: self.peer.ip(),
            outcome,
            held_ms: self.sent_at.elapsed().as_millis() as u64,
        });
    }
}

impl PassedResponse {
    fn into_body(self) -> ResponseBody {
        let frames = stream::unfold(Some(self), |passed| async move {
            let mut passed = passed?;
            match passed.body.frame().await {
                Some(Ok(frame)) => {
                    passed.exchange.node.links.record_received();
                    let data = detach(frame.into_data().unwrap_or_default());
                    // The peer reads no further than the length of the response.
                    let rest = match passed.body.is_end_stream() {
                        true => passed.end(),
                        false => Some(passed),
                    };
                    Some((Ok(Frame::data(data)), rest))
                }
                Some(Err(_)) => {
                    passed.outcome = "broken off";
                    passed.connection = None;
                    passed.exchange.note_broken_connection().await;
                    Some((Err(ResponseBroken), None))
                }
                None => {
                    passed.end();
                    None
                }
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Ends a whole response; its connection is kept for the next call.
    fn end(mut self) -> Option<Self> {
        self.outcome = "whole";
        if let Some(connection) = self.connection.take_if(|_| self.is_answer) {
            let (node, service) =
                (self.exchange.node.clone(), self.exchange.server.service.clone());
            tokio::spawn(async move { node.keep_connection(connection, &service).await });
        }
        None
    }
}

impl Drop for PassedResponse {
    fn drop(&mut self) {
        self.exchange.log_end(self.outcome);
    }
}

/// Copies a small frame, which else keeps a larger buffer alive until the peer reads it.
fn detach(data: Bytes) -> Bytes {
    match data.len() < COPIED_FRAME_BYTES_MAX {
        true => Bytes::copy_from_slice(&data),
        false => data,
    }
}

/// Takes out what concerns only the connection to the server.
fn prepare_headers(headers: &mut HeaderMap) {
    let is_framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if !is_framed {
        mark_unframed(headers);
    }
    for name in [header::CONNECTION, header::TRANSFER_ENCODING] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
