//! Paths and JSON bodies of a node's admin API, for operators and the platform's load balancer.
//!
//! The body of the time line is defined in `fl-timeline`. See `docs/OPERATING.md`.

use crate::ids::{ConfigurationVersion, DataCenterName, UnixMs, VmName};
use crate::member::Member;
use crate::platform::VmKind;
use serde::{Deserialize, Serialize};

/// Path that responds with 200 while the process runs.
pub const HEALTH_PATH: &str = "/healthz";
/// Path that responds with 200 when the node accepts callers, and otherwise with 503 and the
/// reasons.
pub const READY_PATH: &str = "/readyz";
/// Path of the metrics, in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the [`StatusPage`].
pub const STATUS_PATH: &str = "/status";
/// Path of the time line; the query parameters `request` and `since_ms` filter its events.
pub const TIME_LINE_PATH: &str = "/timeline";

/// Response body of `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// Name of the node's VM.
    pub vm: VmName,
    /// Data centre of the node.
    pub data_center: DataCenterName,
    /// Wall-clock time of the node, in milliseconds since the Unix epoch.
    pub now_ms: UnixMs,
    /// Whether the node accepts callers.
    pub ready: bool,
    /// Reasons why the node is not ready; empty when it is.
    pub not_ready_reasons: Vec<String>,
    /// Version of the configuration in force; 0 before the first one.
    pub configuration_version: ConfigurationVersion,
    /// All nodes that the node knows, including itself, sorted by VM name.
    pub members: Vec<Member>,
    /// Number of backend servers that the node knows, by kind.
    pub backends: Vec<BackendCount>,
}

/// Numbers of backend servers of one kind that a node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCount {
    /// Kind of the servers.
    pub kind: VmKind,
    /// Number of all known servers.
    pub known: usize,
    /// Number of servers that responded recently.
    pub healthy: usize,
    /// Number of servers whose VM is leaving.
    pub leaving: usize,
}
