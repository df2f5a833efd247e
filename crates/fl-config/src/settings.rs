//! The settings of one node.

use fl_protocol::{DataCenterName, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// All settings of one node, each with its default where one makes sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// `[node]`: which VM this is and where.
    pub node: NodeSettings,
    /// `[listen]`: the node's own addresses.
    pub listen: ListenSettings,
    /// `[platform]`: the platform's services.
    pub platform: PlatformSettings,
    /// `[fleet]`: the other nodes.
    pub fleet: FleetSettings,
    /// `[limits]`: bounds on connections, requests and retries.
    pub limits: LimitSettings,
    /// `[membership]`: heartbeats and suspicion.
    pub membership: MembershipSettings,
    /// `[routing]`: the policy and its switches.
    pub routing: RoutingSettings,
    /// `[log]`: how much is logged, and where.
    pub log: LogSettings,
}

/// `[node]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// `vm`: the name of the VM.
    pub vm: VmName,
    /// `data_center`: its data centre.
    pub data_center: DataCenterName,
    /// `region`: the region of the data centre.
    pub region: String,
}

/// `[listen]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// `callers`: HTTP for callers.
    pub callers: SocketAddr,
    /// `peer`: capnp-rpc for the other nodes.
    pub peer: SocketAddr,
    /// `gossip`: UDP for membership.
    pub gossip: SocketAddr,
    /// `admin`: health, metrics and status for operators and the platform.
    pub admin: SocketAddr,
    /// `peer_advertised`: the peer address that others use; without it `peer`.
    pub peer_advertised: SocketAddr,
    /// `gossip_advertised`: the gossip address that others use; without it `gossip`.
    pub gossip_advertised: SocketAddr,
}

/// `[platform]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// `table`: the table service.
    pub table: SocketAddr,
    /// `objects`: the object store.
    pub objects: SocketAddr,
    /// `vm_list`: the lagging list of VMs.
    pub vm_list: SocketAddr,
    /// `cloud`: prices, notices and starting VMs.
    pub cloud: SocketAddr,
    /// `weights`: the weight store.
    pub weights: SocketAddr,
    /// `request_timeout_ms`: how long one call to the platform may take.
    pub request_timeout: Duration,
}

/// `[fleet]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// `key_hex`: the shared key that peers prove, 32 bytes in hexadecimal.
    pub key: [u8; 32],
    /// `seeds`: gossip addresses of some nodes, sorted.
    pub seeds: Vec<SocketAddr>,
    /// `control`: whether this node takes part in fleet orders.
    pub control: bool,
}

/// `[limits]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// `header_bytes`: the largest head of a caller's request.
    pub header_bytes: usize,
    /// `body_bytes`: the largest body of a caller's request.
    pub body_bytes: usize,
    /// `header_timeout_ms`: how long a caller may take to send the head.
    pub header_timeout: Duration,
    /// `body_timeout_ms`: how long a caller may take to send the body.
    pub body_timeout: Duration,
    /// `first_token_timeout_ms`: how long an engine may stay silent before its first token.
    pub first_token_timeout: Duration,
    /// `between_tokens_timeout_ms`: how long an engine may stay silent between two tokens.
    pub between_tokens_timeout: Duration,
    /// `give_up_ms`: how long an accepted request is pursued without a token.
    pub give_up: Duration,
    /// `resume_window_ms`: how long an answer is kept for a caller that stays away.
    pub resume_window: Duration,
    /// `drain_timeout_ms`: how long a stopping node lets requests in flight go on.
    pub drain_timeout: Duration,
    /// `retry_budget_percent`: retries as a share of first tries.
    pub retry_budget_percent: u32,
}

/// `[membership]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// `heartbeat_ms`: time between two heartbeats.
    pub heartbeat: Duration,
    /// `suspicion_ms`: how long a suspect may refute.
    pub suspicion: Duration,
}

/// `[routing]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingSettings {
    /// `policy`: `prefix`, `least-loaded` or `round-robin`.
    pub policy: String,
    /// `load_poll_ms`: time between two load reports of a runner.
    pub load_poll: Duration,
    /// `vm_list_poll_ms`: time between two readings of the VM list and the notices.
    pub vm_list_poll: Duration,
}

/// `[log]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// `level`: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// `file`: where logs go; empty is standard error.
    pub file: String,
}
