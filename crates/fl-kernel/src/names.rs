//! The names under which services are registered.

/// A [`Configuration source`](crate::services::ConfigurationSource).
pub const CONFIGURATION: &str = "configuration";
/// The [`Membership`](crate::services::Membership).
pub const MEMBERSHIP: &str = "membership";
/// The [`Directory`](crate::services::Directory) of backend servers.
pub const DIRECTORY: &str = "directory";
/// The [`Router`](crate::services::Router).
pub const ROUTER: &str = "router";
/// The [`Admission`](crate::services::Admission).
pub const ADMISSION: &str = "admission";
/// The [`Ledger`](crate::services::Ledger).
pub const LEDGER: &str = "ledger";
/// The [`Quarantine`](crate::services::Quarantine).
pub const QUARANTINE: &str = "quarantine";
/// The [`EventLog`](crate::services::EventLog).
pub const EVENT_LOG: &str = "event-log";
/// The [`PeerRpc`](crate::services::PeerRpc).
pub const PEERS: &str = "peers";
