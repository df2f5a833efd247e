//! Log events of the duties.

use serde::Serialize;

/// This node acquired or lost the lease of the duties.
#[derive(Debug, Serialize)]
pub struct LeaseChanged<'a> {
    /// How the lease changed.
    pub change: &'static str,
    /// The node that holds the lease; empty if this node lost it.
    pub holder: &'a str,
    /// The lease's fencing token; 0 if this node lost it.
    pub fencing: u64,
    /// Time in milliseconds that the new holder waits for calls of the former one.
    pub wait_ms: u64,
}

/// A usage report was sent.
#[derive(Debug, Serialize)]
pub struct UsageReported<'a> {
    /// The number of the reported window.
    pub window: u64,
    /// Number of calls in the report.
    pub calls: u64,
    /// The fencing token that was sent along.
    pub fencing: u64,
    /// Time in milliseconds for which calls could still be sent when the report was.
    pub lease_left_ms: u64,
    /// Time in milliseconds until the platform answered or the report was given up.
    pub took_ms: u64,
    /// Whether the report was accepted.
    pub outcome: &'a str,
}

/// The stored usage report is of an older incarnation of the store, so later reports may be lost.
/// Windows that had ended before the store came back are not reported.
#[derive(Debug, Serialize)]
pub struct UsageRowOutdated {
    /// The store's incarnation.
    pub incarnation: u64,
    /// The incarnation in which the row was written; 0 if there is no row.
    pub row_incarnation: u64,
}

/// A row of the duties cannot have been written by a node. It is replaced by the next write.
#[derive(Debug, Serialize)]
pub struct DutyRowUnreadable<'a> {
    /// The key of the row.
    pub key: &'a str,
    /// The revision of the row.
    pub revision: u64,
}

/// A duty failed; it is tried again.
#[derive(Debug, Serialize)]
pub struct DutyFailed<'a> {
    /// The duty, such as the usage report.
    pub duty: &'a str,
    /// The error's text.
    pub error: String,
}

/// The holder of the lease wrote how far a rollout is.
#[derive(Debug, Serialize)]
pub struct RolloutChanged<'a> {
    /// The service.
    pub service: &'a str,
    /// The version that its traffic is moved to.
    pub software_version: &'a str,
    /// `watching`, `moving`, `completed` or `rolled back`.
    pub state: &'a str,
    /// Why.
    pub reason: &'a str,
    /// Time since the order.
    pub elapsed_ms: u64,
    /// Answers of the version since the order, of all nodes, as far as known.
    pub answers: u64,
    /// How many of them failed.
    pub failed: u64,
}

/// This node found a version bad and sends it nothing more.
#[derive(Debug, Serialize)]
pub struct RolloutStopped<'a> {
    /// The service.
    pub service: &'a str,
    /// The version.
    pub software_version: &'a str,
    /// The route whose answers show it; empty if all routes together do.
    pub route: &'a str,
    /// What they failed: `failed`, `late` or `slow`.
    pub check: &'a str,
    /// Answers of the version that failed the check, of all nodes, as far as known.
    pub bad: u64,
    /// All answers of the version that were checked.
    pub answers: u64,
    /// Share of the old version's answers that failed the same check lately.
    pub old_share: f64,
    /// Time since the order.
    pub elapsed_ms: u64,
}

/// An answer of a version that is being rolled out was bad.
#[derive(Debug, Serialize)]
pub struct RolloutAnswerBad<'a> {
    /// The id of the caller's attempt.
    pub request_id: &'a str,
    /// The service.
    pub service: &'a str,
    /// The route of the call.
    pub route: &'a str,
    /// The server.
    pub server: &'a str,
    /// Its version.
    pub software_version: &'a str,
    /// What it failed: `failed`, `late` or `slow`.
    pub check: &'a str,
    /// Time since the call was sent.
    pub after_ms: u64,
}

/// A row with an order of a rollout cannot be read, so it is ignored.
#[derive(Debug, Serialize)]
pub struct RolloutOrderUnreadable<'a> {
    /// The key of the row.
    pub key: &'a str,
    /// What is wrong with it.
    pub fault: &'a str,
}

/// An order of backend servers was sent.
#[derive(Debug, Serialize)]
pub struct FleetOrdered<'a> {
    /// The service of the servers.
    pub service: &'a str,
    /// The data centre of the servers.
    pub data_centre: &'a str,
    /// Whether the cloud may reclaim the servers.
    pub reclaimable: bool,
    /// Number of servers ordered.
    pub wanted: u32,
    /// Number of servers present.
    pub present: u32,
    /// Servers needed for the highest recent demand.
    pub needed_ample: f64,
    /// Fewest servers needed for the highest demand within the last boot time.
    pub needed_least: f64,
    /// The prefill rate of one server in tokens per millisecond, averaged over all nodes.
    pub read_tokens_per_ms: f64,
    /// The fencing token that was sent along.
    pub fencing: u64,
    /// Time in milliseconds for which calls could still be sent when the order was.
    pub lease_left_ms: u64,
    /// Time in milliseconds until the platform answered or the order was given up.
    pub took_ms: u64,
    /// Whether the order was taken or declined, or its error.
    pub outcome: &'a str,
}
