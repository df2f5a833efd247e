//! How an attempt proceeds from the row it reads.

use crate::row::{ClaimNonce, InstanceId, RowState, VersionedRow};
use fl_protocol::call::ServiceResponse;
use fl_protocol::{Fingerprint, ServiceName, UnixMs, VmName};

/// Time after a release during which attempts received earlier may still be in progress, in
/// milliseconds.
///
/// An attempt received within this time answers *not run*, as the attempt that released the call
/// did; only a later one takes over the call. *Not run* therefore holds for the idempotency key, not
/// for one attempt.
pub const RELEASE_HOLD_MS: u64 = 1000;
/// Greatest tolerated difference between the wall clocks of two nodes, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 200;

/// Inputs of one attempt: one caller's request for a call, received by one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptParams {
    /// Nonce of the claim that the attempt writes, if it writes one.
    pub nonce: ClaimNonce,
    /// VM of the node that received the request.
    pub owner: VmName,
    /// ID of the node's process instance.
    pub instance_id: InstanceId,
    /// Service to call.
    pub service: ServiceName,
    /// Fingerprint of the call's service and content.
    pub fingerprint: Fingerprint,
    /// Time at which the request was received, in Unix milliseconds on the node's wall clock.
    pub received_at_ms: UnixMs,
}

/// Reason why a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The table service did not answer, or refused the write.
    TableUnavailable,
    /// No application server accepted a connection, so nothing was sent.
    NoBackend,
    /// Another attempt released the call less than [`RELEASE_HOLD_MS`] ago.
    RecentlyReleased,
}

/// Reply of a claim's owner to another node that asks about the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OwnerReply {
    /// The owner gave up the right to dispatch the call.
    Released,
    /// The call has no outcome yet.
    Running,
    /// The outcome is recorded or is being recorded.
    Ended,
    /// The owner does not know the claim, because its process restarted since.
    UnknownClaim,
    /// The owner does not reply: it is dead, paused or unreachable.
    Unreachable,
}

/// Next action of an attempt, given the row it read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Write the attempt's claim if the row still has this revision; 0 stands for no row.
    Claim(u64),
    /// The row already holds this attempt's claim.
    AlreadyHeld,
    /// Ask the owner of the claim in the row.
    AskOwner,
    /// Return the recorded response.
    ReturnResponse(ServiceResponse),
    /// Report that the idempotency key was used with other content.
    KeyReused,
    /// Report that the outcome is unknown.
    OutcomeUnknown,
    /// Report that no attempt received so far ran the call.
    NotRun,
    /// Report that this attempt did not run the call; other attempts may have.
    AttemptNotRun,
}

/// Decides how an attempt proceeds from the row it read; `None` stands for no row.
pub fn decide(current: Option<&VersionedRow>, params: &AttemptParams, now_ms: UnixMs) -> Decision {
    let Some(VersionedRow { revision, row }) = current else {
        return Decision::Claim(0);
    };
    if row.fingerprint != params.fingerprint {
        return Decision::KeyReused;
    }
    match row.state {
        RowState::Answered => {
            row.response().map_or(Decision::OutcomeUnknown, Decision::ReturnResponse)
        }
        RowState::Unknown => Decision::OutcomeUnknown,
        RowState::Released if may_take_over(row.decided_at_ms, params.received_at_ms) => {
            Decision::Claim(*revision)
        }
        RowState::Released if precedes_any_takeover(row.decided_at_ms, now_ms) => Decision::NotRun,
        RowState::Released => Decision::AttemptNotRun,
        RowState::Claimed if row.nonce == params.nonce => Decision::AlreadyHeld,
        RowState::Claimed if row.owner == params.owner && row.life != params.instance_id => {
            Decision::OutcomeUnknown
        }
        RowState::Claimed => Decision::AskOwner,
    }
}

/// Returns whether an attempt was received after the hold of a release, so that it may run the
/// call.
pub fn may_take_over(released_at_ms: UnixMs, received_at_ms: UnixMs) -> bool {
    received_at_ms > released_at_ms + RELEASE_HOLD_MS
}

/// Returns whether it is still too early after a release for any attempt to have taken over the
/// call, clock skew included.
pub fn precedes_any_takeover(released_at_ms: UnixMs, now_ms: UnixMs) -> bool {
    now_ms + MAX_CLOCK_SKEW_MS <= released_at_ms + RELEASE_HOLD_MS
}
