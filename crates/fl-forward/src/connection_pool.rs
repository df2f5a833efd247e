//! A pool of idle HTTP connections to backend servers.
//!
//! A connection is pooled only after a response that ended cleanly, and only for an idle time that
//! the server allows: a call that may not be retried must not be sent on a connection that the
//! server may just have closed.

mod head_limit;

use bytes::Bytes;
use fl_limits::node_share::node_share;
use head_limit::{HeadLimit, HeadLimitedStream};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Timeout for opening a connection. A live server accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the kernel closes the connection. A sound
/// server may be silent for a second or two, and the kernel repeats bytes at growing intervals. It
/// also decides when keep-alive probes give up, whatever their number.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3500);
/// How long a connection is idle until the first TCP keep-alive probe is sent.
const TCP_KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Interval of the probes that follow. The kernel takes whole seconds.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes the connection.
const TCP_KEEPALIVE_PROBES: u32 = 3;
/// Size of the kernel's buffer for what a server has sent and the node has not read, as for a stream
/// whose caller reads slowly.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Largest buffer of the HTTP library for a server's connection, and so largest single head.
const LIBRARY_BUFFER_BYTES_MAX: usize = 64 * 1024;
/// How long the rest of a request may take that is still being written when its response has ended.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle limit of connections to a server that states no keep-alive timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Share of the stated keep-alive timeout that is used. The server starts to count it earlier than
/// this node does.
const HTTP_KEEP_ALIVE_SHARE: f64 = 0.6;
/// Most idle connections that a node keeps to one server.
const IDLE_CONNECTIONS_MAX: usize = 32;
/// Share of a server's connection limit that all nodes together keep idle.
const IDLE_SHARE: f64 = 0.7;

/// Errors of sending a call on a connection.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SendError {
    /// the connection could not be opened: {0}; nothing was sent
    NotConnected(String),
    /// the connection closed before the call was written: {0}; nothing was sent
    NotSent(String),
    /// the connection broke after the call was sent: {0}; it may have run
    ConnectionLost(String),
    /// the peer that sent the call on, or its connection, was lost: {0}; it may have run
    PeerLost(String),
    /// the server crashed, as the peer that sent the call on found out; it may have run
    ServerCrashed,
}

/// An open HTTP/1 connection to a backend server, or to a peer that sends calls on.
pub struct Connection {
    leads_to_peer: bool,
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
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
    /// Opens a connection from a local address and starts the task that drives it.
    pub async fn open(source: IpAddr, address: SocketAddr) -> Result<Self, SendError> {
        let connect_error = |error: String| SendError::NotConnected(error);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(source, address)).await;
        let stream = match connecting {
            Err(_) => return Err(connect_error("no answer in time".to_string())),
            Ok(Err(error)) => return Err(connect_error(error.to_string())),
            Ok(Ok(stream)) => stream,
        };
        set_socket_options(&stream).map_err(|error| connect_error(error.to_string()))?;
        // Without it, a connection takes more memory; it works all the same.
        let _ = SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let head_limit = HeadLimit::new();
        let stream = HeadLimitedStream::new(stream, head_limit.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(LIBRARY_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        // An error of the connection is also returned to the call that uses it.
        let io = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            leads_to_peer: false,
            sender,
            head_limit,
            io: io.abort_handle(),
            address,
            idle_limit: DEFAULT_IDLE_LIMIT,
            idle_since: Instant::now(),
        })
    }

    /// Opens a connection to a peer that sends calls on.
    pub async fn open_to_peer(source: IpAddr, peer: SocketAddr) -> Result<Self, SendError> {
        let mut connection = Connection::open(source, peer).await?;
        connection.leads_to_peer = true;
        Ok(connection)
    }

    /// Returns whether it leads to a peer that sends calls on.
    pub fn leads_to_peer(&self) -> bool {
        self.leads_to_peer
    }

    /// Sends a call and returns its response as soon as the head has arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_limit.expect_head();
        let mut failure = match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.on_head();
                return Ok(response);
            }
            Err(failure) => failure,
        };
        // The library returns the request only if it wrote none of it.
        let is_unsent = failure.take_message().is_some();
        let error = failure.error().to_string();
        Err(if is_unsent { SendError::NotSent(error) } else { SendError::ConnectionLost(error) })
    }

    /// Sets the idle limit from the keep-alive timeout that the server stated, if any.
    pub fn set_keep_alive(&mut self, stated: Option<Duration>) {
        self.idle_limit =
            stated.map_or(DEFAULT_IDLE_LIMIT, |idle| idle.mul_f64(HTTP_KEEP_ALIVE_SHARE));
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_limit
    }
}

/// Connects from a local address, by which servers on the platform know the VM.
async fn connect(source: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if source.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

/// Returns how many idle connections each of `nodes` keeps to a server that accepts
/// `connections_max` from all of them; 0 means that the limit is not declared.
pub fn idle_connections_max(connections_max: u32, nodes: usize) -> usize {
    if connections_max == 0 {
        return IDLE_CONNECTIONS_MAX;
    }
    let own_share = node_share(f64::from(connections_max) * IDLE_SHARE, nodes);
    (own_share as usize).clamp(1, IDLE_CONNECTIONS_MAX)
}

/// Sets the socket options that detect connections whose peer is gone.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(TCP_KEEPALIVE_TIME)
        .with_interval(TCP_KEEPALIVE_INTERVAL)
        .with_retries(TCP_KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// A pool of idle connections by server address.
#[derive(Default)]
pub struct ConnectionPool {
    /// Sorted by address; the most recently used connection is last.
    idle: Mutex<Vec<(SocketAddr, Vec<Connection>)>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection that is still usable.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let index = idle.binary_search_by_key(&address, |(known, _)| *known).ok()?;
        let connections = &mut idle[index].1;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool once it is ready for the next call. Its last response must
    /// have ended cleanly.
    ///
    /// It is closed if its request is still being written a second later, or if `idle_connections_max` are pooled for its server, see
    /// [`idle_connections_max`].
    pub async fn put_back(&self, mut connection: Connection, idle_connections_max: usize) {
        let becoming_ready = connection.sender.ready();
        let ready = tokio::time::timeout(READY_TIMEOUT, becoming_ready).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock();
        let index = idle.binary_search_by_key(&connection.address, |(known, _)| *known);
        let index = index.unwrap_or_else(|index| {
            idle.insert(index, (connection.address, Vec::new()));
            index
        });
        if idle[index].1.len() < idle_connections_max {
            idle[index].1.push(connection);
        }
    }

    /// Closes idle connections that are no longer usable, and all to addresses that are not in use.
    pub fn close_unused(&self, in_use: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock();
        for (_, connections) in idle.iter_mut() {
            connections.retain(Connection::is_usable);
        }
        idle.retain(|(address, connections)| in_use(*address) && !connections.is_empty());
    }
}

/// Sends a request on a pooled connection, or on a new one, which `open` opens. A pooled connection
/// that closed before a byte was written says nothing about the server, so a new one follows.
///
/// # Errors
///
/// Returns how opening or sending failed, or the error of `build`, which creates the request.
pub async fn send_on_pooled(
    pool: &ConnectionPool,
    address: SocketAddr,
    open: impl Future<Output = Result<Connection, SendError>>,
    build: impl Fn() -> Result<Request<Full<Bytes>>, SendError>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    if let Some(mut pooled) = pool.take(address) {
        metrics::counter!("fl_connections_reused_total").increment(1);
        match pooled.send(build()?).await {
            Err(SendError::NotSent(_)) => {}
            Err(error) => return Err(error),
            Ok(response) => return Ok((pooled, response)),
        }
    }
    let mut opened = open.await?;
    let response = opened.send(build()?).await?;
    Ok((opened, response))
}
