//! The side of the node that has lost its links: sends a call through a peer.

use super::message::{PROBE_PATH, ProxiedCall, ProxyFailure, restore_headers};
use crate::connection_pool::{Connection, SendError, send_on_pooled};
use crate::forwarding::Call;
use crate::node::Node;
use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt as _};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::IndexedRandom as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Peers that are tried for one attempt. Another one is tried only if nothing was sent.
const PEERS_TRIED: usize = 2;
/// Peers that are asked whether they reach a server.
const PEERS_ASKED: usize = 3;
/// How long peers may take to say whether they reach a server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Refusal text while no peer can be asked.
const NO_PEER: &str = "no peer reaches the servers";

/// A response of a server that came through a peer.
pub struct ProxiedResponse {
    /// The connection to the peer.
    pub connection: Connection,
    /// The server's response.
    pub response: Response<Incoming>,
    /// The peer.
    pub peer: SocketAddr,
}

/// Sends a call to a server through the first of some peers that can; `build` creates the request for the server.
///
/// # Errors
///
/// Returns [`SendError::NotConnected`] if nothing was sent, also because no peer reaches the
/// server. Any other error means that the call may have run.
pub async fn send(
    node: &Node,
    server: &str,
    call: &Call,
    peers: &[SocketAddr],
    build: impl Fn() -> Result<Request<Full<Bytes>>, SendError>,
) -> Result<ProxiedResponse, SendError> {
    let proxied = ProxiedCall {
        server: server.to_string(),
        call_id: call.head.id.clone(),
        suspect_keys: call.suspect_keys.clone(),
    };
    let build = || {
        let mut request = build()?;
        let written = proxied.write(request.headers_mut());
        written.map_err(|error| SendError::NotSent(error.to_string()))?;
        Ok(request)
    };
    let mut unsent = NO_PEER.to_string();
    for peer in peers {
        match send_through(node, *peer, build).await {
            Ok(response) => {
                metrics::counter!("fl_calls_via_peer_total").increment(1);
                return Ok(response);
            }
            Err(SendError::NotConnected(error) | SendError::NotSent(error)) => unsent = error,
            Err(error) => return Err(error),
        }
    }
    Err(SendError::NotConnected(unsent))
}

async fn send_through(
    node: &Node,
    peer: SocketAddr,
    build: impl Fn() -> Result<Request<Full<Bytes>>, SendError>,
) -> Result<ProxiedResponse, SendError> {
    let source = node.settings.peer_address.ip();
    let open = Connection::open_to_peer(source, peer);
    let sent = send_on_pooled(&node.peer_connections, peer, open, build).await;
    let (connection, response) = sent.map_err(|error| match error {
        SendError::ConnectionLost(error) => SendError::PeerLost(error),
        unsent => unsent,
    })?;
    let Some(failure) = ProxyFailure::read(response.headers()) else {
        let (mut parts, body) = response.into_parts();
        restore_headers(&mut parts.headers);
        let response = Response::from_parts(parts, body);
        return Ok(ProxiedResponse { connection, response, peer });
    };
    drop(response);
    node.keep_connection(connection, "").await;
    if failure == ProxyFailure::NoLinks {
        node.peers.note_links_lost(peer);
    }
    Err(match failure {
        ProxyFailure::Crashed => SendError::ServerCrashed,
        ProxyFailure::Lost => SendError::PeerLost("the peer's connection broke".to_string()),
        unsent => SendError::NotConnected(format!("through a peer: {}", unsent.name())),
    })
}

/// Returns whether any of some peers reaches a server; false also if there is no peer to ask.
pub async fn reaches_server(node: &Node, server: &str) -> bool {
    let asked = random_peers(node, PEERS_ASKED);
    let mut asking: FuturesUnordered<_> =
        asked.into_iter().map(|peer| peer_reaches_server(node, peer, server)).collect();
    let any = async {
        while let Some(reaches) = asking.next().await {
            if reaches {
                return true;
            }
        }
        false
    };
    tokio::time::timeout(PROBE_TIMEOUT, any).await.unwrap_or(false)
}

async fn peer_reaches_server(node: &Node, peer: SocketAddr, server: &str) -> bool {
    let probe = ProxiedCall {
        server: server.to_string(),
        call_id: String::new(),
        suspect_keys: Vec::new(),
    };
    let build = || {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(PROBE_PATH);
        let written = probe.write(request.headers_mut());
        written.map_err(|error| SendError::NotSent(error.to_string()))?;
        Ok(request)
    };
    match send_through(node, peer, build).await {
        Ok(reached) => {
            drop(reached.response);
            node.keep_connection(reached.connection, "").await;
            true
        }
        Err(_) => false,
    }
}

/// Returns the peers through which one attempt is sent while the links are lost, at random.
pub fn some_peers(node: &Node) -> Vec<SocketAddr> {
    random_peers(node, PEERS_TRIED)
}

fn random_peers(node: &Node, count: usize) -> Vec<SocketAddr> {
    node.peers.proxy_candidates().sample(&mut rand::rng(), count).copied().collect()
}
