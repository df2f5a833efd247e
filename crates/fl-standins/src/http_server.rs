//! The HTTP server of a stand-in, which can close or silence its connections on demand.

use crate::http_util::{CloseConnection, HandlerResult};
use crate::packet_filter::{drop_packets, pass_packets};
use crate::silenceable_stream::SilenceableStream;
use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, Socket};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The pause after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Identifies a connection of one stand-in, counted from 0 in the order of arrival.
pub type ConnectionId = u64;

/// Handles the requests of an HTTP server.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request. An error closes the connection without a response.
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult>;
}

/// An open connection with what silences and ends it.
struct OpenConnection {
    id: ConnectionId,
    silent: Arc<AtomicBool>,
    /// A second handle of its socket.
    socket: Option<Socket>,
    caller: Option<IpAddr>,
    reset: CancellationToken,
}

/// What a cut does to the connections that are open when it begins. New ones are never answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// They hang: packets are dropped both ways, unacknowledged.
    Hang,
    /// They are reset.
    Reset,
    /// They live on.
    Spare,
}

/// The open connections of a stand-in.
#[derive(Default)]
pub struct Connections {
    state: Mutex<ConnectionsState>,
}

#[derive(Default)]
struct ConnectionsState {
    next: ConnectionId,
    /// Sorted by id.
    open: Vec<OpenConnection>,
    /// A second handle of the listener.
    listener: Option<Socket>,
    /// Callers that are cut off.
    cut_off: Vec<Ipv4Addr>,
}

impl Connections {
    fn add(&self, socket: &TcpStream) -> (ConnectionId, Arc<AtomicBool>, CancellationToken) {
        let mut state = self.state.lock();
        let id = state.next;
        state.next += 1;
        let silent = Arc::new(AtomicBool::new(false));
        let reset = CancellationToken::new();
        state.open.push(OpenConnection {
            id,
            silent: silent.clone(),
            socket: SockRef::from(socket).try_clone().ok(),
            caller: socket.peer_addr().ok().map(|address| address.ip()),
            reset: reset.clone(),
        });
        (id, silent, reset)
    }

    /// Cuts callers off by their addresses, in place of those that were.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel does not take the filter of a socket.
    pub fn cut_off(&self, callers: &[Ipv4Addr], kind: CutKind) -> io::Result<()> {
        let mut state = self.state.lock();
        state.cut_off = callers.to_vec();
        if let Some(listener) = &state.listener {
            drop_packets(SockRef::from(listener), callers)?;
        }
        let is_cut_off = |open: &&OpenConnection| match open.caller {
            Some(IpAddr::V4(caller)) => callers.contains(&caller),
            _ => false,
        };
        for open in state.open.iter().filter(is_cut_off) {
            let Some(socket) = &open.socket else { continue };
            match kind {
                CutKind::Hang => drop_packets(SockRef::from(socket), callers)?,
                CutKind::Reset => {
                    socket.set_linger(Some(Duration::ZERO))?;
                    open.reset.cancel();
                }
                CutKind::Spare => {}
            }
        }
        Ok(())
    }

    /// Ends the cut.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel does not take the filter of a socket away.
    pub fn reconnect(&self) -> io::Result<()> {
        let mut state = self.state.lock();
        state.cut_off.clear();
        let sockets = state.open.iter().filter_map(|open| open.socket.as_ref());
        for socket in sockets.chain(&state.listener) {
            pass_packets(SockRef::from(socket))?;
        }
        Ok(())
    }

    /// Notes the listener, or that it is closed.
    fn set_listener(&self, listener: Option<&TcpListener>) -> io::Result<()> {
        let mut state = self.state.lock();
        let handle = listener.map(|listener| SockRef::from(listener).try_clone()).transpose()?;
        if let Some(listener) = handle.as_ref().filter(|_| !state.cut_off.is_empty()) {
            drop_packets(SockRef::from(listener), &state.cut_off)?;
        }
        state.listener = handle;
        Ok(())
    }

    fn remove(&self, id: ConnectionId) {
        let mut state = self.state.lock();
        if let Ok(index) = state.open.binary_search_by_key(&id, |open| open.id) {
            state.open.remove(index);
        }
    }

    /// Silences every open connection but `exempt`, permanently.
    pub fn silence_all_but(&self, exempt: Option<ConnectionId>) {
        for open in &self.state.lock().open {
            if Some(open.id) != exempt {
                open.silent.store(true, Ordering::Release);
            }
        }
    }

    /// Returns how many connections were accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.state.lock().next
    }
}

/// A listening HTTP server. Dropping it closes the listener and all connections.
pub struct HttpServer {
    address: SocketAddr,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Binds the address and serves requests until the server is stopped or dropped.
    pub async fn start(
        address: SocketAddr,
        service: Arc<impl RequestHandler>,
    ) -> io::Result<HttpServer> {
        HttpServer::start_with(address, service, Arc::default()).await
    }

    /// Like [`HttpServer::start`], with connections that are shared with earlier servers at the
    /// address, so that a cut outlives a restart.
    pub async fn start_with(
        address: SocketAddr,
        service: Arc<impl RequestHandler>,
        connections: Arc<Connections>,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address).await?;
        connections.set_listener(Some(&listener))?;
        let address = listener.local_addr()?;
        let cancel = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(serve(listener, service, connections, cancel.clone(), tasks.clone()));
        Ok(HttpServer { address, cancel, tasks })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and waits until all tasks have ended.
    pub async fn stop(&self) {
        self.cancel.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Waits until the server has been stopped.
    pub async fn wait_stopped(&self) {
        self.cancel.cancelled().await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Accepts connections until cancelled. The listener closes on return.
pub async fn serve(
    listener: TcpListener,
    service: Arc<impl RequestHandler>,
    connections: Arc<Connections>,
    cancel: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cancel.cancelled() => {
                let _ = connections.set_listener(None);
                return;
            }
        };
        match accepted {
            Ok((socket, _)) => {
                let handler = ConnectionHandler {
                    service: service.clone(),
                    cancel: cancel.clone(),
                    tasks: tasks.clone(),
                };
                tasks.spawn(serve_connection(socket, handler, connections.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

/// Runs the request handler for the requests of one connection.
struct ConnectionHandler<A> {
    service: Arc<A>,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

impl<A: RequestHandler> ConnectionHandler<A> {
    /// Handles a request in a separate task, so that a request that has arrived takes effect even
    /// if its caller disconnects.
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        connection: ConnectionId,
    ) -> HandlerResult {
        let response = self.service.clone().handle_request(request, connection);
        let response = self.cancel.clone().run_until_cancelled_owned(response);
        match self.tasks.spawn(response).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => Err(CloseConnection),
        }
    }
}

async fn serve_connection(
    socket: TcpStream,
    handler: ConnectionHandler<impl RequestHandler>,
    connections: Arc<Connections>,
) {
    // Tokens are small writes that the caller waits for; Nagle's algorithm would delay them.
    let _ = socket.set_nodelay(true);
    let (id, silent, reset) = connections.add(&socket);
    let io = TokioIo::new(SilenceableStream::new(socket, silent));
    let response = service_fn(|request| handler.handle_request(request, id));
    let connection = http1::Builder::new().serve_connection(io, response);
    tokio::select! {
        _ = connection => {}
        () = handler.cancel.cancelled() => {}
        () = reset.cancelled() => {}
    }
    connections.remove(id);
}
