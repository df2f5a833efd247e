//! Whether a call is taken: its route, its key, its workspace's quota.

use crate::clock::boot_time;
use crate::log::event::QuotaShort;
use crate::node::Node;
use fl_kernel::forward::{ForwardBounds, ForwardSettings, Refusal};
use fl_limits::{QuotaLimit, QuotaReport, QuotaShortage, SharedQuota};
use fl_protocol::WorkspaceName;
use fl_protocol::forward::{CallHead, KeyedWorkspace, Route, RouteTable};
use http::StatusCode;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The part of a quota's promised tolerance that admission uses; the rest covers what nodes that do
/// not hear of each other take at the same time.
const USED_TOLERANCE: f64 = 0.4;
/// When to come back to a node that knows too little.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// A call that was taken.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Its route.
    pub route: Arc<Route>,
    /// The service chosen among the route's.
    pub service: String,
    /// The workspace of its key.
    pub workspace: Option<WorkspaceName>,
    /// Its rank at model engines, 0 first.
    pub rank: u8,
    /// Whether model engines read its prompt before those of other calls.
    pub is_urgent: bool,
    /// When its caller stops waiting, or the operator wants it answered.
    pub deadline: Instant,
}

/// Quotas of workspaces, sorted by name.
#[derive(Default)]
pub struct Quotas {
    quotas: Mutex<Vec<(WorkspaceName, SharedQuota)>>,
}

/// What peers are told of one workspace's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceQuotaReport {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What was taken and the level.
    pub report: QuotaReport,
}

impl Quotas {
    /// Takes the quotas of a new table.
    pub fn apply_table(&self, table: &RouteTable, settings: &ForwardSettings) {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        let limited = |workspace: &&KeyedWorkspace| workspace.quota_per_s > 0.0;
        let limited: Vec<&KeyedWorkspace> = table.workspaces.iter().filter(limited).collect();
        quotas.retain(|(name, _)| limited.iter().any(|workspace| workspace.name == *name));
        for workspace in limited {
            let limit = quota_limit(workspace, &settings.bounds);
            match quotas.binary_search_by(|(name, _)| name.cmp(&workspace.name)) {
                Ok(place) => quotas[place].1.set_limit(limit, now),
                Err(place) => {
                    let quota = match settings.is_first_start {
                        true => SharedQuota::unused(limit, now),
                        false => SharedQuota::unknown(limit, now),
                    };
                    quotas.insert(place, (workspace.name.clone(), quota));
                }
            }
        }
    }

    /// What this node tells its peers.
    pub fn reports(&self) -> Vec<WorkspaceQuotaReport> {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        let reports = quotas.iter_mut().map(|(name, quota)| WorkspaceQuotaReport {
            workspace: name.clone(),
            report: quota.report(now),
        });
        reports.collect()
    }

    /// Takes what one life of a peer tells.
    pub fn apply_reports(&self, peer: u64, reports: &[WorkspaceQuotaReport]) {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        for told in reports {
            if let Ok(place) = quotas.binary_search_by(|(name, _)| name.cmp(&told.workspace)) {
                quotas[place].1.hear(peer, told.report, now);
            }
        }
    }

    /// Forgets lives of peers that will not speak again.
    pub fn retain_peers(&self, is_known: impl Fn(u64) -> bool) {
        for (_, quota) in self.quotas.lock().iter_mut() {
            quota.keep_peers(&is_known);
        }
    }

    /// Takes units; says whether so little is left that the peers should hear of it at once.
    fn try_take(&self, workspace: &str, units: f64) -> Result<bool, QuotaShortage> {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        match quotas.binary_search_by(|(name, _)| name.as_str().cmp(workspace)) {
            Ok(place) => {
                quotas[place].1.try_take(units, now)?;
                Ok(quotas[place].1.is_scarce(now))
            }
            Err(_) => Ok(false),
        }
    }
}

/// What a quota allows, with the part of the promised tolerance that nodes need to know late of
/// each other.
fn quota_limit(workspace: &KeyedWorkspace, bounds: &ForwardBounds) -> QuotaLimit {
    let promised =
        workspace.quota_per_s * bounds.quota_window.as_secs_f64() + workspace.quota_burst;
    let tolerance = promised * bounds.quota_overshoot + bounds.quota_slack;
    QuotaLimit {
        rate_per_s: workspace.quota_per_s,
        burst: workspace.quota_burst,
        tolerance: tolerance * USED_TOLERANCE,
    }
}

/// Takes a call or says why not.
pub fn admit(node: &Node, head: &CallHead, received_at: Instant) -> Result<Admission, Refusal> {
    let table = node.route_table.current();
    if table.version == 0 {
        return Err(refusal(StatusCode::SERVICE_UNAVAILABLE, "nothing declared is known yet"));
    }
    let route = table.route(&head.host, &head.path);
    let route = route.ok_or_else(|| final_refusal(StatusCode::NOT_FOUND, "no such route"))?;
    let workspace = workspace(node, &table, route, head)?;
    if let Some(workspace) = workspace {
        let taken = node.quotas.try_take(&workspace.name, units(workspace, head));
        let is_scarce = taken.map_err(|shortage| {
            node.log.write(&QuotaShort {
                request_id: &head.id,
                workspace: &workspace.name,
                units: shortage.units as u64,
                free: shortage.free as i64,
                rate_per_s: shortage.rate_per_s as u64,
                nodes: node.peers.admitting_nodes(),
            });
            Refusal {
                status: StatusCode::TOO_MANY_REQUESTS,
                reason: "the workspace's quota is used up",
                retry_after: Some(shortage.retry_after),
            }
        })?;
        if is_scarce {
            node.peers.request_urgent_report();
        }
    }
    let priority = workspace.and_then(|workspace| workspace.priority).unwrap_or(route.priority);
    let urgencies = node.route_table.urgencies();
    let patience = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    Ok(Admission {
        service: choose_service(route),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        rank: urgencies.rank(priority, route.latency_target),
        is_urgent: urgencies.is_first(priority, route.latency_target),
        deadline: received_at + patience,
        route: route.clone(),
    })
}

/// Finds the workspace of a call's key; none where no key is needed.
fn workspace<'a>(
    node: &Node,
    table: &'a RouteTable,
    route: &Route,
    head: &CallHead,
) -> Result<Option<&'a KeyedWorkspace>, Refusal> {
    if route.anonymous || table.workspaces.is_empty() {
        return Ok(None);
    }
    if !node.trusts_keys() {
        let reason = "what is declared could not be read lately, so keys cannot be trusted";
        return Err(refusal(StatusCode::SERVICE_UNAVAILABLE, reason));
    }
    let known = head.key.as_deref().and_then(|key| table.workspace_of_key(key));
    let unknown = || final_refusal(StatusCode::UNAUTHORIZED, "the key is not known");
    known.map(Some).ok_or_else(unknown)
}

fn units(workspace: &KeyedWorkspace, head: &CallHead) -> f64 {
    if !workspace.counts_tokens {
        return 1.0;
    }
    let declared = head.model.as_ref().map(|model| model.prompt_tokens + model.answer_tokens_max);
    let tokens = declared.filter(|tokens| *tokens > 0).unwrap_or(workspace.default_tokens);
    tokens as f64
}

/// Draws one of the route's services by weight.
fn choose_service(route: &Route) -> String {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut drawn = if total > 0 { rand::random_range(0..total) } else { 0 };
    for (service, weight) in &route.services {
        if drawn < *weight {
            return service.clone();
        }
        drawn -= weight;
    }
    route.services.first().map(|(service, _)| service.clone()).unwrap_or_default()
}

fn refusal(status: StatusCode, reason: &'static str) -> Refusal {
    Refusal { status, reason, retry_after: Some(NOT_READY_RETRY) }
}

fn final_refusal(status: StatusCode, reason: &'static str) -> Refusal {
    Refusal { status, reason, retry_after: None }
}
