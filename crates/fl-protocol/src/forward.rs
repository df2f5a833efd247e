//! Shared types of forwarded calls: the operators' route table, the parsed head of a caller's
//! request, and the registry entries and load of backend servers.
//!
//! The adapter to a platform translates its formats to these types once; all other packages use
//! only these types. See `docs/design/100-on-the-platform.md`.

use crate::ids::{DataCenterName, ModelName, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of one process of a backend server, as in its registry entry.
pub type ServerName = String;
/// Id of one attempt of a caller, as the caller sent it.
pub type CallId = String;
/// Id of a part of a prompt; equal parts have equal ids.
pub type PartId = u64;
/// Version of the route table; each new table has a greater one.
pub type TableVersion = u64;

/// Point in the history of the platform's store.
///
/// The store may come back from an older copy; its revisions then go back and are given out again.
/// Each return has a greater incarnation, so versions are ordered by incarnation, then revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Number of the store's incarnation; 0 if the store does not name one.
    pub incarnation: u64,
    /// Revision within the incarnation; grows with each write to any row.
    pub revision: u64,
}

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

/// Part of a prompt, which other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: PartId,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Size and prompt parts that a model call declares.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelCall {
    /// Name of the model.
    pub model: ModelName,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens in the response.
    pub response_tokens_max: u64,
    /// Parts of the prompt in order; the last one belongs only to this call or its session.
    pub parts: Vec<PromptPart>,
}

impl ModelCall {
    /// Returns the parts that other calls may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the last part that other calls share.
    ///
    /// It decides on which server the cached prefix of the prompt is worth keeping.
    pub fn shared_part(&self) -> Option<PromptPart> {
        self.shared_parts().last().copied()
    }
}

/// Parsed head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// Id of the caller's attempt.
    pub id: CallId,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path without its query.
    pub path: String,
    /// Time that the caller waits for the response, if it declares one.
    pub timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Declared size and prompt parts, if the call is a model call.
    pub model: Option<ModelCall>,
}

/// State of a backend server, which decides whether it gets new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server accepts calls.
    Ready,
    /// The server is leaving and accepts no new calls.
    Draining,
}

/// Registry entry of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name of the server.
    pub name: ServerName,
    /// Service that the server offers.
    pub service: ServiceName,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub zone: DataCenterName,
    /// Number of calls that the server runs at a time.
    pub slots: u32,
    /// State of the server.
    pub state: ServerState,
    /// Whether the cloud may reclaim the server.
    pub reclaimable: bool,
    /// Start of this instance of the server, in Unix milliseconds, if the entry says so. A server
    /// may start again under its name; it then knows nothing of before.
    pub born_ms: Option<u64>,
}

/// What a response of a backend server asks of the nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseNotices {
    /// Calls per second that the server takes from all nodes together, if it names a limit. The
    /// limit ends with the first response that does not name it.
    pub limit_per_s: Option<f64>,
    /// Whether the server says that it leaves.
    pub is_leaving: bool,
    /// Time for which the server wants nothing from this node.
    pub pause: Option<Duration>,
    /// Whether a limit or a pause was named with a value that cannot be used: no number, negative
    /// or not finite.
    pub has_invalid_value: bool,
}

/// Load that a backend server reports in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of calls that are running.
    pub running: u32,
    /// Number of calls in the queue.
    pub waiting: u32,
    /// Number of calls that the server runs at a time.
    pub slots: u32,
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
    /// Returns whether a call may be retried although it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.resumable,
        }
    }
}
