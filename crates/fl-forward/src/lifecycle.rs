//! Starts a forwarding node, runs its tasks and stops it without cutting calls off.

use crate::log::Log;
use crate::log::event::{NodeLeaving, NodeReady, NodeStarted, NodeStopped, SettingsReread};
use crate::metrics_endpoint::MONITORING_BUFFER_BYTES_MAX;
use crate::node::{Node, PlatformAdapters};
use crate::{
    crash_suspects, duties, http_server, links, metrics_endpoint, peer_proxy, peers, rollouts,
    route_table, servers, shared_reads, stream_origins,
};
use bytes::Bytes;
use fl_clients::{ConnectionSlot, TimedConnection, limit_buffers};
use fl_kernel::forward::ForwardSettings;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusBuilder;
use socket2::{Domain, Socket, Type};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How long a leaving node still accepts calls. The load balancer probes readiness once a second
/// and needs two negative probes.
const READINESS_DRAIN_TIME: Duration = Duration::from_millis(2800);
/// Part of the grace period that is reserved for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// How often a leaving node checks whether its calls have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the load balancer may keep a connection to the readiness address open.
const READINESS_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the head of the load balancer's request may take.
const READINESS_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Connections that the kernel queues until they are accepted.
const BACKLOG_CONNECTIONS: i32 = 1024;
/// How often a starting node checks whether it has become ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Errors that keep a node from starting.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// cannot listen on {0}: {1}; free the address
    Listen(SocketAddr, std::io::Error),
    /// cannot install the signal handlers: {0}; check the permissions of the process
    Signal(std::io::Error),
    /// cannot set up logs: {0}; check standard output
    Log(spdlog::Error),
    /// cannot set up metrics: {0}; run only one node in each process
    Metrics(metrics_exporter_prometheus::BuildError),
}

/// Runs a node until SIGTERM arrives and its calls have ended or the grace period is over.
///
/// On SIGHUP, `reread` reads the settings again and returns the outcome for the log.
pub async fn run(
    settings: ForwardSettings,
    platform: PlatformAdapters,
    reread: impl Fn() -> String,
) -> Result<(), StartError> {
    let log = Log::to_stdout(&settings.vm, &settings.zone).map_err(StartError::Log)?;
    let metrics = PrometheusBuilder::new().install_recorder().map_err(StartError::Metrics)?;
    let signals = |kind| signal(kind).map_err(StartError::Signal);
    let mut terminate = signals(SignalKind::terminate())?;
    let mut reload = signals(SignalKind::hangup())?;
    let callers = listen(settings.caller_address)?;
    let readiness = listen(settings.readiness_address)?;
    let metrics_listener = listen(settings.metrics_address)?;
    let proxy = listen(settings.peer_address)?;
    let socket = UdpSocket::bind(settings.peer_address).await;
    let socket = socket.map_err(|error| StartError::Listen(settings.peer_address, error))?;
    let node = Arc::new(Node::new(settings, platform, log));
    let version = env!("CARGO_PKG_VERSION");
    node.log.write(&NodeStarted { version, callers: node.settings.caller_address });
    spawn_tasks(&node, Arc::new(socket));
    tokio::spawn(metrics_endpoint::serve(node.clone(), metrics_listener, metrics));
    tokio::spawn(serve_readiness(node.clone(), readiness));
    tokio::spawn(http_server::serve(node.clone(), callers));
    tokio::spawn(peer_proxy::serve(node.clone(), proxy));
    tokio::spawn(log_when_ready(node.clone()));
    wait_for_termination(&node, &mut terminate, &mut reload, reread).await;
    drain_and_stop(&node).await;
    Ok(())
}

fn spawn_tasks(node: &Arc<Node>, socket: Arc<UdpSocket>) {
    node.peers.set_socket(socket.clone());
    tokio::spawn(route_table::watch(node.clone()));
    tokio::spawn(servers::watch(node.clone()));
    tokio::spawn(links::watch(node.clone()));
    tokio::spawn(peers::receive(node.clone(), socket.clone()));
    tokio::spawn(shared_reads::query_reader(node.clone(), socket.clone()));
    tokio::spawn(peers::send_reports(node.clone(), socket));
    tokio::spawn(peers::discover(node.clone()));
    tokio::spawn(crash_suspects::keep_stored(node.clone()));
    tokio::spawn(duties::run(node.clone()));
    tokio::spawn(watch_rollouts(node.clone()));
    let node = node.clone();
    tokio::spawn(async move {
        let count_call = |purpose, is_ok| node.count_store_call(purpose, is_ok);
        let keeper = stream_origins::OriginStoreTask::new(
            &*node.platform.store,
            &node.peers,
            &node.stream_origins,
            &node.settings,
            &node.log,
            &count_call,
        );
        node.cancel.run_until_cancelled(keeper.run()).await;
    });
}

async fn watch_rollouts(node: Arc<Node>) {
    let routes = || node.route_table.current().routes.clone();
    let count_read = |is_ok| node.count_store_call("rollouts", is_ok);
    let store = node.platform.store.as_ref();
    let watching = rollouts::watch(&node.rollouts, store, &node.log, routes, count_read);
    node.cancel.run_until_cancelled(watching).await;
}

async fn log_when_ready(node: Arc<Node>) {
    while !node.is_ready() {
        if node.sleep(READY_CHECK_INTERVAL).await.is_none() {
            return;
        }
    }
    let table_version = node.route_table.current().version;
    node.log.write(&NodeReady { table_version, servers: node.servers.usable().len() });
}

async fn wait_for_termination(
    node: &Node,
    terminate: &mut Signal,
    reload: &mut Signal,
    reread: impl Fn() -> String,
) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = reload.recv() => node.log.write(&SettingsReread { outcome: &reread() }),
        }
    }
}

/// Stops the node: it reports not ready, accepts calls until the load balancer has noticed, then
/// waits for its calls to end, at most for the grace period.
async fn drain_and_stop(node: &Arc<Node>) {
    node.begin_leaving();
    node.log.write(&NodeLeaving { calls: node.active_calls() });
    let end =
        tokio::time::Instant::now() + node.settings.bounds.grace_period.saturating_sub(STOP_MARGIN);
    tokio::time::sleep(READINESS_DRAIN_TIME.min(node.settings.bounds.grace_period / 2)).await;
    node.closing.cancel();
    while node.active_calls() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    duties::release_lease(node).await;
    node.log.write(&NodeStopped { calls: node.active_calls() });
    node.cancel.cancel();
    // Lets the connections' tasks write the last bytes of their responses.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
}

/// Listens with address reuse, so that lingering connections of an earlier process do not block the
/// start.
fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        limit_buffers(&socket);
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG_CONNECTIONS)?;
        TcpListener::from_std(socket.into())
    };
    open().map_err(|error| StartError::Listen(address, error))
}

async fn serve_readiness(node: Arc<Node>, listener: TcpListener) {
    let probes = node.clients.monitoring_table("readiness");
    loop {
        let accepting = probes.accept(&listener, READINESS_HEAD_TIMEOUT, READINESS_TIMEOUT);
        let Some((stream, _, slot)) = node.cancel.run_until_cancelled(accepting).await else {
            return;
        };
        tokio::spawn(serve_readiness_connection(node.clone(), stream, slot));
    }
}

async fn serve_readiness_connection(node: Arc<Node>, stream: TcpStream, slot: ConnectionSlot) {
    let timer = slot.timer().clone();
    let timed = TimedConnection::new(stream, timer.clone());
    let service = service_fn(move |_: Request<Incoming>| {
        let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let active_request = timer.on_head_read();
        async move {
            drop(active_request);
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MONITORING_BUFFER_BYTES_MAX)
        .serve_connection(TokioIo::new(timed), service);
    // After a timeout or an error, the load balancer opens another connection.
    let serving = tokio::time::timeout(READINESS_TIMEOUT, connection);
    let _ = slot.closing().run_until_cancelled(serving).await;
}
