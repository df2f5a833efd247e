//! Record of an accepted model request, which its owner and its guardian keep.

use crate::configuration::Priority;
use crate::ids::*;
use serde::{Deserialize, Serialize};

/// Data that another node needs to continue an accepted request.
///
/// The owner is the node that processes the request and serves its response. The guardian is a peer
/// that keeps a replica of the record, from which another node takes over if the owner fails.
///
/// See `docs/design/030-acceptance-and-guardian.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Class of the call.
    pub class: String,
    /// Priority of the class.
    pub priority: Priority,
    /// Body as the caller sent it, a [`ChatRequest`](crate::chat::ChatRequest) in JSON.
    pub body_json: String,
    /// Hash of the content, to detect the reuse of an idempotency key and for quarantine.
    pub fingerprint: Fingerprint,
    /// Node that owns the request.
    pub owner: VmName,
    /// Peer that keeps the replica; empty while there is none.
    pub guardian: VmName,
    /// Number of the owner, greater for each new owner.
    pub epoch: OwnerEpoch,
    /// Engine stream that generates the response, once it was started.
    pub stream: Option<StreamLocation>,
    /// Restarts of the response after its text was lost, in ascending order of epoch.
    pub restarts: Vec<Restart>,
    /// Time at which the request was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_ms: UnixMs,
    /// Deadline of the first token, in milliseconds since the Unix epoch.
    pub deadline_at_ms: UnixMs,
}

/// Location of the engine stream that generates a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLocation {
    /// VM of the runner.
    pub runner: VmName,
    /// Address of the runner's engine, as `ip:port`.
    pub address: String,
    /// Id of the stream at the engine.
    pub stream_id: String,
    /// Attempt that started the stream.
    pub attempt: AttemptNumber,
    /// Offset in the response of the stream's first token; tokens before it came from an earlier
    /// attempt.
    pub base_offset: TokenOffset,
}

/// Restart of a response, after which its text may differ from the text that callers received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// Epoch of the owner that restarted the response.
    pub epoch: OwnerEpoch,
    /// Offset of the first token that may differ.
    pub from_offset: TokenOffset,
}

impl RequestRecord {
    /// Returns the epoch that the events of the current text carry; 0 if it was never restarted.
    pub fn text_epoch(&self) -> OwnerEpoch {
        self.restarts.last().map_or(0, |restart| restart.epoch)
    }

    /// Returns whether a caller that received `held_tokens` tokens of the text of `held_epoch` must
    /// drop them.
    pub fn must_restart(&self, held_epoch: OwnerEpoch, held_tokens: TokenOffset) -> bool {
        self.restarts
            .iter()
            .any(|restart| restart.epoch > held_epoch && restart.from_offset < held_tokens)
    }
}
