//! Names and groups of event kinds, for readers.

use fl_protocol::event::EventKind;

/// Groups of kinds that are drawn alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventGroup {
    /// A request goes its ordinary way.
    Request,
    /// A request changes its node or its stream.
    Move,
    /// A call that may not be repeated changes its state.
    Ledger,
    /// Something failed.
    Failure,
    /// Nodes, membership, leases, configuration and the platform.
    Control,
}

/// All groups, in the order of the legend.
pub const EVENT_GROUPS: [EventGroup; 5] = [
    EventGroup::Request,
    EventGroup::Move,
    EventGroup::Ledger,
    EventGroup::Failure,
    EventGroup::Control,
];

/// The published name of a kind, as it stands in JSON.
pub fn kind_name(kind: EventKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}

/// The group of a kind.
pub fn event_group(kind: EventKind) -> EventGroup {
    match kind {
        EventKind::Accepted
        | EventKind::GuardianPlaced
        | EventKind::AttemptStarted
        | EventKind::FirstToken
        | EventKind::Whole
        | EventKind::Cancelled => EventGroup::Request,
        EventKind::GuardianLocal
        | EventKind::Resumed
        | EventKind::Restarted
        | EventKind::HandedOver
        | EventKind::TakenOver => EventGroup::Move,
        EventKind::Claimed
        | EventKind::Dispatched
        | EventKind::OutcomeRecorded
        | EventKind::ClaimReleased => EventGroup::Ledger,
        EventKind::Refused
        | EventKind::AttemptFailed
        | EventKind::GivenUp
        | EventKind::OutcomeUnknown
        | EventKind::ServerDied
        | EventKind::Judged
        | EventKind::StrangerRefused => EventGroup::Failure,
        EventKind::NodeStarted
        | EventKind::NodeReady
        | EventKind::NodeLeaving
        | EventKind::NodeStopped
        | EventKind::MemberChanged
        | EventKind::ConfigurationInForce
        | EventKind::PlatformChanged
        | EventKind::LeaseChanged
        | EventKind::OrderGiven
        | EventKind::VmLeaving => EventGroup::Control,
    }
}

impl EventGroup {
    /// The name of the group, also its style class.
    pub fn name(self) -> &'static str {
        match self {
            EventGroup::Request => "request",
            EventGroup::Move => "move",
            EventGroup::Ledger => "ledger",
            EventGroup::Failure => "failure",
            EventGroup::Control => "control",
        }
    }
}
