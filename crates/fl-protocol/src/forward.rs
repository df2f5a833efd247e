//! Shared types of forwarded calls: the operators' route table, the parsed head of a caller's
//! request, and the registry entries and load of backend servers.
//!
//! The adapter to a platform translates its formats to these types once; all other packages use
//! only these types. See `docs/design/100-on-the-platform.md`.

mod rollout;
mod route_table;

pub use rollout::{RolloutOrder, RolloutOrders, RolloutState, RolloutStatus};
pub use route_table::{
    BackendService, CallKind, KeyedWorkspace, RequestLimits, Route, RouteTable, ScalingConfig,
};

use crate::ids::{DataCenterName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
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
    /// Id of the caller's attempt that received the first event of the stream, if it resumes one.
    pub resumed_attempt: Option<CallId>,
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
    /// Version of the server's software; empty if the entry does not say. What two versions write
    /// in one stream does not fit together.
    pub software_version: String,
}

/// What a response of a backend server asks of the nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseNotices {
    /// Calls per second that the server takes from all nodes together, if it names a limit. The
    /// limit ends with the first response that does not name it.
    pub limit_per_s: Option<f64>,
    /// Calls per second that the server may turn away for want of room until it falls over, if it
    /// says that it is brittle.
    pub brittle_per_s: Option<f64>,
    /// Whether the server turned the call away without running it.
    pub was_turned_away: bool,
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
    /// How long work takes at this moment, in percent of the usual time, if the server says so.
    pub work_time_percent: Option<u16>,
}
