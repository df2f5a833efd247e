//! The HTTP server of a stand-in, which can close or silence its connections on demand.

use crate::http_util::{CloseConnection, HandlerResult};
use crate::silenceable_stream::SilenceableStream;
use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
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

/// An open connection with the flag that silences it.
struct OpenConnection {
    id: ConnectionId,
    silent: Arc<AtomicBool>,
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
}

impl Connections {
    fn add(&self) -> (ConnectionId, Arc<AtomicBool>) {
        let mut state = self.state.lock();
        let id = state.next;
        state.next += 1;
        let silent = Arc::new(AtomicBool::new(false));
        state.open.push(OpenConnection { id, silent: silent.clone() });
        (id, silent)
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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let cancel = CancellationToken::new();
        let tasks = TaskTracker::new();
        let connections = Arc::new(Connections::default());
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
            () = cancel.cancelled() => return,
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
    let (id, silent) = connections.add();
    let io = TokioIo::new(SilenceableStream::new(socket, silent));
    let response = service_fn(|request| handler.handle_request(request, id));
    let connection = http1::Builder::new().serve_connection(io, response);
    tokio::select! {
        _ = connection => {}
        () = handler.cancel.cancelled() => {}
    }
    connections.remove(id);
}
