//! Accepts connections for a stand-in and ends or silences them on demand.

use crate::http_util::{CloseConnection, HandlerResult};
use crate::silence::SilenceableStream;
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

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Counts the connections of one stand-in.
pub type ConnectionId = u64;

/// RequestHandler requests; an error closes the connection without an answer.
pub trait RequestHandler: Send + Sync + 'static {
    /// RequestHandler one request.
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult>;
}

struct OpenConnection {
    number: ConnectionId,
    silent: Arc<AtomicBool>,
}

/// The open connections, sorted by number.
#[derive(Default)]
pub struct Connections {
    state: Mutex<ConnectionsState>,
}

#[derive(Default)]
struct ConnectionsState {
    next: ConnectionId,
    open: Vec<OpenConnection>,
}

impl Connections {
    fn add(&self) -> (ConnectionId, Arc<AtomicBool>) {
        let mut state = self.state.lock();
        let number = state.next;
        state.next += 1;
        let silent = Arc::new(AtomicBool::new(false));
        state.open.push(OpenConnection { number, silent: silent.clone() });
        (number, silent)
    }

    fn remove(&self, number: ConnectionId) {
        let mut state = self.state.lock();
        if let Ok(index) = state.open.binary_search_by_key(&number, |open| open.number) {
            state.open.remove(index);
        }
    }

    /// Silences every open connection but the one that asks for it.
    pub fn silence_all_but(&self, exempt: Option<ConnectionId>) {
        for open in &self.state.lock().open {
            if Some(open.number) != exempt {
                open.silent.store(true, Ordering::Release);
            }
        }
    }

    /// Counts the connections that were ever accepted.
    pub fn accepted(&self) -> u64 {
        self.state.lock().next
    }
}

/// One listening stand-in; dropping it ends the stand-in.
pub struct HttpServer {
    address: SocketAddr,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Binds the address and answers on it until the server is stopped or dropped.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and waits until that is done.
    pub async fn stop(&self) {
        self.cancel.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Waits until the stand-in was stopped.
    pub async fn wait_stopped(&self) {
        self.cancel.cancelled().await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Accepts connections until cancelled; the listener closes on return.
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
                let answering = Answering {
                    service: service.clone(),
                    cancel: cancel.clone(),
                    tasks: tasks.clone(),
                };
                tasks.spawn(serve_connection(socket, answering, connections.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

/// RequestHandler the requests of one connection.
struct Answering<A> {
    service: Arc<A>,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

impl<A: RequestHandler> Answering<A> {
    /// RequestHandler in a task of its own: a request that arrived takes its effect also when its caller
    /// has gone away.
    async fn answer(&self, request: Request<Incoming>, connection: ConnectionId) -> HandlerResult {
        let answer = self.service.clone().handle_request(request, connection);
        let answer = self.cancel.clone().run_until_cancelled_owned(answer);
        match self.tasks.spawn(answer).await {
            Ok(Some(reply)) => reply,
            Ok(None) | Err(_) => Err(CloseConnection),
        }
    }
}

async fn serve_connection(
    socket: TcpStream,
    answering: Answering<impl RequestHandler>,
    connections: Arc<Connections>,
) {
    // Tokens are small writes that the caller waits for.
    let _ = socket.set_nodelay(true);
    let (number, silent) = connections.add();
    let io = TokioIo::new(SilenceableStream::new(socket, silent));
    let answer = service_fn(|request| answering.answer(request, number));
    let connection = http1::Builder::new().serve_connection(io, answer);
    tokio::select! {
        _ = connection => {}
        () = answering.cancel.cancelled() => {}
    }
    connections.remove(number);
}
