//! The quotas of workspaces at this node, shared with the other nodes.

use crate::clock::boot_time;
use fl_kernel::forward::{ForwardBounds, ForwardSettings};
use fl_limits::{
    FirstDemand, Precedence, QuotaLimit, QuotaReport, QuotaSharing, QuotaShortage, SharedQuota,
};
use fl_protocol::WorkspaceName;
use fl_protocol::forward::{KeyedWorkspace, RouteTable};
use parking_lot::Mutex;

/// Share of a quota's promised tolerance that admission uses. The rest covers what nodes that do
/// not receive each other's reports admit at the same time.
const TOLERANCE_SHARE: f64 = 0.4;

/// Quotas of workspaces that have one, shared by all nodes. Sorted by workspace name.
#[derive(Default)]
pub struct Quotas {
    quotas: Mutex<Vec<WorkspaceQuota>>,
}

/// The quota of one workspace.
struct WorkspaceQuota {
    name: WorkspaceName,
    quota: SharedQuota,
    /// What the calls that go first ask of it at this node.
    first_demand: FirstDemand,
}

/// The state of one workspace's quota that a node reports to its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceQuotaReport {
    /// The workspace whose quota it is.
    pub workspace: WorkspaceName,
    /// The units taken so far and the level of the quota.
    pub report: QuotaReport,
}

impl Quotas {
    /// Applies the quotas of a route table: adds, changes and removes them.
    ///
    /// A new quota starts full only at the first start of the whole system. Otherwise its burst may
    /// have been used just before, so it starts without one.
    pub fn apply_table(
        &self,
        table: &RouteTable,
        settings: &ForwardSettings,
        sharing: QuotaSharing,
    ) {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        let limited = |workspace: &&KeyedWorkspace| workspace.quota_per_s > 0.0;
        let limited: Vec<&KeyedWorkspace> = table.workspaces.iter().filter(limited).collect();
        quotas.retain(|known| limited.iter().any(|workspace| workspace.name == known.name));
        for workspace in limited {
            let limit = quota_limit(workspace, &settings.bounds);
            match quotas.binary_search_by(|known| known.name.cmp(&workspace.name)) {
                Ok(index) => quotas[index].quota.set_limit(limit, now),
                Err(index) => {
                    let mut quota = match settings.is_first_start {
                        true => SharedQuota::full(limit, now),
                        false => SharedQuota::provisional(limit, now),
                    };
                    quota.set_sharing(sharing, now);
                    quotas.insert(index, WorkspaceQuota::new(&workspace.name, quota));
                }
            }
        }
    }

    /// Applies what is known of the nodes that share the quotas.
    pub fn set_sharing(&self, sharing: QuotaSharing) {
        let now = boot_time();
        for known in self.quotas.lock().iter_mut() {
            known.quota.set_sharing(sharing, now);
        }
    }

    /// Returns the number of nodes for which shares are kept since they are not heard, by workspace.
    pub fn unheard_nodes(&self) -> Vec<(WorkspaceName, usize)> {
        let now = boot_time();
        let quotas = self.quotas.lock();
        quotas.iter().map(|known| (known.name.clone(), known.quota.unheard_nodes(now))).collect()
    }

    /// Returns what this node reports to its peers, one entry for each workspace.
    pub fn reports(&self) -> Vec<WorkspaceQuotaReport> {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        let reports = quotas.iter_mut().map(|known| WorkspaceQuotaReport {
            workspace: known.name.clone(),
            report: known.quota.report(now),
        });
        reports.collect()
    }

    /// Applies the reports of one process instance of a peer.
    pub fn apply_reports(&self, peer: u64, reports: &[WorkspaceQuotaReport]) {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        for received in reports {
            if let Ok(index) = quotas.binary_search_by(|known| known.name.cmp(&received.workspace))
            {
                quotas[index].quota.apply_report(peer, received.report, now);
            }
        }
    }

    /// Forgets process instances of peers for which `is_known` returns false.
    pub fn retain_peers(&self, is_known: impl Fn(u64) -> bool) {
        for known in self.quotas.lock().iter_mut() {
            known.quota.retain_peers(&is_known);
        }
    }

    /// Takes units from a workspace's quota, if it has one. Returns whether so little is left that
    /// the peers need an urgent report.
    ///
    /// Of a scarce quota, a call that does not go first leaves what the others ask for at `nodes`
    /// nodes like this one.
    pub(super) fn try_take(
        &self,
        workspace: &str,
        units: f64,
        precedence: Precedence,
        nodes: usize,
    ) -> Result<bool, QuotaShortage> {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        match quotas.binary_search_by(|known| known.name.as_str().cmp(workspace)) {
            Ok(index) => {
                let WorkspaceQuota { quota, first_demand, .. } = &mut quotas[index];
                let burst = quota.limit().burst;
                let kept_units = first_demand.record(precedence, units, nodes, burst, now);
                quota.try_take_above(units, kept_units, now)?;
                Ok(quota.is_scarce(now))
            }
            Err(_) => Ok(false),
        }
    }
}

impl WorkspaceQuota {
    fn new(name: &str, quota: SharedQuota) -> Self {
        WorkspaceQuota { name: name.to_string(), quota, first_demand: FirstDemand::default() }
    }
}

/// Returns the limit of a quota, with the share of the promised tolerance that covers the delay of
/// peers' reports.
fn quota_limit(workspace: &KeyedWorkspace, bounds: &ForwardBounds) -> QuotaLimit {
    let promised =
        workspace.quota_per_s * bounds.quota_window.as_secs_f64() + workspace.quota_burst;
    let tolerance = promised * bounds.quota_overshoot + bounds.quota_slack;
    QuotaLimit {
        rate_per_s: workspace.quota_per_s,
        burst: workspace.quota_burst,
        tolerance: tolerance * TOLERANCE_SHARE,
    }
}
