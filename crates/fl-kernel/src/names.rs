//! Names under which the services of a node are registered.

/// Name of the [`ConfigurationSource`](crate::services::ConfigurationSource).
pub const CONFIGURATION: &str = "configuration";
/// Name of the [`Membership`](crate::services::Membership).
pub const MEMBERSHIP: &str = "membership";
/// Name of the [`Directory`](crate::services::Directory) of backend servers.
pub const DIRECTORY: &str = "directory";
/// Name of the [`Router`](crate::services::Router).
pub const ROUTER: &str = "router";
/// Name of the [`Admission`](crate::services::Admission).
pub const ADMISSION: &str = "admission";
/// Name of the [`Ledger`](crate::services::Ledger).
pub const LEDGER: &str = "ledger";
/// Name of the [`Quarantine`](crate::services::Quarantine).
pub const QUARANTINE: &str = "quarantine";
/// Name of the [`EventLog`](crate::services::EventLog).
pub const EVENT_LOG: &str = "event-log";
/// Name of the [`PeerRpc`](crate::services::PeerRpc).
pub const PEERS: &str = "peers";
