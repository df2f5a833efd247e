//! The events that are logged. Durations are in milliseconds. The age of a route table or a list of
//! servers is the time since it was last known to be current.

mod call;
mod duty;
mod store;

pub use call::{
    AttemptFailed, CallEnded, CallProxied, CallRefused, QuarantineChanged, QuotaShort,
    ServerCrashed, StreamResumed, StreamTakenUp,
};
pub use duty::{
    DutyFailed, DutyRowUnreadable, FleetOrdered, LeaseChanged, RolloutAnswerBad, RolloutChanged,
    RolloutOrderUnreadable, RolloutStopped, UsageReported, UsageRowOutdated,
};
pub use store::{
    DependencyLost, DependencyRegained, StoreCallsCounted, StoreIncarnationSeen, StreamOriginsRead,
    TableInForce, TableReadFailed, TableReadRestarted, TableUnreadable,
};

use serde::Serialize;

/// A log event, whose serialized fields become keys of the line.
pub trait LogEvent: Serialize {
    /// The value of the line's `event` key.
    const KIND: &'static str;
    /// Limit of lines per second; `None` applies the default limit of a kind.
    const LINES_PER_S: Option<u32> = None;
}

macro_rules! kinds {
    ($($event:ty => $kind:literal,)*) => {
        $(impl LogEvent for $event {
            const KIND: &'static str = $kind;
        })*
        /// Names of all kinds of events, in the order of their declaration.
        pub const KINDS: &[&str] = &[$($kind),*];
    };
}

kinds! {
    LinesSuppressed => "lines_suppressed",
    NodeStarted<'_> => "node_started",
    NodeReady => "node_ready",
    NodeLeaving => "node_leaving",
    NodeStopped => "node_stopped",
    SettingsReread<'_> => "settings_reread",
    DependencyLost<'_> => "dependency_lost",
    DependencyRegained<'_> => "dependency_regained",
    TableInForce => "table_in_force",
    TableReadFailed => "table_read_failed",
    TableReadRestarted => "table_read_restarted",
    TableUnreadable<'_> => "table_unreadable",
    StoreIncarnationSeen => "store_incarnation_seen",
    StoreCallsCounted => "store_calls",
    StreamOriginsRead => "stream_origins_read",
    ServerChanged<'_> => "server_changed",
    ServerEntryUnreadable<'_> => "server_entry_unreadable",
    ServerLimitChanged<'_> => "server_limit_changed",
    ServerLeaving<'_> => "server_leaving",
    ServerBrittle<'_> => "server_brittle",
    ServerPaused<'_> => "server_paused",
    ServerNoticeInvalid<'_> => "server_notice_invalid",
    ServerCrashed<'_> => "server_crashed",
    LinksChanged<'_> => "links_changed",
    QuarantineChanged<'_> => "quarantine_changed",
    CallRefused<'_> => "call_refused",
    QuotaShort<'_> => "quota_short",
    AttemptFailed<'_> => "attempt_failed",
    CallEnded<'_> => "call_ended",
    CallProxied<'_> => "call_proxied",
    StreamResumed<'_> => "stream_resumed",
    StreamTakenUp<'_> => "stream_taken_up",
    PeerChanged<'_> => "peer_changed",
    ZoneChanged<'_> => "zone_changed",
    ReaderChanged => "reader_changed",
    LeaseChanged<'_> => "lease_changed",
    UsageReported<'_> => "usage_reported",
    UsageRowOutdated => "usage_row_outdated",
    DutyFailed<'_> => "duty_failed",
    DutyRowUnreadable<'_> => "duty_row_unreadable",
    FleetOrdered<'_> => "fleet_ordered",
    RolloutChanged<'_> => "rollout_changed",
    RolloutStopped<'_> => "rollout_stopped",
    RolloutAnswerBad<'_> => "rollout_answer_bad",
    RolloutOrderUnreadable<'_> => "rollout_order_unreadable",
}

/// Lines of a kind were dropped because of its rate limit.
#[derive(Debug, Serialize)]
pub struct LinesSuppressed {
    /// The kind of the dropped lines.
    pub kind: &'static str,
    /// The number of dropped lines.
    pub lines: u64,
}

/// The node's process started.
#[derive(Debug, Serialize)]
pub struct NodeStarted<'a> {
    /// The version of the program.
    pub version: &'a str,
    /// The address that callers connect to.
    pub callers: std::net::SocketAddr,
}

/// The node became ready for calls.
#[derive(Debug, Serialize)]
pub struct NodeReady {
    /// The route table version in force.
    pub table_version: u64,
    /// Number of backend servers it may use.
    pub servers: usize,
}

/// The node was told to stop and begins to leave.
#[derive(Debug, Serialize)]
pub struct NodeLeaving {
    /// Number of calls that have not ended.
    pub calls: usize,
}

/// The node stops.
#[derive(Debug, Serialize)]
pub struct NodeStopped {
    /// Number of calls that had not ended.
    pub calls: usize,
}

/// The settings were read again after SIGHUP.
#[derive(Debug, Serialize)]
pub struct SettingsReread<'a> {
    /// Whether they changed, or why they could not be read.
    pub outcome: &'a str,
}

/// A backend server was listed, began to drain, or is no longer listed.
#[derive(Debug, Serialize)]
pub struct ServerChanged<'a> {
    /// The name of the server.
    pub server: &'a str,
    /// `joined`, `draining` or `gone`.
    pub change: &'a str,
    /// The store's incarnation when it sent the list that shows the change.
    pub incarnation: u64,
    /// The store's revision of that list.
    pub revision: u64,
}

/// A registry entry cannot be read, so its server is not used.
#[derive(Debug, Serialize)]
pub struct ServerEntryUnreadable<'a> {
    /// The name of the entry.
    pub server: &'a str,
    /// What is wrong with the entry.
    pub fault: &'a str,
}

/// A backend server named a rate limit, changed it, or no longer names one.
#[derive(Debug, Serialize)]
pub struct ServerLimitChanged<'a> {
    /// The server.
    pub server: &'a str,
    /// The limit in calls per second from all nodes together; `null` if it has ended.
    pub limit_per_s: Option<f64>,
    /// How this node knows: `response` or `peer`.
    pub source: &'a str,
}

/// A backend server said in a response that it leaves, so this node sends it nothing more.
#[derive(Debug, Serialize)]
pub struct ServerLeaving<'a> {
    /// The server.
    pub server: &'a str,
    /// How this node knows: `response` or `peer`.
    pub source: &'a str,
}

/// A backend server said that it falls over when it turns many calls away, said so no longer, or
/// turned a call of this node away meanwhile.
#[derive(Debug, Serialize)]
pub struct ServerBrittle<'a> {
    /// The server.
    pub server: &'a str,
    /// Calls per second that it may turn away; `null` if it is no longer brittle.
    pub brittle_per_s: Option<f64>,
    /// Whether it turned the call away.
    pub turned_away: bool,
    /// How this node knows: `response`.
    pub source: &'a str,
}

/// A backend server asked this node to send nothing for a time.
#[derive(Debug, Serialize)]
pub struct ServerPaused<'a> {
    /// The server.
    pub server: &'a str,
    /// The time from now.
    pub pause_ms: u64,
}

/// A backend server named a limit or a pause with a value that cannot be used; it is ignored.
/// Logged once for each instance of a server.
#[derive(Debug, Serialize)]
pub struct ServerNoticeInvalid<'a> {
    /// The server.
    pub server: &'a str,
}

/// This node no longer reaches any backend server, or reaches one again.
#[derive(Debug, Serialize)]
pub struct LinksChanged<'a> {
    /// `lost` or `regained`.
    pub change: &'a str,
    /// Distinct servers that could not be reached since one was; 0 when one is reached again.
    pub failed_servers: usize,
    /// How long none was reached; 0 when the links are lost.
    pub lost_ms: u64,
}

/// A peer's reports began, stopped or resumed.
#[derive(Debug, Serialize)]
pub struct PeerChanged<'a> {
    /// The name of the peer's VM.
    pub peer: &'a str,
    /// `heard` or `silent`.
    pub change: &'a str,
    /// How long it had sent no report.
    pub silent_ms: u64,
}

/// From now on, this node queries another peer for the store's state, or reads the store itself.
#[derive(Debug, Serialize)]
pub struct ReaderChanged {
    /// The peer that it queries; `None` if it reads the store itself.
    pub reader: Option<std::net::SocketAddr>,
    /// The age of its list of servers.
    pub registry_age_ms: Option<u64>,
    /// The age of its route table.
    pub table_age_ms: Option<u64>,
}

/// A data centre seems unreachable from this node, or its nodes' reports arrive again.
#[derive(Debug, Serialize)]
pub struct ZoneChanged<'a> {
    /// The name of the data centre.
    pub data_centre: &'a str,
    /// `cut off` or `heard again`.
    pub change: &'a str,
}
