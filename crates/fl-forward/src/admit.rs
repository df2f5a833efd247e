//! Whether a call is taken: its route, its key, its workspace's quota.

use crate::clock::boot_time;
use crate::node::Node;
use fl_kernel::forward::Refusal;
use fl_limits::{PeerShare, SharedQuota};
use fl_protocol::WorkspaceName;
use fl_protocol::forward::{CallHead, KeyedWorkspace, Route, RouteTable};
use http::StatusCode;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long before a key may have lost its force this node stops honouring keys when it cannot
/// read what is declared; covers the way of a request to this node.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);
/// When to come back to a node that knows too little.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// A call that was taken.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// The service chosen among the route's.
    pub service: String,
    /// The workspace of its key.
    pub workspace: Option<WorkspaceName>,
    /// Its rank, 0 first.
    pub priority: u8,
    /// When its caller stops waiting, or the operator wants it answered.
    pub deadline: Instant,
}

/// Quotas of workspaces, sorted by name.
#[derive(Default)]
pub struct Quotas {
    quotas: Mutex<Vec<(WorkspaceName, SharedQuota)>>,
}

/// This node's part of one workspace's quota, as peers are told.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnShare {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Weight and demand.
    pub share: PeerShare,
}

impl Quotas {
    /// Takes the quotas of a new table.
    pub fn table_changed(&self, table: &RouteTable, nodes: usize) {
        let now = boot_time();
        let mut quotas = self.quotas.lock();
        let mut limited: Vec<&KeyedWorkspace> =
            table.workspaces.iter().filter(|workspace| workspace.quota_per_s > 0.0).collect();
        limited.sort_by(|a, b| a.name.cmp(&b.name));
        quotas.retain(|(name, _)| limited.binary_search_by(|w| w.name.cmp(name)).is_ok());
        for workspace in limited {
            let (rate, burst) = (workspace.quota_per_s, workspace.quota_burst);
            match quotas.binary_search_by(|(name, _)| name.cmp(&workspace.name)) {
                Ok(place) => quotas[place].1.set_quota(rate, burst, now),
                Err(place) => {
                    let quota = SharedQuota::new(rate, burst, nodes, now);
                    quotas.insert(place, (workspace.name.clone(), quota));
                }
            }
        }
    }

    /// Moves this node's parts towards its share of the demand.
    pub fn rebalance(&self, peers_of: impl Fn(&str) -> Vec<PeerShare>) {
        let now = boot_time();
        for (name, quota) in self.quotas.lock().iter_mut() {
            quota.rebalance(&peers_of(name), now);
        }
    }

    /// What this node holds.
    pub fn own_shares(&self) -> Vec<OwnShare> {
        let quotas = self.quotas.lock();
        let shares = quotas.iter().map(|(name, quota)| OwnShare {
            workspace: name.clone(),
            share: PeerShare { weight: quota.weight(), demand_per_s: quota.demand_per_s() },
        });
        shares.collect()
    }

    fn try_take(&self, workspace: &str, units: f64) -> Result<(), Duration> {
        let mut quotas = self.quotas.lock();
        match quotas.binary_search_by(|(name, _)| name.as_str().cmp(workspace)) {
            Ok(place) => quotas[place].1.try_take(units, boot_time()),
            Err(_) => Ok(()),
        }
    }
}

/// Takes a call or says why not.
pub fn admit(node: &Node, head: &CallHead, received_at: Instant) -> Result<Admitted, Refusal> {
    let table = node.declared.table();
    if table.version == 0 {
        return Err(refusal(StatusCode::SERVICE_UNAVAILABLE, "nothing declared is known yet"));
    }
    let route = table.route(&head.host, &head.path);
    let route = route.ok_or_else(|| final_refusal(StatusCode::NOT_FOUND, "no such route"))?;
    let workspace = workspace(node, &table, route, head)?;
    if let Some(workspace) = workspace {
        node.quotas.try_take(&workspace.name, units(workspace, head)).map_err(|after| Refusal {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "the workspace's quota is used up",
            retry_after: Some(after),
        })?;
    }
    let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
    Ok(Admitted {
        service: choose_service(route),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: workspace.and_then(|workspace| workspace.priority).unwrap_or(route.priority),
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
    let limit = node.settings.bounds.revocation.saturating_sub(REVOCATION_MARGIN);
    if node.declared.age().is_none_or(|age| age >= limit) {
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
