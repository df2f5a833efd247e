//! The published shapes of a node's admin pages, for operators and the platform's balancer.
//!
//! The time line's page stands in `fl-timeline`. See `docs/OPERATING.md`.

use crate::ids::{ConfigurationVersion, DataCenterName, UnixMs, VmName};
use crate::member::Member;
use crate::platform::VmKind;
use serde::{Deserialize, Serialize};

/// Answers 200 while the process runs.
pub const HEALTH_PATH: &str = "/healthz";
/// Answers 200 when the node may get callers, 503 with the reasons otherwise.
pub const READY_PATH: &str = "/readyz";
/// Answers the metrics as Prometheus text.
pub const METRICS_PATH: &str = "/metrics";
/// Answers a [`StatusPage`].
pub const STATUS_PATH: &str = "/status";
/// Answers a page of the time line; `request` and `since_ms` narrow it.
pub const TIME_LINE_PATH: &str = "/timeline";

/// What a node answers to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// The node.
    pub vm: VmName,
    /// Its data centre.
    pub data_center: DataCenterName,
    /// Its wall clock.
    pub now_ms: UnixMs,
    /// Whether it may get callers.
    pub ready: bool,
    /// Why not; empty when it is ready.
    pub not_ready_reasons: Vec<String>,
    /// The version of the configuration in force; 0 before the first.
    pub configuration_version: ConfigurationVersion,
    /// All nodes it knows, itself included, sorted by VM name.
    pub members: Vec<Member>,
    /// The backend servers it knows.
    pub backends: Vec<BackendCount>,
}

/// How many backend servers of one kind a node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCount {
    /// The kind.
    pub kind: VmKind,
    /// All that are known.
    pub known: usize,
    /// Those that answered lately.
    pub healthy: usize,
    /// Those that are going away.
    pub leaving: usize,
}
