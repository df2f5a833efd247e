//! Admission of calls by route, API key and the workspace's quota.

mod quotas;

pub use quotas::{Quotas, WorkspaceQuotaReport};

use crate::crash_suspects::{self, part_keys};
use crate::log::event::QuotaShort;
use crate::node::Node;
use fl_kernel::forward::Refusal;
use fl_limits::Precedence;
use fl_protocol::WorkspaceName;
use fl_protocol::forward::{CallHead, KeyedWorkspace, Route, RouteTable};
use fl_routing::urgency::UrgencyRanks;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Retry delay given to callers of a node that is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The decisions made when a call was admitted.
#[derive(Debug, Clone)]
pub struct Admission {
    /// The route that matches the call's host and path.
    pub route: Arc<Route>,
    /// The service that was drawn by weight from the route's services.
    pub service: String,
    /// The workspace of the caller's key; `None` where the route needs none.
    pub workspace: Option<WorkspaceName>,
    /// Priority rank at model engines; 0 is served first.
    pub rank: u8,
    /// Whether model engines prefill its prompt before those of other calls.
    pub is_urgent: bool,
    /// When the caller stops waiting or the route's timeout ends, whichever is earlier.
    pub deadline: Instant,
}

/// Admits a call or returns why it is refused.
///
/// # Errors
///
/// Returns a refusal if no route matches, the key is not known or cannot be checked, or the
/// workspace's quota is used up.
pub fn admit(node: &Node, head: &CallHead, received_at: Instant) -> Result<Admission, Refusal> {
    let table = node.route_table.current();
    if table.version == 0 {
        return Err(retryable_refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "nothing declared is known yet",
        ));
    }
    let route = table.route(&head.host, &head.path);
    let route = route.ok_or_else(|| final_refusal(StatusCode::NOT_FOUND, "no such route"))?;
    let workspace = find_workspace(node, &table, route, head)?;
    crash_suspects::check(node, &part_keys(head.model.as_ref()))?;
    if let Some(workspace) = workspace {
        let units = quota_units(workspace, head);
        let precedence = precedence(&node.route_table.urgencies(), workspace, route, head);
        let nodes = node.peers.admitting_nodes();
        let take_result = node.quotas.try_take(&workspace.name, units, precedence, nodes);
        let is_scarce = take_result.map_err(|shortage| {
            node.log.write(&QuotaShort {
                request_id: &head.id,
                workspace: &workspace.name,
                units: shortage.units as u64,
                free: shortage.free as i64,
                rate_per_s: shortage.rate_per_s as u64,
                nodes: node.peers.admitting_nodes(),
                unheard: shortage.unheard_nodes,
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
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    Ok(Admission {
        service: choose_service(route),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        rank: urgencies.rank(priority, route.latency_target),
        is_urgent: urgencies.is_most_urgent(priority, route.latency_target),
        deadline: received_at + timeout,
        route: route.clone(),
    })
}

/// Returns the workspace of a call's key, `None` where no key is needed.
fn find_workspace<'a>(
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
        return Err(retryable_refusal(StatusCode::SERVICE_UNAVAILABLE, reason));
    }
    let workspace = head.key.as_deref().and_then(|key| table.workspace_of_key(key));
    let unknown_key = || final_refusal(StatusCode::UNAUTHORIZED, "the key is not known");
    workspace.map(Some).ok_or_else(unknown_key)
}

fn quota_units(workspace: &KeyedWorkspace, head: &CallHead) -> f64 {
    if !workspace.counts_tokens {
        return 1.0;
    }
    let call_tokens = head
        .model
        .as_ref()
        .map(|model| model.prompt_tokens.saturating_add(model.response_tokens_max));
    let tokens = call_tokens.filter(|tokens| *tokens > 0).unwrap_or(workspace.default_tokens);
    tokens as f64
}

/// Returns whether a call may take what is left of its workspace's quota, or leaves some of it to
/// calls that are more urgent. Calls without a prompt are charged so few tokens that they go first.
fn precedence(
    urgencies: &UrgencyRanks,
    workspace: &KeyedWorkspace,
    route: &Route,
    head: &CallHead,
) -> Precedence {
    let goes_first = match workspace.priority {
        _ if head.model.is_none() && workspace.counts_tokens => true,
        Some(_) => urgencies.has_shortest_target(route.latency_target),
        None => urgencies.rank(route.priority, route.latency_target) == 0,
    };
    if goes_first { Precedence::First } else { Precedence::After }
}

/// Draws one of the route's services at random by weight.
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

fn retryable_refusal(status: StatusCode, reason: &'static str) -> Refusal {
    Refusal { status, reason, retry_after: Some(NOT_READY_RETRY_AFTER) }
}

fn final_refusal(status: StatusCode, reason: &'static str) -> Refusal {
    Refusal { status, reason, retry_after: None }
}
