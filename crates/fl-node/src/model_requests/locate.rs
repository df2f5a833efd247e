//! Locates a request: owned by this node, by another, or lost by its owner and held by its
//! guardian.

use super::{ModelRequests, OwnedRequest, ServiceHandles, guardian};
use fl_protocol::rendezvous::sort_by_rank;
use fl_protocol::{CallClass, Member, MemberState, RequestId, RequestRecord};
use futures::future::join_all;
use std::sync::Arc;

/// Members that are asked in each data centre; more than one, since the ranking differs while nodes
/// have not yet seen the same membership changes.
const MAX_ASKED_PER_DATA_CENTER: usize = 2;
/// The deadline of a request whose class is no longer declared, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Which node owns a request.
pub enum RequestLocation {
    /// This node owns the request.
    Local(Arc<OwnedRequest>),
    /// Another node owns the request and answered with its record.
    Remote(Box<Member>, Box<RequestRecord>),
}

/// Finds a request, and takes it over if its owner does not answer.
pub async fn find(
    requests: &Arc<ModelRequests>,
    services: &Arc<ServiceHandles>,
    id: RequestId,
) -> Option<RequestLocation> {
    if let Some(request) = requests.owned(id) {
        return Some(RequestLocation::Local(request));
    }
    let (holder, record) = find_record(requests, services, id).await?;
    if &record.owner != requests.own_vm()
        && let Some(owner) = guardian::find_live_member(services, &record.owner)
        && let Ok(Some(current)) = services.peers.find_record(&owner, id).await
        && current.owner == owner.vm
    {
        return Some(RequestLocation::Remote(Box::new(owner), Box::new(current)));
    }
    take_over(requests, services, id, &holder, &record).await.map(RequestLocation::Local)
}

/// Takes a request over from its guardian, even if its owner is alive.
pub async fn take_from_guardian(
    requests: &Arc<ModelRequests>,
    services: &Arc<ServiceHandles>,
    record: &RequestRecord,
) -> Option<Arc<OwnedRequest>> {
    let guardian = if &record.guardian == requests.own_vm() {
        services.membership.self_member()
    } else {
        guardian::find_live_member(services, &record.guardian)?
    };
    take_over(requests, services, record.id, &guardian, record).await
}

async fn take_over(
    requests: &Arc<ModelRequests>,
    services: &Arc<ServiceHandles>,
    id: RequestId,
    holder: &Member,
    record: &RequestRecord,
) -> Option<Arc<OwnedRequest>> {
    let own_vm = requests.own_vm();
    let handover = if &holder.vm == own_vm {
        guardian::take_over_guarded(requests, id, own_vm.clone(), record.epoch)
    } else {
        let taking = services.peers.take_over(holder, id, own_vm, record.epoch);
        taking.await.ok().flatten()
    };
    requests.become_owner(services, handover?)
}

/// Asks the members that may hold the record and returns the record of the latest epoch.
async fn find_record(
    requests: &Arc<ModelRequests>,
    services: &Arc<ServiceHandles>,
    id: RequestId,
) -> Option<(Member, RequestRecord)> {
    if let Some(guarded) = requests.guarded.get(id) {
        return Some((services.membership.self_member(), guarded.record));
    }
    let asked = members_to_ask(services, id);
    let responses =
        join_all(asked.iter().map(|member| services.peers.find_record(member, id))).await;
    let mut found: Vec<(Member, RequestRecord)> = asked
        .iter()
        .zip(responses)
        .filter_map(|(member, response)| Some((member.clone(), response.ok().flatten()?)))
        .collect();
    // Of the same epoch the owner's record is preferred to that of a guardian.
    found.sort_by_key(|(member, record)| (record.epoch, record.owner == member.vm));
    found.pop()
}

fn members_to_ask(services: &ServiceHandles, id: RequestId) -> Vec<Member> {
    let own = services.membership.self_member();
    let mut ranked: Vec<Member> = services
        .membership
        .members()
        .into_iter()
        .filter(|member| member.vm != own.vm && member.state != MemberState::Dead)
        .collect();
    sort_by_rank(&mut ranked, &id.to_be_bytes(), |member| &member.vm);
    let mut asked: Vec<Member> = Vec::new();
    for member in ranked {
        let already_asked =
            asked.iter().filter(|other| other.data_center == member.data_center).count();
        if already_asked < MAX_ASKED_PER_DATA_CENTER {
            asked.push(member);
        }
    }
    asked
}

impl ModelRequests {
    /// Returns the class of a record in the configuration in force.
    ///
    /// If the configuration has no such class any more, one is made from the record and defaults.
    pub fn find_class(&self, record: &RequestRecord) -> CallClass {
        let configuration = self.configuration();
        let declared = configuration
            .as_ref()
            .and_then(|configuration| configuration.workspace(&record.workspace))
            .and_then(|workspace| workspace.class(&record.class));
        declared.cloned().unwrap_or_else(|| CallClass {
            name: record.class.clone(),
            priority: record.priority,
            first_token_target_ms: 0,
            between_tokens_target_ms: 0,
            deadline_ms: DEFAULT_DEADLINE_MS,
        })
    }
}
