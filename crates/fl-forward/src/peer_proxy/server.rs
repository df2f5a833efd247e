//! The side of the peer: sends one request to a server and returns the response.

use super::exchange::{Exchange, ResponseBody};
use super::message::{PROBE_PATH, ProxiedCall, ProxyFailure};
use crate::connection_pool::set_socket_options;
use crate::crash_suspects::accepts_connections;
use crate::node::Node;
use bytes::Bytes;
use fl_clients::{ActiveRequest, BodyReader, ConnectionSlot, TimedConnection, serve_until_closed};
use fl_protocol::forward::ServerEntry;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long the head of a peer's request may take. The peer has all of it before it connects.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a peer's connection may stay idle. Peers close theirs earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that are kept for a peer that reads slowly, and largest head of its request.
const BUFFER_BYTES_MAX: usize = 64 * 1024;
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

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let body = Full::new(Bytes::new()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
