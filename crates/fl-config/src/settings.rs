//! Settings of one node.

use fl_protocol::{DataCenterName, VmLimits, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one node, one field for each section of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// `[node]`: VM, data centre and region of the node.
    pub node: NodeSettings,
    /// `[listen]`: addresses of the node itself.
    pub listen: ListenSettings,
    /// `[platform]`: addresses of the platform's services.
    pub platform: PlatformSettings,
    /// `[fleet]`: key and seeds of the fleet.
    pub fleet: FleetSettings,
    /// `[limits]`: limits on requests, waits and retries.
    pub limits: LimitSettings,
    /// `[membership]`: heartbeats and the suspicion timeout.
    pub membership: MembershipSettings,
    /// `[routing]`: routing policy and poll intervals.
    pub routing: RoutingSettings,
    /// `[log]`: level and file of the log.
    pub log: LogSettings,
}

/// Section `[node]`: VM, data centre and region of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// `vm`: name of the VM.
    pub vm: VmName,
    /// `data_center`: data centre of the VM.
    pub data_center: DataCenterName,
    /// `region`: region of the data centre.
    pub region: String,
}

/// Section `[listen]`: addresses of the node itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// `callers`: HTTP address for callers.
    pub callers: SocketAddr,
    /// `peer`: capnp-rpc address for the other nodes.
    pub peer: SocketAddr,
    /// `gossip`: UDP address for membership.
    pub gossip: SocketAddr,
    /// `admin`: HTTP address of health, metrics and status for operators and the platform.
    pub admin: SocketAddr,
    /// `peer_advertised`: peer address that other nodes use; default `peer`.
    pub peer_advertised: SocketAddr,
    /// `gossip_advertised`: gossip address that other nodes use; default `gossip`.
    pub gossip_advertised: SocketAddr,
}

/// Section `[platform]`: addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// `table`: address of the table service.
    pub table: SocketAddr,
    /// `objects`: address of the object store.
    pub objects: SocketAddr,
    /// `vm_list`: address of the list of VMs, which lags behind.
    pub vm_list: SocketAddr,
    /// `cloud`: address of the cloud API for prices, reclaim notices and starting VMs.
    pub cloud: SocketAddr,
    /// `weights`: address of the weight store.
    pub weights: SocketAddr,
    /// `request_timeout_ms`: timeout of one call to the platform.
    pub request_timeout: Duration,
}

/// Section `[fleet]`: key and seeds of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// `key_hex`: shared key that peers must prove, 32 bytes in hexadecimal.
    pub key: [u8; 32],
    /// `seeds`: gossip addresses of some nodes, sorted.
    pub seeds: Vec<SocketAddr>,
    /// `control`: whether this node may acquire the lease of its data centre and give orders to its
    /// engines.
    pub control: bool,
}

/// Section `[limits]`: limits on requests, waits and retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// `header_bytes`: largest head of a caller's request.
    pub header_bytes: usize,
    /// `body_bytes`: largest body of a caller's request.
    pub body_bytes: usize,
    /// `header_timeout_ms`: longest time for a caller to send the head.
    pub header_timeout: Duration,
    /// `body_timeout_ms`: longest time for a caller to send the body.
    pub body_timeout: Duration,
    /// `first_token_timeout_ms`: longest time until an engine sends its first token.
    pub first_token_timeout: Duration,
    /// `between_tokens_timeout_ms`: longest time between two tokens of an engine.
    pub between_tokens_timeout: Duration,
    /// `give_up_ms`: longest time without a token after which an accepted request is given up.
    pub give_up: Duration,
    /// `resume_window_ms`: time for which a response is kept for a disconnected caller.
    pub resume_window: Duration,
    /// `drain_timeout_ms`: time for which a stopping node lets requests in flight continue.
    pub drain_timeout: Duration,
    /// `memory_mb` and `file_descriptors`: what the process may take of its VM.
    pub vm: VmLimits,
    /// `retry_budget_percent`: retry budget as a percentage of first attempts.
    pub retry_budget_percent: u32,
}

/// Section `[membership]`: heartbeats and the suspicion timeout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// `heartbeat_ms`: interval between heartbeats.
    pub heartbeat: Duration,
    /// `suspicion_ms`: time for which a suspected node may refute the suspicion.
    pub suspicion: Duration,
}

/// Section `[routing]`: routing policy and poll intervals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingSettings {
    /// `policy`: routing policy, `prefix`, `least-loaded` or `round-robin`.
    pub policy: String,
    /// `load_poll_ms`: interval between reads of a runner's load report.
    pub load_poll: Duration,
    /// `vm_list_poll_ms`: interval between reads of the VM list and the reclaim notices.
    pub vm_list_poll: Duration,
}

/// Section `[log]`: level and file of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// `level`: least severe level that is logged, `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// `file`: path of the log file; empty for standard error.
    pub file: String,
}
