//! Events of single calls.

use serde::Serialize;

/// A call was refused or failed by this node.
#[derive(Debug, Serialize)]
pub struct CallRefused<'a> {
    /// The attempt of the caller; empty if its request could not be read.
    pub request_id: &'a str,
    /// The status.
    pub status: u16,
    /// Why.
    pub reason: &'a str,
    /// The route, if one was found.
    pub route: &'a str,
    /// The workspace, if one was found.
    pub workspace: &'a str,
    /// The declared version that decided.
    pub table_version: u64,
    /// How old this node's knowledge of it was.
    pub table_age_ms: Option<u64>,
    /// When the caller may come back.
    pub retry_after_ms: Option<u64>,
    /// Backend servers it was sent to.
    pub sends: u32,
    /// How long the call was here.
    pub held_ms: u64,
}

/// A workspace's quota did not suffice for a call.
#[derive(Debug, Serialize)]
pub struct QuotaShort<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The workspace.
    pub workspace: &'a str,
    /// Units asked for.
    pub units: u64,
    /// Units free over all nodes, as this node believed.
    pub free: i64,
    /// What the quota gains a second.
    pub rate_per_s: u64,
    /// Nodes that share it, as this node believed.
    pub nodes: usize,
}

/// A call did not succeed at one backend server.
#[derive(Debug, Serialize)]
pub struct AttemptFailed<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The backend server.
    pub server: &'a str,
    /// How it failed.
    pub failure: &'a str,
    /// Details.
    pub error: &'a str,
    /// Whether the call may have run there.
    pub may_have_run: bool,
    /// How long it took.
    pub after_ms: u64,
}

/// A call was answered.
#[derive(Debug, Serialize)]
pub struct CallEnded<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The route.
    pub route: &'a str,
    /// The workspace.
    pub workspace: &'a str,
    /// The backend server that answered last.
    pub server: &'a str,
    /// The status.
    pub status: u16,
    /// Whether it ended well, broke off, or its caller left.
    pub outcome: &'a str,
    /// Backend servers it was sent to.
    pub sends: u32,
    /// Time to the first byte for the caller.
    pub first_ms: u64,
    /// The wait that was predicted when its server was chosen.
    pub predicted_ms: u64,
    /// How long the call was here.
    pub held_ms: u64,
    /// Calls in flight at the server as this node believed.
    pub in_flight: u32,
}

/// A stream goes on at another backend server.
#[derive(Debug, Serialize)]
pub struct StreamResumed<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The backend server that it goes on at.
    pub server: &'a str,
    /// The last event the caller has.
    pub last_event_id: u64,
}
