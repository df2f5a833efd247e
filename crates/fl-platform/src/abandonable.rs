//! HTTP calls of which nothing is delivered any more once they were given up.
//!
//! A socket that is closed in the ordinary way keeps sending what was not acknowledged, with pauses
//! that double. After a lost link heals, a request could so arrive seconds after its timeout. See
//! `docs/design/080-leases-and-fencing.md`.

use crate::http::{HttpError, HttpResponse, read_whole};
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Error of a call that may be prevented before its request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError<E> {
    /// The check failed after the connection had been opened; nothing was sent.
    Prevented(E),
    /// The call failed.
    Http(HttpError),
}

/// Sends a request on a connection of its own and reads the whole response within `timeout`.
///
/// `check` is called once the connection is open, directly before the request is sent, as opening it
/// may take long. After the timeout, what was not delivered yet is discarded.
///
/// # Errors
///
/// Returns the error of `check`, or [`CallError::Http`].
pub async fn send_checked<E>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    check: impl FnOnce() -> Result<(), E>,
) -> Result<HttpResponse, CallError<E>> {
    let uri = request.uri().to_string();
    let call = connect_and_send(address, request, timeout, check);
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Http(HttpError::TimedOut(uri, timeout))),
    }
}

async fn connect_and_send<E>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    check: impl FnOnce() -> Result<(), E>,
) -> Result<HttpResponse, CallError<E>> {
    let uri = request.uri().to_string();
    let not_connected = |_| CallError::Http(HttpError::NotConnected(uri.clone()));
    let lost = |error: hyper::Error| {
        CallError::Http(HttpError::ConnectionLost(uri.clone(), error.to_string()))
    };
    let stream = TcpStream::connect(address).await.map_err(not_connected)?;
    let socket = discard_when_dropped(&stream, timeout).map_err(not_connected)?;
    let request = to_origin_form(request, address);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(lost)?;
    check().map_err(CallError::Prevented)?;
    let answer = async {
        let response = sender.send_request(request).await.map_err(lost)?;
        read_whole(uri.clone(), response, timeout).await.map_err(CallError::Http)
    };
    tokio::pin!(answer);
    let result = tokio::select! {
        // The request is queued before the connection is polled, which then sends it at once.
        biased;
        result = &mut answer => result,
        _ = connection => answer.await,
    };
    if result.is_ok() {
        // Nothing is left to discard. If this fails, the connection is reset, which loses nothing.
        let _ = socket.set_linger(None);
    }
    result
}

/// Makes the kernel discard what the peer has not acknowledged, once the stream is dropped or, if this
/// process stalls, after `timeout`. Returns another handle of its socket, to be dropped with it.
fn discard_when_dropped(stream: &TcpStream, timeout: Duration) -> io::Result<Socket> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream).try_clone()?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(timeout))?;
    Ok(socket)
}

/// Returns the request as a connection to `address` expects it: with a host header and a path alone.
fn to_origin_form(mut request: Request<Full<Bytes>>, address: SocketAddr) -> Request<Full<Bytes>> {
    let path = request.uri().path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    *request.uri_mut() = Uri::from(path);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
