//! Events of the time line, and the timestamps of the hybrid logical clock that order the events of
//! all nodes.

use crate::ids::*;
use serde::{Deserialize, Serialize};

/// Timestamp of the hybrid logical clock, ordered by time, then by counter.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcTimestamp {
    /// Greatest wall-clock time seen so far, in milliseconds since the Unix epoch.
    pub time_ms: UnixMs,
    /// Counter that orders timestamps of the same millisecond.
    pub counter: u32,
}

/// Event of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Timestamp of the event; an effect always has a greater one than its cause.
    pub stamp: HlcTimestamp,
    /// VM of the node.
    pub vm: VmName,
    /// Data centre of the node.
    pub data_center: DataCenterName,
    /// Kind of the event.
    pub kind: EventKind,
    /// Id of the request that the event concerns, in hexadecimal.
    pub request_id: Option<String>,
    /// Further details as text.
    pub detail: String,
}

/// Kind of an event on the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The node started.
    NodeStarted,
    /// The node became ready.
    NodeReady,
    /// The node began to shut down.
    NodeLeaving,
    /// The node stopped.
    NodeStopped,
    /// A request was accepted.
    Accepted,
    /// A request was refused.
    Refused,
    /// The replica of a request was stored at its guardian, a peer in another data centre.
    GuardianPlaced,
    /// No node in another data centre could store the replica of a request; it was stored in the
    /// same data centre or nowhere.
    GuardianLocal,
    /// An attempt was sent to a backend server.
    AttemptStarted,
    /// An attempt at a backend server failed.
    AttemptFailed,
    /// The first token of a response arrived.
    FirstToken,
    /// A stream was resumed at its engine.
    Resumed,
    /// A response had to be generated again from some token on.
    Restarted,
    /// A request was handed over to a new owner.
    HandedOver,
    /// A request was taken over by this node.
    TakenOver,
    /// A response was completed.
    Whole,
    /// A request was given up since its response could not be completed or its content is
    /// quarantined.
    GivenUp,
    /// A request was cancelled or its caller did not return in time.
    Cancelled,
    /// The claim of a call was written to the ledger.
    Claimed,
    /// A call that must run at most once was sent to its service.
    Dispatched,
    /// The outcome of a call was recorded in the ledger.
    OutcomeRecorded,
    /// The claim of a call that did not run was released.
    ClaimReleased,
    /// The outcome of a call is unknown.
    OutcomeUnknown,
    /// The membership state of a node changed.
    MemberChanged,
    /// A configuration came into force at this node.
    ConfigurationInForce,
    /// The platform became unreachable or reachable again.
    PlatformChanged,
    /// A lease was acquired or lost.
    LeaseChanged,
    /// An order was given to an engine.
    OrderGiven,
    /// The reclaim of a VM was announced.
    VmLeaving,
    /// A backend server died without notice.
    ServerDied,
    /// The content of a request became suspect or quarantined or was cleared.
    Judged,
    /// A connection or datagram was refused since its sender did not prove the fleet key.
    StrangerRefused,
}
