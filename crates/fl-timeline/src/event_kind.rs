//! Names and groups of event kinds, as the text and the HTML page show them.

use fl_protocol::event::EventKind;

/// A group of event kinds that share a colour and a shape in the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventGroup {
    /// Normal progress of a request.
    Request,
    /// A request moves to another node, guardian or stream.
    Move,
    /// A call that is not retryable changes its state in the ledger.
    Ledger,
    /// A failure or a refusal.
    Failure,
    /// Changes of nodes, membership, leases, configuration and the platform.
    Control,
}

/// All groups, in the order of the chart's legend.
pub const EVENT_GROUPS: [EventGroup; 5] = [
    EventGroup::Request,
    EventGroup::Move,
    EventGroup::Ledger,
    EventGroup::Failure,
    EventGroup::Control,
];

/// Returns the name of a kind in JSON, such as `taken-over`.
pub fn kind_name(kind: EventKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}

/// Returns the group that a kind is shown in.
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
    /// Returns the name of the group, which is also its CSS class.
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
