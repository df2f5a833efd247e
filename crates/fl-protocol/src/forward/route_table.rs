//! What operators declare for forwarded calls: routes, services, workspaces and limits.

use super::TableVersion;
use crate::ids::{DataCenterName, ServiceName, WorkspaceName};
use std::sync::Arc;
use std::time::Duration;

/// Operators' route table: routes, services, workspaces and limits of forwarded calls.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the table; 0 until one was read.
    pub version: TableVersion,
    /// Routes, sorted by host, then by prefix.
    pub routes: Vec<Arc<Route>>,
    /// Services, sorted by name.
    pub services: Vec<BackendService>,
    /// Workspaces, in the order that [`RouteTable::keys`] refers to; empty if callers need no key.
    pub workspaces: Vec<KeyedWorkspace>,
    /// API keys with the index of their workspace, sorted by key.
    pub keys: Vec<(String, usize)>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
}

/// Kind of a route's calls, which decides whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A call may run more than once.
    Idempotent,
    /// A call runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A call returns a stream of events; it runs at most once unless the route allows resumption.
    Stream,
}

/// Route that selects the services for calls by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the calls, in lower case.
    pub host: String,
    /// Prefix of the calls' paths, with a slash at both ends.
    pub prefix: String,
    /// Kind of the calls.
    pub kind: CallKind,
    /// Longest time that a caller waits for the response.
    pub timeout: Duration,
    /// Target for the time to the first event of a stream or to the end of any other response.
    pub latency_target: Duration,
    /// Priority of the calls; 0 is served first.
    pub priority: u8,
    /// Services that share the calls, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Largest number of backend servers to which one attempt of a caller may be sent.
    pub servers_max: u32,
    /// Whether callers need no API key.
    pub anonymous: bool,
    /// Whether a stream may be resumed at another backend server.
    pub resumable: bool,
    /// Target for the time between two events of a stream.
    pub event_gap_target: Option<Duration>,
}

/// Service that backend servers offer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BackendService {
    /// Name of the service.
    pub name: ServiceName,
    /// Largest number of connections that one backend server accepts from all nodes together; 0 if
    /// not declared.
    pub connections_max: u32,
    /// Scaling of the service; `None` if its backend servers are not ordered by this system.
    pub scaling: Option<ScalingConfig>,
}

/// Bounds and prices for scaling the backend servers of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScalingConfig {
    /// Smallest number of backend servers in a data centre.
    pub servers_min: u32,
    /// Largest number of backend servers in a data centre, reclaimable and on-demand together.
    pub servers_max: u32,
    /// Time from an order until the new server accepts calls.
    pub boot_time: Duration,
    /// Price of a reclaimable server as a share of the on-demand price; `None` if there are no
    /// reclaimable servers.
    pub reclaimable_price: Option<f64>,
    /// Price of a server per second in each data centre, sorted by data centre.
    pub zone_prices: Vec<(DataCenterName, f64)>,
}

/// Workspace whose callers use API keys, with its quota over all nodes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KeyedWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Priority of its calls, which overrides that of the route.
    pub priority: Option<u8>,
    /// Quota in units per second over all nodes; 0 is no limit.
    pub quota_per_s: f64,
    /// Largest burst in units: the unused quota that accumulates.
    pub quota_burst: f64,
    /// Whether the unit of the quota is a token; it is a call otherwise.
    pub counts_tokens: bool,
    /// Number of tokens that a call without a declared size is charged.
    pub default_tokens: u64,
}

/// Limits on the size and the duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive the head of a request.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RouteTable {
    /// Returns the route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let host_routes = self.routes[first..].iter().take_while(|route| route.host == host);
        host_routes
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the workspace that owns an API key.
    pub fn workspace_of_key(&self, key: &str) -> Option<&KeyedWorkspace> {
        let index = self.keys.binary_search_by(|(known, _)| known.as_str().cmp(key)).ok()?;
        self.workspaces.get(self.keys[index].1)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&BackendService> {
        let index =
            self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()?;
        self.services.get(index)
    }
}

impl Route {
    /// Returns whether its calls are streams that may be resumed.
    pub fn is_resumable_stream(&self) -> bool {
        self.kind == CallKind::Stream && self.resumable
    }

    /// Returns whether a call may be retried although it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.resumable,
        }
    }
}
