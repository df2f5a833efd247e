//! Log events of single calls.

use serde::Serialize;
use std::net::IpAddr;

/// This node refused a call, or could not get a response for it.
#[derive(Debug, Serialize)]
pub struct CallRefused<'a> {
    /// The id of the caller's attempt; empty if the request could not be read.
    pub request_id: &'a str,
    /// The HTTP status for the caller.
    pub status: u16,
    /// The reason, as given to the caller.
    pub reason: &'a str,
    /// The route, empty if none was found.
    pub route: &'a str,
    /// The workspace, empty if none was found.
    pub workspace: &'a str,
    /// The route table version in force.
    pub table_version: u64,
    /// The age of this node's route table.
    pub table_age_ms: Option<u64>,
    /// The time after which the caller may retry.
    pub retry_after_ms: Option<u64>,
    /// Number of backend servers that the call was sent to.
    pub sends: u32,
    /// Time since the call was received.
    pub held_ms: u64,
}

/// A workspace's quota had too few units left for a call.
#[derive(Debug, Serialize)]
pub struct QuotaShort<'a> {
    /// The id of the caller's attempt.
    pub request_id: &'a str,
    /// The workspace whose quota it is.
    pub workspace: &'a str,
    /// Units that the call needs.
    pub units: u64,
    /// This node's estimate of the units left over all nodes; negative if overdrawn.
    pub free: i64,
    /// Units that the quota gains per second.
    pub rate_per_s: u64,
    /// Number of nodes that may admit calls and were heard lately, including this one.
    pub nodes: usize,
    /// Number of nodes that are not heard, for which their shares of the quota are kept.
    pub unheard: usize,
}

/// An attempt of a call failed at a backend server.
#[derive(Debug, Serialize)]
pub struct AttemptFailed<'a> {
    /// The id of the caller's attempt.
    pub request_id: &'a str,
    /// The backend server of the attempt.
    pub server: &'a str,
    /// A fixed text that names the failure.
    pub failure: &'a str,
    /// The error's own text.
    pub error: &'a str,
    /// Whether the call may have run at the server.
    pub may_have_run: bool,
    /// The fingerprint of the call's path, workspace, body and prompt, as hexadecimal digits.
    pub content: &'a str,
    /// The ids of the first prompt parts that other calls may share, as hexadecimal digits.
    pub prompt_parts: &'a [String],
    /// Time from sending the call until the failure.
    pub after_ms: u64,
}

/// The connection of a call broke, and its server accepts no other.
#[derive(Debug, Serialize)]
pub struct ServerCrashed<'a> {
    /// The backend server.
    pub server: &'a str,
    /// The id of the caller's attempt.
    pub request_id: &'a str,
}

/// What calls have in common was quarantined since it crashes servers, or it no longer is.
#[derive(Debug, Serialize)]
pub struct QuarantineChanged<'a> {
    /// Whether it is a prompt part or a whole content.
    pub kind: &'a str,
    /// The id of the part or the fingerprint of the content, as in `attempt_failed`.
    pub id: &'a str,
    /// Whether calls that hold it are refused from now on.
    pub is_quarantined: bool,
    /// Number of servers that crashed under it, as known here.
    pub crashes: usize,
    /// What changed it: a crash or an answer at this node, a peer, or the store.
    pub source: &'a str,
}

/// An answered call ended.
#[derive(Debug, Serialize)]
pub struct CallEnded<'a> {
    /// The id of the caller's attempt.
    pub request_id: &'a str,
    /// The route of the call.
    pub route: &'a str,
    /// The workspace of the caller's key, empty if none is needed.
    pub workspace: &'a str,
    /// The backend server whose response was relayed last.
    pub server: &'a str,
    /// The peer that sent the call on; missing if this node reached the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<IpAddr>,
    /// The HTTP status for the caller.
    pub status: u16,
    /// Whether the response was whole, broke off, or its caller disconnected.
    pub outcome: &'a str,
    /// Number of backend servers that the call was sent to.
    pub sends: u32,
    /// Time until the response to the caller began.
    pub first_ms: u64,
    /// The wait that was predicted when the server was chosen.
    pub predicted_ms: u64,
    /// Time since the call was received.
    pub held_ms: u64,
    /// This node's estimate of the calls in flight at the server when it was chosen.
    pub in_flight: u32,
    /// The server's lasting speed relative to the mean of its service, when it was chosen.
    pub pace: f64,
    /// The factor by which the server worked slower at that moment, by its own word.
    pub slowdown: f64,
}

/// This node sent a call to a backend server for a peer that has lost its links.
#[derive(Debug, Serialize)]
pub struct CallProxied<'a> {
    /// The id of the caller's attempt.
    pub request_id: &'a str,
    /// The backend server.
    pub server: &'a str,
    /// The peer that the caller reached.
    pub peer: IpAddr,
    /// `whole`, `broken off`, `the peer left`, or why there was no response.
    pub outcome: &'a str,
    /// Time since the peer's request was received.
    pub held_ms: u64,
}

/// A caller took up a stream that an earlier attempt had begun.
#[derive(Debug, Serialize)]
pub struct StreamTakenUp<'a> {
    /// The id of the caller's attempt.
    pub request_id: &'a str,
    /// The id of the attempt that brought the first event; empty if the caller names none.
    pub resumed_attempt: &'a str,
    /// The id of the last event that the caller has.
    pub last_event_id: u64,
    /// The backend server that sends the rest of the stream.
    pub server: &'a str,
    /// The version of its software.
    pub software_version: &'a str,
}

/// A stream was resumed at another backend server.
#[derive(Debug, Serialize)]
pub struct StreamResumed<'a> {
    /// The id of the caller's attempt.
    pub request_id: &'a str,
    /// The backend server that sends the rest of the stream.
    pub server: &'a str,
    /// The version of its software.
    pub software_version: &'a str,
    /// The version of the software that sent the events before.
    pub version_before: &'a str,
    /// The id of the last event that the caller has.
    pub last_event_id: u64,
}
