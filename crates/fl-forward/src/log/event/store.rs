//! Log events of what is read from the platform's store.

use serde::Serialize;

/// Calls to something this node depends on began to fail.
#[derive(Debug, Serialize)]
pub struct DependencyLost<'a> {
    /// What the node depends on, such as the server registry.
    pub dependency: &'a str,
    /// The error of the first failed call.
    pub error: String,
}

/// Calls to something this node depends on succeed again.
#[derive(Debug, Serialize)]
pub struct DependencyRegained<'a> {
    /// What the node depends on, such as the server registry.
    pub dependency: &'a str,
    /// Time since the first failed call.
    pub away_ms: u64,
}

/// A route table version came into force at this node.
#[derive(Debug, Serialize)]
pub struct TableInForce {
    /// The version now in force.
    pub version: u64,
    /// The version that was in force before.
    pub previous: u64,
    /// Number of routes in the table.
    pub routes: usize,
    /// Number of workspaces in the table.
    pub workspaces: usize,
    /// Number of API keys in the table.
    pub keys: usize,
    /// Duration of the read that brought the version, including the wait for a change.
    pub read_ms: u64,
}

/// A read of the route table failed and is repeated after a pause.
#[derive(Debug, Serialize)]
pub struct TableReadFailed {
    /// Time since the read, or the wait before it, began.
    pub read_ms: u64,
    /// Number of failed reads in a row, this one included.
    pub failures: u32,
    /// What failed.
    pub error: String,
}

/// A read of the route table was abandoned, since a peer reported a newer version.
#[derive(Debug, Serialize)]
pub struct TableReadRestarted {
    /// Time since the read, or the wait before it, began.
    pub read_ms: u64,
    /// The version that the peer reported.
    pub reported_version: u64,
}

/// A route table version cannot be read; the last readable one stays in force.
#[derive(Debug, Serialize)]
pub struct TableUnreadable<'a> {
    /// What is wrong with the table.
    pub fault: &'a str,
    /// The version that stays in force.
    pub in_force: u64,
}

/// The store responded in a new incarnation: it has come back from an older copy.
#[derive(Debug, Serialize)]
pub struct StoreIncarnationSeen {
    /// The new incarnation.
    pub incarnation: u64,
    /// The incarnation that was known before.
    pub previous: u64,
}

/// This node's calls to the store for one purpose, over some seconds.
#[derive(Debug, Serialize)]
pub struct StoreCallsCounted {
    /// What the calls were for.
    pub purpose: &'static str,
    /// Number of calls, including those that failed.
    pub calls: u64,
    /// Number of calls that failed.
    pub failed: u64,
    /// Time over which they were counted.
    pub over_ms: u64,
}

/// What began streams, and the versions of services, were read from the store.
#[derive(Debug, Serialize)]
pub struct StreamOriginsRead {
    /// Number of rows.
    pub rows: usize,
    /// Streams whose origins are young enough to count.
    pub streams: usize,
    /// Duration of the read.
    pub read_ms: u64,
}
