//! What nodes tell each other.

use crate::admission::WorkspaceQuotaReport;
use crate::node::Node;
use crate::servers::InFlightLoad;
use crate::shared_reads::is_fresh;
use crate::usage::WindowCounts;
use fl_protocol::{DataCenterName, ServiceName, VmName, WorkspaceName, hash64};
use serde::{Deserialize, Serialize};

/// What a node tells its peers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Who says it.
    pub vm: VmName,
    /// Its data centre.
    pub zone: DataCenterName,
    /// When its process started, which tells its lives apart.
    pub started_ms: u64,
    /// Grows with each report of one life.
    pub sequence: u64,
    /// The declared version in force there.
    pub table_version: u64,
    /// The digest of its list of servers.
    pub registry_digest: u64,
    /// Whether what it knows of the store is fresh.
    pub is_fresh: bool,
    /// Whether it admits calls.
    pub admits: bool,
    /// The fencing number of the duties' lease, if it holds it.
    pub duty_fencing: Option<u64>,
    /// Calls at servers.
    pub loads: Vec<InFlightLoad>,
    /// Quotas: workspace, units taken, level, whether the level is a guess.
    pub quotas: Vec<(WorkspaceName, f64, f64, bool)>,
    /// Prompt tokens sent to be read since its process started, by service.
    pub demand: Vec<(ServiceName, u64)>,
    /// The rate at which servers read prompts, as observed there, in tokens a millisecond.
    pub prefill_rate: Option<f64>,
    /// Calls that began to run, by window.
    pub usage: Vec<WindowCounts>,
}

/// What this node tells now.
pub fn own_report(node: &Node) -> PeerReport {
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
        duty_fencing: node.duty_lease.fencing(),
        loads: node.servers.own_loads(),
        quotas: quotas.map(quota_entry).collect(),
        demand: node.servers.demand_by_service(),
        prefill_rate: node.servers.prefill_rate().learned(),
        usage: node.usage.all(),
    }
}

/// What grew between two reports of one life, by service.
pub fn demand_added(
    before: &[(ServiceName, u64)],
    after: &[(ServiceName, u64)],
) -> Vec<(ServiceName, u64)> {
    let more = after.iter().map(|(service, tokens)| {
        let place = before.binary_search_by(|(name, _)| name.cmp(service));
        let earlier = place.map_or(0, |place| before[place].1);
        (service.clone(), tokens.saturating_sub(earlier))
    });
    more.collect()
}

fn quota_entry(own: WorkspaceQuotaReport) -> (WorkspaceName, f64, f64, bool) {
    (own.workspace, own.report.taken, own.report.level, own.report.is_guess)
}

/// Names one life of a node's process.
pub fn instance_id(report: &PeerReport) -> u64 {
    hash64(&[report.vm.as_bytes(), &report.started_ms.to_be_bytes()])
}
