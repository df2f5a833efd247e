//! How an attempt at a backend server failed.

use crate::connection_pool::SendError;
use fl_kernel::forward::ResponseHead;
use http::StatusCode;
use std::net::SocketAddr;
use std::ops::Range;

/// Statuses of final responses.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Whether a failed attempt points to a crash of the server under the call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CrashSign {
    /// Nothing points to a crash.
    #[default]
    None,
    /// The connection broke after the call was sent, as it does when the server crashes.
    Suspected,
    /// The same, but the call was sent by a peer, which finds out whether the server crashed.
    LeftToPeer,
    /// A peer found that the server crashed.
    FoundByPeer,
}

impl CrashSign {
    /// Returns the sign that the end of a response gives. `broke_connection` says whether its
    /// connection broke, `peer` is the peer that it came through, if any.
    pub fn after(broke_connection: bool, peer: Option<SocketAddr>) -> Self {
        match (broke_connection, peer) {
            (false, _) => CrashSign::None,
            (true, None) => CrashSign::Suspected,
            (true, Some(_)) => CrashSign::LeftToPeer,
        }
    }
}

/// How one attempt at one backend server failed.
#[derive(Debug, Default)]
pub struct AttemptFailure {
    /// A fixed text that names the failure in logs and metrics.
    pub reason: &'static str,
    /// The error's own text, for logs.
    pub error: String,
    /// Whether the call reached the server, or may have.
    pub reached_server: bool,
    /// Whether the call may have run at the server.
    pub may_have_run: bool,
    /// Whether the failure points to a crash of the server.
    pub crash_sign: CrashSign,
    /// Whether another server uses the address now, so that the intended server received nothing.
    pub is_misdirected: bool,
}

/// Returns whether a status may end a request. Others, which the HTTP library lets through, are
/// signs of a server in trouble.
pub fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Returns why a response cannot be used, judged by its head; `None` if it can.
pub(super) fn head_failure(head: &ResponseHead) -> Option<AttemptFailure> {
    let (reason, may_have_run) = if !is_final_status(head.status) {
        ("the answer has a status that HTTP does not know", true)
    } else if !head.matches_call {
        ("the answer belongs to another call", true)
    } else if head.is_misdirected {
        ("another server is at its address", false)
    } else if head.not_run {
        ("the server did not run it", false)
    } else {
        return None;
    };
    let error = head.status.to_string();
    let is_misdirected = head.matches_call && head.is_misdirected;
    Some(AttemptFailure {
        reason,
        error,
        reached_server: true,
        may_have_run,
        crash_sign: CrashSign::None,
        is_misdirected,
    })
}

/// Returns the failure of a call that got no response.
pub(super) fn send_failure(error: &SendError) -> AttemptFailure {
    let (reason, crash_sign) = match error {
        SendError::NotConnected(_) | SendError::NotSent(_) => {
            ("the server was not reached", CrashSign::None)
        }
        SendError::ConnectionLost(_) => ("the connection broke", CrashSign::Suspected),
        SendError::PeerLost(_) => ("the connection through a peer broke", CrashSign::LeftToPeer),
        SendError::ServerCrashed => ("the connection broke", CrashSign::FoundByPeer),
    };
    let reached_server = crash_sign != CrashSign::None;
    AttemptFailure {
        reason,
        error: error.to_string(),
        reached_server,
        may_have_run: reached_server,
        crash_sign,
        is_misdirected: false,
    }
}
