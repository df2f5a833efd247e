//! The side of the peer: sends one request to a server and returns the response.

use super::message::{PROBE_PATH, ProxiedCall, ProxyFailure, mark_unframed};
use crate::attempt::is_final_status;
use crate::connection_pool::{Connection, SendError, send_on_pooled, set_socket_options};
use crate::crash_suspects::{BrokenCall, accepts_connections, note_broken_connection};
use crate::links;
use crate::log::event::CallProxied;
use crate::node::{ActiveCallGuard, Node};
use crate::servers::{InFlightCall, Servers, note_load, note_response};
use bytes::Bytes;
use fl_clients::{ActiveRequest, BodyReader, ConnectionSlot, TimedConnection, serve_until_closed};
use fl_protocol::forward::ServerEntry;
use futures::stream;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long the head of a peer's request may take. The peer has all of it before it connects.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the body of a peer's request may take, for the same reason.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a peer's connection may stay idle. Peers close theirs earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that are kept for a peer that reads slowly, and largest head of its request.
const BUFFER_BYTES_MAX: usize = 64 * 1024;
/// A frame below this size is copied, so that it does not keep the buffer alive that it came in.
const COPIED_FRAME_BYTES_MAX: usize = 4 * 1024;

type ResponseBody = UnsyncBoxBody<Bytes, ResponseBroken>;

/// the server's response broke off
#[derive(Debug, displaydoc::Display, thiserror::Error)]
struct ResponseBroken;

/// A call of a peer's caller that this node sends to a server.
struct Exchange {
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

/// Accepts the connections of peers until the node closes them to stop.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let accepting = node.clients.peers().accept(&listener, HEAD_TIMEOUT, IDLE_TIMEOUT);
        let Some((stream, peer, slot)) = node.closing.run_until_cancelled(accepting).await else {
            return;
        };
        tokio::spawn(serve_connection(node.clone(), stream, peer, slot));
    }
}

async fn serve_connection(
    node: Arc<Node>,
    stream: TcpStream,
    peer: SocketAddr,
    slot: ConnectionSlot,
) {
    // If setting the options fails, the connection is broken and ends at its first read.
    let _ = set_socket_options(&stream);
    let service_node = node.clone();
    let timer = slot.timer().clone();
    let body_reader = BodyReader::new(&node.clients, &slot);
    let timed = TimedConnection::new(stream, timer.clone()).with_resources(node.clients.clone());
    let service = service_fn(move |request| {
        let node = service_node.clone();
        let active_request = timer.on_head_read();
        let body_reader = body_reader.clone();
        async move {
            let response = handle_request(node, request, peer, active_request, body_reader).await;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(BUFFER_BYTES_MAX)
        .serve_connection(TokioIo::new(timed), service);
    serve_until_closed(connection, slot, &node.closing, &node.cancel).await;
}

async fn handle_request(
    node: Arc<Node>,
    mut request: Request<Incoming>,
    peer: SocketAddr,
    active_request: ActiveRequest,
    body_reader: BodyReader,
) -> Response<ResponseBody> {
    let Some(call) = ProxiedCall::take(request.headers_mut()) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let answered = match find_server(&node, &call.server) {
        Err(failure) => Err(failure),
        Ok(server) if request.uri().path() == PROBE_PATH => probe(&node, &server).await,
        Ok(server) => match Exchange::begin(&node, call, server, peer, active_request) {
            Ok(exchange) => exchange.send(request, &body_reader).await,
            Err(failure) => Err(failure),
        },
    };
    answered.unwrap_or_else(|failure| {
        let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        failure.write(response.headers_mut());
        response
    })
}

/// Returns a server that this node reaches, as far as it knows.
fn find_server(node: &Node, name: &str) -> Result<ServerEntry, ProxyFailure> {
    if node.links.are_lost() {
        return Err(ProxyFailure::NoLinks);
    }
    let usable = node.servers.usable();
    let found = usable.into_iter().find(|entry| entry.name == name);
    found.ok_or(ProxyFailure::UnknownServer)
}

async fn probe(
    node: &Arc<Node>,
    server: &ServerEntry,
) -> Result<Response<ResponseBody>, ProxyFailure> {
    match accepts_connections(node, server).await {
        true => Ok(empty_response(StatusCode::OK)),
        false => Err(ProxyFailure::NotReached),
    }
}

impl Exchange {
    fn begin(
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
    async fn send(
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

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let body = Full::new(Bytes::new()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
