//! Connections to backend servers, kept between calls.
//!
//! A connection is kept only after an answer that ended cleanly, and only for a while that the
//! server is known to allow: what may not be repeated must not be sent on a connection that the
//! server may just have closed.

use bytes::Bytes;
use fl_limits::shares::share;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long a connection may take to open; a server that lives answers within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two probes of a silent connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Idle time allowed to a server that does not say how long it keeps connections.
const UNSTATED_IDLE: Duration = Duration::from_secs(4);
/// Part of the stated idle time that is used, as the server counts from an earlier moment.
const USED_IDLE_SHARE: f64 = 0.6;
/// Idle connections that are kept to one server whose limit is not declared.
const IDLE_CONNECTIONS_MAX: usize = 32;
/// Part of the connections that a server takes which all nodes together keep idle.
const KEPT_SHARE: f64 = 0.7;

/// Why a call brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SendError {
    /// the connection could not be opened: {0}; nothing was sent
    NotConnected(String),
    /// the connection closed before the call was written: {0}; nothing was sent
    NotSent(String),
    /// the connection broke after the call was sent: {0}; it may have run
    Broken(String),
}

/// One open connection.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    io: AbortHandle,
    address: SocketAddr,
    idle_limit: Duration,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io.abort();
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let failed = |error: String| SendError::NotConnected(error);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connecting {
            Err(_) => return Err(failed("no answer in time".to_string())),
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Ok(Ok(stream)) => stream,
        };
        set_socket_options(&stream).map_err(|error| failed(error.to_string()))?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.to_string()))?;
        // How the connection ends is learned from the calls on it.
        let io = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            io: io.abort_handle(),
            address,
            idle_limit: UNSTATED_IDLE,
            idle_since: Instant::now(),
        })
    }

    /// Sends a call and returns with the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut failed = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        // The library gives a call back of which it wrote nothing.
        let is_unsent = failed.take_message().is_some();
        let error = failed.error().to_string();
        Err(if is_unsent { SendError::NotSent(error) } else { SendError::Broken(error) })
    }

    /// Takes the server's word how long it keeps an idle connection.
    pub fn set_keep_alive(&mut self, stated: Option<Duration>) {
        self.idle_limit = stated.map_or(UNSTATED_IDLE, |idle| idle.mul_f64(USED_IDLE_SHARE));
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_limit
    }
}

/// Idle connections that one of several nodes keeps to a server that takes `connections_max` from
/// all of them; 0 if that is not declared.
pub fn idle_connections_max(connections_max: u32, nodes: usize) -> usize {
    if connections_max == 0 {
        return IDLE_CONNECTIONS_MAX;
    }
    let part = share(f64::from(connections_max) * KEPT_SHARE, nodes);
    (part as usize).clamp(1, IDLE_CONNECTIONS_MAX)
}

/// Detects connections on which nothing arrives any more.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(2))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Idle connections by server address.
#[derive(Default)]
pub struct ConnectionPool {
    /// Sorted by address; the connection used last stands last.
    idle: Mutex<Vec<(SocketAddr, Vec<Connection>)>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is still good.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let place = idle.binary_search_by_key(&address, |(known, _)| *known).ok()?;
        let connections = &mut idle[place].1;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer ended cleanly, once it is ready for the next call.
    ///
    /// At most `idle_connections_max` are kept to one server, see [`idle_connections_max`].
    pub async fn put_back(&self, mut connection: Connection, idle_connections_max: usize) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock();
        let place = idle.binary_search_by_key(&connection.address, |(known, _)| *known);
        let place = place.unwrap_or_else(|place| {
            idle.insert(place, (connection.address, Vec::new()));
            place
        });
        if idle[place].1.len() < idle_connections_max {
            idle[place].1.push(connection);
        }
    }

    /// Closes idle connections whose time is over, and all to addresses that are not in use.
    pub fn close_unused(&self, in_use: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock();
        for (_, connections) in idle.iter_mut() {
            connections.retain(Connection::is_usable);
        }
        idle.retain(|(address, connections)| in_use(*address) && !connections.is_empty());
    }
}
