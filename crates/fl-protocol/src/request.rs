//! The record of an accepted model request, kept by its owner and its guardian.

use crate::configuration::Priority;
use crate::ids::*;
use serde::{Deserialize, Serialize};

/// All that another node needs to carry an accepted request on.
///
/// See `docs/design/030-acceptance-and-guardian.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// The class of the call.
    pub class: String,
    /// Its priority.
    pub priority: Priority,
    /// The body as the caller sent it (a `ChatRequest` in JSON).
    pub body_json: String,
    /// Identifies the content, for reuse of a key and for quarantine.
    pub fingerprint: Fingerprint,
    /// The node that carries it.
    pub owner: VmName,
    /// The peer that keeps the copy; empty while there is none.
    pub guardian: VmName,
    /// Grows with each owner.
    pub epoch: OwnerEpoch,
    /// The engine stream that produces the answer, once there is one.
    pub stream: Option<StreamLocation>,
    /// Where the text was generated anew after it was lost, by epoch.
    pub restarts: Vec<Restart>,
    /// When it was accepted.
    pub accepted_at_ms: UnixMs,
    /// When the first token is due at the latest.
    pub deadline_at_ms: UnixMs,
}

/// Where an answer is being produced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLocation {
    /// The runner.
    pub runner: VmName,
    /// Its engine's address, `ip:port`.
    pub address: String,
    /// The stream's name at the engine.
    pub stream_id: String,
    /// The try that opened it.
    pub attempt: AttemptNumber,
    /// The answer's offset of the stream's first token; tokens before it came from an earlier try.
    pub base_offset: TokenOffset,
}

/// A place from which the text differs from what callers were sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// The epoch whose owner generated anew.
    pub epoch: OwnerEpoch,
    /// The first token that may differ.
    pub from_offset: TokenOffset,
}

impl RequestRecord {
    /// The epoch that events of the present text are marked with; 0 while nothing was restarted.
    pub fn text_epoch(&self) -> OwnerEpoch {
        self.restarts.last().map_or(0, |restart| restart.epoch)
    }

    /// Says whether a caller that holds `held_tokens` tokens of an earlier text must drop them.
    pub fn must_restart(&self, held_epoch: OwnerEpoch, held_tokens: TokenOffset) -> bool {
        self.restarts
            .iter()
            .any(|restart| restart.epoch > held_epoch && restart.from_offset < held_tokens)
    }
}
