//! What a forwarding node is set to, and what was promised of it.

use fl_protocol::{DataCenterName, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// What a forwarding node is set to.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardSettings {
    /// The VM of the node.
    pub vm: VmName,
    /// Its data centre.
    pub zone: DataCenterName,
    /// All data centres, sorted.
    pub zones: Vec<DataCenterName>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub readiness_address: SocketAddr,
    /// Where peers send datagrams.
    pub peer_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Time between two writes of a backend server's registry entry.
    pub server_heartbeat: Duration,
    /// Whether the fleet reports usage.
    pub reports_usage: bool,
    /// Whether the fleet orders backend servers.
    pub orders_fleet: bool,
    /// What was promised.
    pub bounds: ForwardBounds,
}

/// Bounds that were promised to operators and callers.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardBounds {
    /// How long a backend server that was told to leave may still get calls.
    pub drain_timeout: Duration,
    /// How long after it was declared a version may still not be in force.
    pub propagation_delay: Duration,
    /// How long a node has after it was told to stop.
    pub grace_period: Duration,
    /// How long a key that was taken away may still be honoured.
    pub revocation_delay: Duration,
    /// Repeats as a share of the calls of a service.
    pub retry_ratio: f64,
    /// Over which time repeats are counted.
    pub retry_window: Duration,
    /// Repeats of a service that all nodes have besides in that time.
    pub retry_slack: f64,
    /// Over which time the use of quotas is counted.
    pub quota_window: Duration,
    /// Share of a quota by which its use may exceed it.
    pub quota_overshoot: f64,
    /// Units by which the use of a quota may exceed it besides.
    pub quota_slack: f64,
    /// How long the holder of a duty keeps it without renewing.
    pub lease_duration: Duration,
    /// The length of one window of usage.
    pub usage_window: Duration,
    /// When the usage of a window is due after its end.
    pub usage_delay: Duration,
}

impl Default for ForwardBounds {
    fn default() -> Self {
        ForwardBounds {
            drain_timeout: Duration::from_secs(2),
            propagation_delay: Duration::from_secs(2),
            grace_period: Duration::from_secs(8),
            revocation_delay: Duration::from_secs(5),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 10.0,
            quota_window: Duration::from_secs(8),
            quota_overshoot: 0.0,
            quota_slack: 0.0,
            lease_duration: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
            usage_delay: Duration::from_secs(10),
        }
    }
}
