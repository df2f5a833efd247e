//! The admin pages: health, readiness, metrics, status and the time line.
//!
//! They listen on an address of their own, so that callers cannot read them and a flood of calls
//! cannot make them unreachable. The JSON types are in `fl_protocol::admin`; operators find the
//! pages described in `docs/OPERATING.md`.

mod pages;
mod status;

use crate::context::{ServiceContext, StartError};
use crate::event_log::{NODE_EVENT_LOG, NodeEventLog};
use bytes::Bytes;
use fl_kernel::Registry;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use socket2::{Domain, Socket, Type};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The registry name of the metrics.
const METRICS: &str = "metrics";
/// How often histograms are aggregated, so that their memory stays bounded between two scrapes.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// How long a client may take to send the head of its request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may stay open.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_HEADER_BYTES: usize = 16 * 1024;
const LISTEN_BACKLOG: i32 = 128;
/// Connections that are served at the same time; further ones wait in the listen backlog.
const MAX_CONNECTIONS: usize = 64;

/// The services from which the pages are built.
pub(crate) struct AdminState {
    pub(crate) context: ServiceContext,
    pub(crate) event_log: Arc<NodeEventLog>,
    pub(crate) metrics: Arc<PrometheusHandle>,
}

impl AdminState {
    pub(crate) fn registry(&self) -> &Registry {
        &self.context.registry
    }
}

/// Installs the process's metrics recorder; metrics recorded before are lost.
pub fn install_metrics(context: &ServiceContext) -> Result<(), StartError> {
    let recorder = PrometheusBuilder::new().install_recorder();
    let handle = recorder.map_err(|error| StartError::Metrics(error.to_string()))?;
    context.registry.register(METRICS, Arc::new(handle))?;
    Ok(())
}

/// Starts to serve the admin pages; the event log and the metrics must be registered already.
pub fn start(context: &ServiceContext) -> Result<(), StartError> {
    let address = context.settings.listen.admin;
    let listener = listen(address)
        .map_err(|error| StartError::Listen(address.to_string(), error.to_string()))?;
    let metrics = context.registry.find::<PrometheusHandle>(METRICS)?;
    let event_log = context.registry.find::<NodeEventLog>(NODE_EVENT_LOG)?;
    let state = Arc::new(AdminState { context: context.clone(), event_log, metrics });
    context.spawn(run_metrics_upkeep(state.metrics.clone(), context.shutdown.clone()));
    context.spawn(accept(listener, state));
    Ok(())
}

/// Listens with `SO_REUSEADDR`, so that connections of an earlier process in TIME_WAIT do not keep
/// a restarted node from binding.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn run_metrics_upkeep(metrics: Arc<PrometheusHandle>, shutdown: CancellationToken) {
    let mut interval = tokio::time::interval(METRICS_UPKEEP_INTERVAL);
    while shutdown.run_until_cancelled(interval.tick()).await.is_some() {
        metrics.run_upkeep();
    }
}

async fn accept(listener: TcpListener, state: Arc<AdminState>) {
    let shutdown = state.context.shutdown.clone();
    let connection_permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    while let Some(Ok(permit)) =
        shutdown.run_until_cancelled(connection_permits.clone().acquire_owned()).await
    {
        let Some(result) = shutdown.run_until_cancelled(listener.accept()).await else {
            return;
        };
        let Ok((stream, _)) = result else {
            continue;
        };
        let state = state.clone();
        let connection = serve(stream, state.clone());
        state.context.clone().spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, state: Arc<AdminState>) {
    let shutdown = state.context.shutdown.clone();
    let service = service_fn(move |request| handle_request(request, state.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let limited = tokio::time::timeout(CONNECTION_TIMEOUT, connection);
    if let Some(Ok(Err(error))) = shutdown.run_until_cancelled(limited).await {
        spdlog::debug!("admin connection failed: {}", error);
    }
}

async fn handle_request(
    request: Request<Incoming>,
    state: Arc<AdminState>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(pages::handle_request(request.method(), request.uri(), &state))
}
