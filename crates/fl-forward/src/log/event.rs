//! The events that are logged. Durations are in milliseconds, ages count from when the state was
//! known to be true.

use serde::Serialize;

/// An event: its fields are written as they serialise.
pub trait LogEvent: Serialize {
    /// The name of its kind.
    const KIND: &'static str;
    /// Lines a second; the usual rate if none.
    const LINES_PER_S: Option<u32> = None;
}

macro_rules! kinds {
    ($($event:ty => $kind:literal,)*) => {
        $(impl LogEvent for $event {
            const KIND: &'static str = $kind;
        })*
        /// Names of all kinds of events, for the page that lists them.
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
    TableUnreadable<'_> => "table_unreadable",
    ServerChanged<'_> => "server_changed",
    ServerEntryUnreadable<'_> => "server_entry_unreadable",
    CallRefused<'_> => "call_refused",
    QuotaShort<'_> => "quota_short",
    AttemptFailed<'_> => "attempt_failed",
    CallEnded<'_> => "call_ended",
    StreamResumed<'_> => "stream_resumed",
    PeerChanged<'_> => "peer_changed",
    ZoneChanged<'_> => "zone_changed",
    LeaseChanged<'_> => "lease_changed",
    UsageReported<'_> => "usage_reported",
    DutyFailed<'_> => "duty_failed",
    FleetOrdered<'_> => "fleet_ordered",
}

/// Lines of a kind were left out.
#[derive(Debug, Serialize)]
pub struct LinesSuppressed {
    /// The kind.
    pub kind: &'static str,
    /// How many.
    pub lines: u64,
}

/// The process started.
#[derive(Debug, Serialize)]
pub struct NodeStarted<'a> {
    /// Its version.
    pub version: &'a str,
    /// Where callers connect.
    pub callers: std::net::SocketAddr,
}

/// The node began to answer that it is ready.
#[derive(Debug, Serialize)]
pub struct NodeReady {
    /// The declared version in force.
    pub table_version: u64,
    /// Backend servers it may use.
    pub servers: usize,
}

/// The node was told to stop.
#[derive(Debug, Serialize)]
pub struct NodeLeaving {
    /// Calls under way.
    pub calls: usize,
}

/// The node ends.
#[derive(Debug, Serialize)]
pub struct NodeStopped {
    /// Calls that were still under way.
    pub calls: usize,
}

/// The settings were read again.
#[derive(Debug, Serialize)]
pub struct SettingsReread<'a> {
    /// What came of it.
    pub outcome: &'a str,
}

/// Something this node depends on stopped answering.
#[derive(Debug, Serialize)]
pub struct DependencyLost<'a> {
    /// What.
    pub dependency: &'a str,
    /// How it failed.
    pub error: String,
}

/// Something this node depends on answers again.
#[derive(Debug, Serialize)]
pub struct DependencyRegained<'a> {
    /// What.
    pub dependency: &'a str,
    /// How long it was away.
    pub away_ms: u64,
}

/// A version of what operators declared is in force here.
#[derive(Debug, Serialize)]
pub struct TableInForce {
    /// The version.
    pub version: u64,
    /// The version before.
    pub previous: u64,
    /// Its routes.
    pub routes: usize,
    /// Its workspaces.
    pub workspaces: usize,
    /// Its keys.
    pub keys: usize,
}

/// A version of what operators declared cannot be read; the last one stays in force.
#[derive(Debug, Serialize)]
pub struct TableUnreadable<'a> {
    /// What is wrong.
    pub fault: &'a str,
    /// The version that stays in force.
    pub in_force: u64,
}

/// A backend server joined, drains or is gone.
#[derive(Debug, Serialize)]
pub struct ServerChanged<'a> {
    /// The server.
    pub server: &'a str,
    /// What became of it.
    pub change: &'a str,
    /// The revision of the store that said so.
    pub revision: u64,
}

/// A registry entry cannot be read; it names no server.
#[derive(Debug, Serialize)]
pub struct ServerEntryUnreadable<'a> {
    /// Its name.
    pub server: &'a str,
    /// What is wrong.
    pub fault: &'a str,
}

/// A call was refused or failed by this node.
#[derive(Debug, Serialize)]
pub struct CallRefused<'a> {
    /// The attempt of the caller; empty if its request could not be read.
    pub request_id: &'a str,
    /// The status.
    pub status: u16,
    /// Why.
    pub reason: &'a str,
    /// The route, if one was found.
    pub route: &'a str,
    /// The workspace, if one was found.
    pub workspace: &'a str,
    /// The declared version that decided.
    pub table_version: u64,
    /// How old this node's knowledge of it was.
    pub table_age_ms: Option<u64>,
    /// When the caller may come back.
    pub retry_after_ms: Option<u64>,
    /// Backend servers it was sent to.
    pub sends: u32,
    /// How long the call was here.
    pub held_ms: u64,
}

/// A workspace's quota did not suffice for a call.
#[derive(Debug, Serialize)]
pub struct QuotaShort<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The workspace.
    pub workspace: &'a str,
    /// Units asked for.
    pub units: u64,
    /// Units free over all nodes, as this node believed.
    pub free: i64,
    /// What the quota gains a second.
    pub rate_per_s: u64,
    /// Nodes that share it, as this node believed.
    pub nodes: usize,
}

/// A call did not succeed at one backend server.
#[derive(Debug, Serialize)]
pub struct AttemptFailed<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The backend server.
    pub server: &'a str,
    /// How it failed.
    pub failure: &'a str,
    /// Details.
    pub error: &'a str,
    /// Whether the call may have run there.
    pub may_have_run: bool,
    /// How long it took.
    pub after_ms: u64,
}

/// A call was answered.
#[derive(Debug, Serialize)]
pub struct CallEnded<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The route.
    pub route: &'a str,
    /// The workspace.
    pub workspace: &'a str,
    /// The backend server that answered last.
    pub server: &'a str,
    /// The status.
    pub status: u16,
    /// Whether it ended well, broke off, or its caller left.
    pub outcome: &'a str,
    /// Backend servers it was sent to.
    pub sends: u32,
    /// Time to the first byte for the caller.
    pub first_ms: u64,
    /// The wait that was predicted when its server was chosen.
    pub predicted_ms: u64,
    /// How long the call was here.
    pub held_ms: u64,
    /// Calls in flight at the server as this node believed.
    pub in_flight: u32,
}

/// A stream goes on at another backend server.
#[derive(Debug, Serialize)]
pub struct StreamResumed<'a> {
    /// The attempt of the caller.
    pub request_id: &'a str,
    /// The backend server that it goes on at.
    pub server: &'a str,
    /// The last event the caller has.
    pub last_event_id: u64,
}

/// A peer was heard for the first time, fell silent or came back.
#[derive(Debug, Serialize)]
pub struct PeerChanged<'a> {
    /// The peer.
    pub peer: &'a str,
    /// What became of it.
    pub change: &'a str,
    /// How long it was silent.
    pub silent_ms: u64,
}

/// A data centre seems cut off from this node, or is heard again.
#[derive(Debug, Serialize)]
pub struct ZoneChanged<'a> {
    /// The data centre.
    pub data_centre: &'a str,
    /// What became of it.
    pub change: &'a str,
}

/// The lease of the duties changed hands as far as this node knows.
#[derive(Debug, Serialize)]
pub struct LeaseChanged<'a> {
    /// What happened.
    pub change: &'a str,
    /// Who holds it.
    pub holder: &'a str,
    /// Its fencing number.
    pub fencing: u64,
}

/// The usage of one window was reported.
#[derive(Debug, Serialize)]
pub struct UsageReported<'a> {
    /// The window.
    pub window: u64,
    /// Calls counted.
    pub calls: u64,
    /// The fencing number.
    pub fencing: u64,
    /// What came of it.
    pub outcome: &'a str,
}

/// A duty could not be performed.
#[derive(Debug, Serialize)]
pub struct DutyFailed<'a> {
    /// The duty.
    pub duty: &'a str,
    /// How it failed.
    pub error: String,
}

/// Backend servers were ordered.
#[derive(Debug, Serialize)]
pub struct FleetOrdered<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre.
    pub data_centre: &'a str,
    /// Whether the cloud may take them back.
    pub reclaimable: bool,
    /// How many there shall be.
    pub wanted: u32,
    /// How many there are.
    pub present: u32,
    /// Servers that the highest demand of the last while asks for.
    pub needed_ample: f64,
    /// Servers that the demand of now asks for at least.
    pub needed_least: f64,
    /// The rate at which one server reads prompts, as learned.
    pub read_tokens_per_ms: f64,
    /// The fencing number.
    pub fencing: u64,
    /// What came of it.
    pub outcome: &'a str,
}
