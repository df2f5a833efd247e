//! Shared types of forwarded calls: what operators declare for them, what a caller asks, and what
//! backend servers say of themselves.
//!
//! A door decodes its own wire format into these types once; everything behind the door uses only
//! them. See `docs/design/100-on-the-platform.md`.

use crate::ids::{DataCenterName, ModelName, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Names one life of a backend server, as its registry entry does.
pub type ServerName = String;
/// Names one attempt of a caller, as the caller sent it.
pub type CallId = String;
/// Identifies a part of a prompt; equal parts have equal ids.
pub type PartId = u64;
/// Counts the versions of what operators declared; only ever grows.
pub type TableVersion = u64;

/// What operators declared for forwarded calls, one version whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// The version; 0 until one was learned.
    pub version: TableVersion,
    /// Routes, sorted by host, then by prefix.
    pub routes: Vec<Arc<Route>>,
    /// Services, sorted by name.
    pub services: Vec<BackendService>,
    /// Workspaces, sorted by name; empty where callers need no key.
    pub workspaces: Vec<KeyedWorkspace>,
    /// Keys with the index of their workspace, sorted by key.
    pub keys: Vec<(String, usize)>,
    /// What a caller may send.
    pub limits: RequestLimits,
}

/// How calls of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A stream of events; runs at most once unless the route lets it be resumed.
    Stream,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// The beginning of the paths it takes, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub latency_target: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services with their weights; one of them takes a call.
    pub services: Vec<(ServiceName, u32)>,
    /// Backend servers to which one attempt of a caller may be sent.
    pub servers_max: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Whether a stream may go on at another backend server.
    pub resumable: bool,
    /// The longest pause between events of a timely stream.
    pub event_gap_target: Option<Duration>,
}

/// One service that backend servers offer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BackendService {
    /// Its name.
    pub name: ServiceName,
    /// Connections one of its backend servers takes from all nodes together; 0 if not declared.
    pub connections_max: u32,
    /// How its fleet may be ordered, for services that allow it.
    pub scaling: Option<ScalingConfig>,
}

/// Within which bounds the fleet of a service may be ordered, for each data centre.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScalingConfig {
    /// Fewest backend servers of a data centre.
    pub servers_min: u32,
    /// Most backend servers of a data centre, both kinds together.
    pub servers_max: u32,
    /// Time from an order until a new server serves.
    pub boot_time: Duration,
    /// Price of a reclaimable server as a share of a lasting one's; none are to be had without.
    pub reclaimable_price: Option<f64>,
    /// Price of a second of a server by data centre, sorted by name.
    pub zone_prices: Vec<(DataCenterName, f64)>,
}

/// A workspace with its keys and its quota over all nodes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KeyedWorkspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Rank of its calls, which goes before the route's.
    pub priority: Option<u8>,
    /// Units a second over all nodes; 0 is no limit.
    pub quota_per_s: f64,
    /// Units that may be saved up.
    pub quota_burst: f64,
    /// Whether the quota counts tokens; it counts calls otherwise.
    pub counts_tokens: bool,
    /// Tokens that a call without a declared size counts as.
    pub default_tokens: u64,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_timeout: Duration,
    /// How long a connection may stay idle between requests.
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

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Which part.
    pub id: PartId,
    /// Its tokens.
    pub tokens: u64,
}

/// What a model call says of its size and its prompt.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelCall {
    /// The model.
    pub model: ModelName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer at most.
    pub answer_tokens_max: u64,
    /// The prompt's parts in order; the last belongs to this call or its session alone.
    pub parts: Vec<PromptPart>,
}

impl ModelCall {
    /// The last part that other calls share, which decides where its cache is worth keeping.
    pub fn shared_part(&self) -> Option<PromptPart> {
        let last_shared = self.parts.len().checked_sub(2)?;
        self.parts.get(last_shared).copied()
    }
}

/// What a caller asks, decoded from its request's head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// The attempt.
    pub id: CallId,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path, without its query.
    pub path: String,
    /// How long the caller waits; none if it did not say.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The last event the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// What a model call says of itself.
    pub model: Option<ModelCall>,
}

/// Whether a backend server takes new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes calls.
    Ready,
    /// It is leaving.
    Draining,
}

/// What a backend server's registry entry says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its name.
    pub name: ServerName,
    /// The service it offers.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: DataCenterName,
    /// Calls it runs at a time.
    pub slots: u32,
    /// Whether it takes new calls.
    pub state: ServerState,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
}

/// The load that a backend server's answer told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls it runs at a time.
    pub slots: u32,
}

impl RouteTable {
    /// Finds the route of the host whose prefix is the longest that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[first..].iter().take_while(|route| route.host == host);
        of_host
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds the workspace that holds a key.
    pub fn workspace_of_key(&self, key: &str) -> Option<&KeyedWorkspace> {
        let index = self.keys.binary_search_by(|(known, _)| known.as_str().cmp(key)).ok()?;
        self.workspaces.get(self.keys[index].1)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&BackendService> {
        let index =
            self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()?;
        self.services.get(index)
    }
}

impl Route {
    /// Says whether a call that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.resumable,
        }
    }
}
