//! The HTTP endpoint for Prometheus metrics.

use crate::node::Node;
use bytes::Bytes;
use fl_clients::{ConnectionSlot, ConnectionTable, TimedConnection};
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The path of the endpoint.
pub const METRICS_PATH: &str = "/metrics";
/// Largest head of a request to an address for monitoring.
pub(crate) const MONITORING_BUFFER_BYTES_MAX: usize = 8 * 1024;
/// How long a client may keep a connection open.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the head of a request may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which histograms are aggregated, so that their memory stays bounded between two
/// scrapes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Serves the endpoint until the node ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener, metrics: PrometheusHandle) {
    let scrapes = node.clients.monitoring_table("metrics");
    let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            () = node.cancel.cancelled() => return,
            _ = upkeep.tick() => metrics.run_upkeep(),
            (stream, _, slot) = scrapes.accept(&listener, HEAD_TIMEOUT, CONNECTION_TIMEOUT) => {
                tokio::spawn(serve_connection(node.clone(), stream, slot, metrics.clone()));
            }
        }
    }
}

async fn serve_connection(
    node: Arc<Node>,
    stream: TcpStream,
    slot: ConnectionSlot,
    metrics: PrometheusHandle,
) {
    let timer = slot.timer().clone();
    let timed = TimedConnection::new(stream, timer.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let found = request.uri().path() == METRICS_PATH;
        set_gauges(&node);
        let text = if found { metrics.render() } else { String::new() };
        let active_request = timer.on_head_read();
        async move {
            drop(active_request);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            if !found {
                *response.status_mut() = StatusCode::NOT_FOUND;
            }
            let kind = header::HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(MONITORING_BUFFER_BYTES_MAX)
        .serve_connection(TokioIo::new(timed), service);
    // A client whose scrape fails or times out scrapes again.
    let serving = tokio::time::timeout(CONNECTION_TIMEOUT, connection);
    let _ = slot.closing().run_until_cancelled(serving).await;
}

/// Sets the gauges that are computed at each scrape.
fn set_gauges(node: &Node) {
    let table_age = node.route_table.age().map_or(f64::INFINITY, |age| age.as_secs_f64());
    metrics::gauge!("fl_table_age_seconds").set(table_age);
    let registry_age = node.servers.age().map_or(f64::INFINITY, |age| age.as_secs_f64());
    metrics::gauge!("fl_registry_age_seconds").set(registry_age);
    for quota in node.quotas.reports() {
        let labels = [("workspace", quota.workspace)];
        metrics::gauge!("fl_quota_level", &labels).set(quota.report.level);
    }
    for (workspace, nodes) in node.quotas.unheard_nodes() {
        metrics::gauge!("fl_quota_unheard_nodes", "workspace" => workspace).set(nodes as f64);
    }
    for (service, left) in node.retry_budgets.remaining() {
        metrics::gauge!("fl_repeats_left", "service" => service).set(left);
    }
    metrics::gauge!("fl_table_version").set(node.route_table.current().version as f64);
    metrics::gauge!("fl_servers_usable").set(node.servers.usable().len() as f64);
    for (server, pace) in node.servers.paces() {
        metrics::gauge!("fl_server_pace", "server" => server).set(pace);
    }
    metrics::gauge!("fl_servers_limited").set(node.servers.limited() as f64);
    metrics::gauge!("fl_servers_brittle").set(node.servers.brittle() as f64);
    metrics::gauge!("fl_quarantined").set(node.crash_suspects.quarantined_count() as f64);
    metrics::gauge!("fl_links_lost").set(f64::from(u8::from(node.links.are_lost())));
    metrics::gauge!("fl_nodes").set(node.peers.admitting_nodes() as f64);
    set_client_gauges(node);
    metrics::gauge!("fl_calls_under_way").set(node.active_calls() as f64);
}

/// Sets the gauges of what clients and peers take, and of what they may take.
fn set_client_gauges(node: &Node) {
    let budget = node.clients.budget();
    metrics::gauge!("fl_client_memory_max_bytes").set(budget.total_bytes() as f64);
    let used_bytes = budget.total_bytes() - budget.free_bytes();
    metrics::gauge!("fl_client_memory_bytes").set(used_bytes as f64);
    let set_connections = |clients: &'static str, table: &ConnectionTable| {
        let labels = [("clients", clients)];
        metrics::gauge!("fl_client_connections", &labels).set(table.open_connections() as f64);
        metrics::gauge!("fl_client_connections_max", &labels).set(table.connections_max() as f64);
    };
    set_connections("callers", node.clients.callers());
    set_connections("peers", node.clients.peers());
}
