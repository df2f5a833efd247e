//! The events that are logged. Durations are in milliseconds, ages count from when the state was
//! known to be true.

mod call;
mod duty;

pub use call::{AttemptFailed, CallEnded, CallRefused, QuotaShort, StreamResumed};
pub use duty::{DutyFailed, FleetOrdered, LeaseChanged, UsageReported};

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
    ReaderChanged => "reader_changed",
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

/// This node begins to ask another peer what the store says, or to read it itself.
#[derive(Debug, Serialize)]
pub struct ReaderChanged {
    /// The peer that it asks; none if it reads the store itself.
    pub reader: Option<std::net::SocketAddr>,
    /// How old its list of servers is.
    pub registry_age_ms: Option<u64>,
    /// How old its knowledge of what is declared is.
    pub table_age_ms: Option<u64>,
}

/// A data centre seems cut off from this node, or is heard again.
#[derive(Debug, Serialize)]
pub struct ZoneChanged<'a> {
    /// The data centre.
    pub data_centre: &'a str,
    /// What became of it.
    pub change: &'a str,
}
