//! Settings of a node that forwards calls, and the bounds that it has to keep.

use fl_protocol::{DataCenterName, VmLimits, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a node that forwards calls.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardSettings {
    /// Name of the entry VM that the node runs on.
    pub vm: VmName,
    /// Data centre of the VM.
    pub zone: DataCenterName,
    /// All data centres of the fleet, sorted.
    pub zones: Vec<DataCenterName>,
    /// Address at which the node accepts callers.
    pub caller_address: SocketAddr,
    /// Address at which the load balancer checks whether the node is ready.
    pub readiness_address: SocketAddr,
    /// Address at which the node receives datagrams from its peers.
    pub peer_address: SocketAddr,
    /// Address at which the node serves its metrics.
    pub metrics_address: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Interval at which a backend server rewrites its registry entry.
    pub server_heartbeat: Duration,
    /// Whether one node of the fleet reports the usage of workspaces.
    pub reports_usage: bool,
    /// Whether one node of the fleet orders backend servers.
    pub orders_fleet: bool,
    /// Writes per second that the store accepts from all nodes together.
    pub store_writes_per_s: f64,
    /// Whether operators may order rollouts of software versions.
    pub has_rollouts: bool,
    /// What the process may take of its VM.
    pub vm_limits: VmLimits,
    /// Bounds that the node has to keep.
    pub bounds: ForwardBounds,
}

/// Bounds that the system guarantees to operators and callers.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardBounds {
    /// Longest time for which a draining backend server may still get calls.
    pub drain_timeout: Duration,
    /// Longest time from the write of a route table until it is in force on every node.
    pub propagation_delay: Duration,
    /// Time that a node has to stop after it was told to.
    pub grace_period: Duration,
    /// Longest time for which a revoked key may still be accepted.
    pub revocation_delay: Duration,
    /// Largest number of retries, as a share of the calls of a service.
    pub retry_ratio: f64,
    /// Sliding window over which retries are counted.
    pub retry_window: Duration,
    /// Retries of a service that all nodes together may send in a window beyond that share.
    pub retry_slack: f64,
    /// Window over which the use of quotas is counted.
    pub quota_window: Duration,
    /// Share of a quota by which its use in a window may exceed the quota.
    pub quota_overshoot: f64,
    /// Units by which the use in a window may exceed the quota beyond that share.
    pub quota_slack: f64,
    /// Time after which the lease of the duties expires unless it is renewed.
    pub lease_duration: Duration,
    /// Whether the platform rejects calls of a duty with a lower fencing token than it has seen.
    pub fencing_enforced: bool,
    /// Length of one window of usage reports.
    pub usage_window: Duration,
    /// Longest time from the end of a window until its usage is reported.
    pub usage_delay: Duration,
    /// Share of a service's calls that a bad software version may get.
    pub exposure_share: f64,
    /// Calls that it may get beyond that share.
    pub exposure_slack: f64,
    /// Longest time from its 50th bad answer to the last call that is sent to it.
    pub rollback_delay: Duration,
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
            fencing_enforced: true,
            usage_window: Duration::from_secs(5),
            usage_delay: Duration::from_secs(10),
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_delay: Duration::from_secs(5),
        }
    }
}
