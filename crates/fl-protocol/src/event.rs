//! Events of the time line, and the hybrid logical clock stamps that order them over all nodes.

use crate::ids::*;
use serde::{Deserialize, Serialize};

/// A stamp of the hybrid logical clock: ordered by time, then by counter.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcTimestamp {
    /// The greatest wall-clock time seen, in milliseconds since the Unix epoch.
    pub time_ms: UnixMs,
    /// Orders stamps of the same millisecond.
    pub counter: u32,
}

/// One event of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, so that an effect never comes before its cause.
    pub stamp: HlcTimestamp,
    /// The node.
    pub vm: VmName,
    /// Its data centre.
    pub data_center: DataCenterName,
    /// What happened.
    pub kind: EventKind,
    /// The request it concerns, in hexadecimal.
    pub request_id: Option<String>,
    /// What a reader needs besides.
    pub detail: String,
}

/// The kinds of events on the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The node started.
    NodeStarted,
    /// The node became ready.
    NodeReady,
    /// The node began to leave.
    NodeLeaving,
    /// The node stopped.
    NodeStopped,
    /// A request was accepted.
    Accepted,
    /// A request was refused.
    Refused,
    /// A copy of a request was placed at its guardian.
    GuardianPlaced,
    /// No other data centre could keep the copy.
    GuardianLocal,
    /// A try was sent to a backend server.
    AttemptStarted,
    /// A try failed.
    AttemptFailed,
    /// The first token arrived.
    FirstToken,
    /// A stream was resumed.
    Resumed,
    /// An answer had to start again.
    Restarted,
    /// A request was handed to a new owner.
    HandedOver,
    /// A request was taken over.
    TakenOver,
    /// An answer was whole.
    Whole,
    /// A request was given up.
    GivenUp,
    /// A request was cancelled.
    Cancelled,
    /// A claim was written.
    Claimed,
    /// A call that may not be repeated was dispatched.
    Dispatched,
    /// The outcome of a call was recorded.
    OutcomeRecorded,
    /// A claim was released.
    ClaimReleased,
    /// A call's outcome is unknown.
    OutcomeUnknown,
    /// A member changed its state.
    MemberChanged,
    /// A configuration came into force.
    ConfigurationInForce,
    /// The platform could not be reached, or can be again.
    PlatformChanged,
    /// A lease was won or lost.
    LeaseChanged,
    /// An order was given to an engine.
    OrderGiven,
    /// A VM was said to be leaving.
    VmLeaving,
    /// A backend server died without notice.
    ServerDied,
    /// A content became suspect, clear or quarantined.
    Judged,
    /// A stranger was turned away at the peer port.
    StrangerRefused,
}
