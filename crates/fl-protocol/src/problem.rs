//! Error responses to callers: the kind of problem, whether the call took effect, and when to
//! retry.
//!
//! Bodies are `application/problem+json`. `docs/OPERATING.md` lists the kinds for operators.

use crate::ids::{RequestId, format_request_id};
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Whether a call took effect, as far as the system can guarantee it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionState {
    /// The call did not run, and this attempt will not run it later.
    NotRun,
    /// The call may have run; the system will not run it again.
    Unknown,
    /// Part of the response was produced.
    Partial,
}

/// Reason why a call is not served; each message says how to proceed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Problem {
    /// the request is malformed: {0}; correct it and send it again
    Malformed(String),
    /// workspace {0} is unknown; check the x-workspace header or ask the operator to declare it
    UnknownWorkspace(String),
    /// the workspace key does not match; check the authorization header
    WrongKey,
    /// {kind} {name} is not open to this workspace; ask the operator to allow it
    NotAllowed {
        /// Kind of resource: `model`, `adapter`, `service` or `class`.
        kind: String,
        /// Name of the resource.
        name: String,
    },
    /// the body is larger than {limit_bytes} bytes; send a smaller one
    BodyTooLarge {
        /// Largest allowed body, in bytes.
        limit_bytes: u64,
    },
    /// no memory is free for the body, so the call was not started; come back later
    NoMemory {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// the idempotency key was used with another body; use a new key for a new call
    KeyReused,
    /// the service {0} requires an Idempotency-Key header; choose a key and send it with each try
    KeyRequired(String),
    /// no request {0} is known; it ended or was never accepted, so send it anew
    UnknownRequest(String),
    /// workspace {workspace} is over its limit; come back later
    OverLimit {
        /// Name of the workspace.
        workspace: String,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// the deadline cannot be met now; come back later
    Overloaded {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// no backend server can run this now; come back later
    NoBackend {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// the table service cannot be reached, so the call was not started; come back later
    PlatformUnavailable {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// this try was not started and earlier ones cannot be looked up; send the same key again later
    EarlierTryUnknown {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// the call was started and its outcome is unknown; ask the service's owner before trying anew
    OutcomeUnknown,
    /// the same call is running now; ask again with the same key for its answer
    StillRunning {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// the request made backend servers fail and is quarantined; change it before sending it again
    Quarantined,
    /// the answer could not be completed in time; send the request again
    GivenUp {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// this node is not ready: {reason}; the balancer will choose another
    NotReady {
        /// Reason why the node is not ready.
        reason: String,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// the request was cancelled by its caller
    Cancelled,
    /// an internal error: {0}; report it with the request id
    Internal(String),
}

/// Response body for a [`Problem`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Kind, as `urn:filbertlead:problem:<kind>`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Message for the caller.
    pub title: String,
    /// HTTP status; also set when the problem is sent inside a stream that had begun.
    pub status: u16,
    /// Whether the call took effect.
    pub what_was_done: ExecutionState,
    /// Id of the request in hexadecimal, if it has one already.
    pub request_id: Option<String>,
    /// Time after which the caller may retry, in seconds, if a retry can succeed.
    pub retry_after_s: Option<u64>,
}

impl Problem {
    /// Returns the stable name of the kind, which bodies, metrics and logs use.
    pub fn kind(&self) -> &'static str {
        match self {
            Problem::Malformed(_) => "malformed",
            Problem::UnknownWorkspace(_) => "unknown-workspace",
            Problem::WrongKey => "wrong-key",
            Problem::NotAllowed { .. } => "not-allowed",
            Problem::BodyTooLarge { .. } => "body-too-large",
            Problem::NoMemory { .. } => "no-memory",
            Problem::KeyReused => "key-reused",
            Problem::KeyRequired(_) => "key-required",
            Problem::UnknownRequest(_) => "unknown-request",
            Problem::OverLimit { .. } => "over-limit",
            Problem::Overloaded { .. } => "overloaded",
            Problem::NoBackend { .. } => "no-backend",
            Problem::PlatformUnavailable { .. } => "platform-unavailable",
            Problem::EarlierTryUnknown { .. } => "earlier-try-unknown",
            Problem::OutcomeUnknown => "outcome-unknown",
            Problem::StillRunning { .. } => "still-running",
            Problem::Quarantined => "quarantined",
            Problem::GivenUp { .. } => "given-up",
            Problem::NotReady { .. } => "not-ready",
            Problem::Cancelled => "cancelled",
            Problem::Internal(_) => "internal",
        }
    }

    /// Returns the HTTP status of the kind.
    pub fn status(&self) -> u16 {
        match self {
            Problem::Malformed(_) | Problem::KeyRequired(_) => 400,
            Problem::UnknownWorkspace(_) | Problem::WrongKey => 401,
            Problem::NotAllowed { .. } => 403,
            Problem::UnknownRequest(_) => 404,
            Problem::StillRunning { .. } | Problem::Cancelled => 409,
            Problem::BodyTooLarge { .. } => 413,
            Problem::KeyReused | Problem::Quarantined => 422,
            Problem::OverLimit { .. } => 429,
            Problem::Internal(_) => 500,
            Problem::OutcomeUnknown => 502,
            Problem::NoMemory { .. }
            | Problem::Overloaded { .. }
            | Problem::NoBackend { .. }
            | Problem::PlatformUnavailable { .. }
            | Problem::EarlierTryUnknown { .. }
            | Problem::NotReady { .. } => 503,
            Problem::GivenUp { .. } => 504,
        }
    }

    /// Returns the time after which the caller may retry, if a retry can succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Problem::OverLimit { retry_after, .. }
            | Problem::NoMemory { retry_after }
            | Problem::Overloaded { retry_after }
            | Problem::NoBackend { retry_after }
            | Problem::PlatformUnavailable { retry_after }
            | Problem::EarlierTryUnknown { retry_after }
            | Problem::StillRunning { retry_after }
            | Problem::GivenUp { retry_after }
            | Problem::NotReady { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// Returns whether the call took effect.
    pub fn execution_state(&self) -> ExecutionState {
        match self {
            Problem::OutcomeUnknown
            | Problem::EarlierTryUnknown { .. }
            | Problem::StillRunning { .. }
            | Problem::Internal(_) => ExecutionState::Unknown,
            Problem::GivenUp { .. } | Problem::Cancelled => ExecutionState::Partial,
            _ => ExecutionState::NotRun,
        }
    }

    /// Builds the response body.
    pub fn body(&self, request_id: Option<RequestId>) -> ProblemBody {
        ProblemBody {
            kind: format!("urn:filbertlead:problem:{}", self.kind()),
            title: self.to_string(),
            status: self.status(),
            what_was_done: self.execution_state(),
            request_id: request_id.map(format_request_id),
            retry_after_s: self.retry_after().map(round_up_to_seconds),
        }
    }
}

/// Rounds a duration up to whole seconds, at least one, as the `Retry-After` header requires.
pub fn round_up_to_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1000).max(1) as u64
}
