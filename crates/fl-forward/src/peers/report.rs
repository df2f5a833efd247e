//! The report that a node sends to its peers.

use crate::admission::WorkspaceQuotaReport;
use crate::node::Node;
use crate::shared_reads::is_fresh;
use crate::usage::WindowCounts;
use fl_protocol::{DataCenterName, ServiceName, VmName, WorkspaceName, hash64};
use fl_routing::peer_loads::{InFlightLoad, ReportId};
use serde::{Deserialize, Serialize};

/// The state that a node reports to its peers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The name of the reporting node.
    pub vm: VmName,
    /// The data centre of the reporting node.
    pub zone: DataCenterName,
    /// When its process started, in Unix milliseconds. Identifies the process instance.
    pub started_ms: u64,
    /// Increases with each report of a process instance.
    pub sequence: u64,
    /// The route table version in force at the node.
    pub table_version: u64,
    /// The digest of its list of servers.
    pub registry_digest: u64,
    /// Whether its state of the store is fresh enough to reply to queries.
    pub is_fresh: bool,
    /// Whether it admits calls, which it does unless it is leaving.
    pub admits: bool,
    /// The fencing token of the duties' lease, if it holds the lease.
    pub duty_fencing_token: Option<u64>,
    /// Its load at each server that has calls of it in flight.
    pub loads: Vec<InFlightLoad>,
    /// Quotas: workspace, units taken, level, whether the level is provisional.
    pub quotas: Vec<(WorkspaceName, f64, f64, bool)>,
    /// Prompt tokens that it sent for prefill since its process started, by service.
    pub demand: Vec<(ServiceName, u64)>,
    /// The prefill rate that it observed, in tokens per millisecond.
    pub prefill_rate: Option<f64>,
    /// Counts of calls that began to run, by window.
    pub usage: Vec<WindowCounts>,
}

impl PeerReport {
    /// Returns which report of which process instance it is.
    pub fn id(&self) -> ReportId {
        (self.started_ms, self.sequence)
    }
}

/// Builds this node's next report.
pub fn build_report(node: &Node) -> PeerReport {
    let mut state = node.peers.state.lock();
    state.sequence += 1;
    let (sequence, started_ms) = (state.sequence, state.started_ms);
    drop(state);
    let quotas = node.quotas.reports().into_iter();
    PeerReport {
        vm: node.settings.vm.clone(),
        zone: node.settings.zone.clone(),
        started_ms,
        sequence,
        table_version: node.route_table.current().version,
        registry_digest: node.servers.digest(),
        is_fresh: is_fresh(node),
        admits: !node.is_leaving(),
        duty_fencing_token: node.duty_lease.fencing_token(),
        loads: node.servers.own_loads(),
        quotas: quotas.map(quota_entry).collect(),
        demand: node.servers.demand_by_service(),
        prefill_rate: node.servers.prefill_rate().observed(),
        usage: node.usage.all(),
    }
}

/// Returns the increase between two reports of a process instance, by service.
pub fn demand_added(
    before: &[(ServiceName, u64)],
    after: &[(ServiceName, u64)],
) -> Vec<(ServiceName, u64)> {
    let increases = after.iter().map(|(service, tokens)| {
        let index = before.binary_search_by(|(name, _)| name.cmp(service));
        let earlier = index.map_or(0, |index| before[index].1);
        (service.clone(), tokens.saturating_sub(earlier))
    });
    increases.collect()
}

fn quota_entry(quota: WorkspaceQuotaReport) -> (WorkspaceName, f64, f64, bool) {
    (quota.workspace, quota.report.taken, quota.report.level, quota.report.is_provisional)
}

/// Returns the id of the process instance that sent a report.
pub fn instance_id(report: &PeerReport) -> u64 {
    hash64(&[report.vm.as_bytes(), &report.started_ms.to_be_bytes()])
}
