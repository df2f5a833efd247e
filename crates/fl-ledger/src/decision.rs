//! What a try does about the row it reads.

use crate::row::{ClaimNonce, InstanceId, RowState, VersionedRow};
use fl_protocol::call::ServiceAnswer;
use fl_protocol::{Fingerprint, ServiceName, UnixMs, VmName};

/// How long after a release tries that were received before it may still be on their way.
///
/// A try received within this time of the release answers *not run* like the release itself; only
/// a later one takes the call over. So *not run* holds for the key and not just for one try.
pub const RELEASE_HOLD_MS: u64 = 1000;
/// The greatest difference between the wall clocks of two nodes that is provided for.
pub const MAX_CLOCK_SKEW_MS: u64 = 200;

/// One try of a caller at one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptParams {
    /// The claim it makes, should it make one.
    pub nonce: ClaimNonce,
    /// The node.
    pub owner: VmName,
    /// The life of the node's process.
    pub instance_id: InstanceId,
    /// The service.
    pub service: ServiceName,
    /// What is called with what.
    pub fingerprint: Fingerprint,
    /// When the caller's request was received, on the node's wall clock.
    pub received_at_ms: UnixMs,
}

/// Why a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The table service gave no answer that could be relied on.
    TableUnavailable,
    /// No application server accepted a connection.
    NoBackend,
    /// Another try of the call was released a moment ago.
    RecentlyReleased,
}

/// What the owner of a claim says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OwnerReply {
    /// It can no longer be dispatched.
    Released,
    /// It has no outcome yet.
    Running,
    /// Its outcome is being recorded, or was.
    Ended,
    /// The owner's process knows nothing of it: it is another life of the owner.
    UnknownClaim,
    /// The owner does not answer: dead, paused or cut off.
    Unreachable,
}

/// What a try does about the row it reads.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Writes its claim on the condition of this revision.
    Claim(u64),
    /// Holds the claim.
    AlreadyHeld,
    /// Asks the claim's owner.
    AskOwner,
    /// Gives the recorded answer.
    ReturnAnswer(ServiceAnswer),
    /// Says that the key was used with another body.
    KeyReused,
    /// Says that the outcome is unknown.
    OutcomeUnknown,
    /// Says that the call was not run.
    NotRun,
    /// Says that this try was not run, and leaves open what became of others.
    AttemptNotRun,
}

/// Decides what a try does about the row it read, `None` being no row.
pub fn decide(seen: Option<&VersionedRow>, params: &AttemptParams, now_ms: UnixMs) -> Decision {
    let Some(VersionedRow { revision, row }) = seen else {
        return Decision::Claim(0);
    };
    if row.fingerprint != params.fingerprint {
        return Decision::KeyReused;
    }
    match row.state {
        RowState::Answered => row.answer().map_or(Decision::OutcomeUnknown, Decision::ReturnAnswer),
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

/// Says whether a try was received so late that no *not run* of the release concerns it.
pub fn may_take_over(released_at_ms: UnixMs, received_at_ms: UnixMs) -> bool {
    received_at_ms > released_at_ms + RELEASE_HOLD_MS
}

/// Says whether it is so early after a release that no try can have taken the call over yet.
pub fn precedes_any_takeover(released_at_ms: UnixMs, now_ms: UnixMs) -> bool {
    now_ms + MAX_CLOCK_SKEW_MS <= released_at_ms + RELEASE_HOLD_MS
}
