//! Replicas of records at guardians.
//!
//! A replica is placed when a request is accepted and placed anew when its guardian is lost. The
//! guardian takes the request over when its owner is lost.

use super::{GuardedRequest, ModelRequests, OwnedRequest, ServiceHandles, retries};
use fl_kernel::services::RequestHandover;
use fl_protocol::event::EventKind;
use fl_protocol::rendezvous::sort_by_rank;
use fl_protocol::{Member, MemberState, RequestId, VmName};
use std::sync::Arc;

const MAX_PLACEMENT_ATTEMPTS: usize = 3;

/// Ranks the members that can be a request's guardian, by rendezvous hashing within two groups:
/// first those in other data centres, then those in this one.
pub fn rank_candidates(members: Vec<Member>, own: &Member, id: RequestId) -> Vec<Member> {
    let mut candidates: Vec<Member> = members
        .into_iter()
        .filter(|member| member.state.takes_new_work() && member.vm != own.vm)
        .collect();
    sort_by_rank(&mut candidates, &id.to_be_bytes(), |member| &member.vm);
    candidates.sort_by_key(|member| member.data_center == own.data_center);
    candidates
}

/// Places a replica of a new request, or of one whose guardian was lost.
///
/// If no candidate takes it, the request goes on without a guardian.
pub async fn place_replica(services: &ServiceHandles, request: &OwnedRequest) {
    let own = services.membership.self_member();
    let candidates = rank_candidates(services.membership.members(), &own, request.id);
    for member in candidates.iter().take(MAX_PLACEMENT_ATTEMPTS) {
        let record = request.update_record(|record| record.guardian = member.vm.clone());
        let tokens = unrecoverable_text(request);
        let placed = if tokens.is_empty() {
            services.peers.put_record(member, &record).await
        } else {
            services.peers.hand_over(member, &record, &tokens).await
        };
        if placed.is_ok() {
            let kind = if member.data_center == own.data_center {
                EventKind::GuardianLocal
            } else {
                EventKind::GuardianPlaced
            };
            services.events.record(kind, Some(request.id), member.vm.clone());
            return;
        }
    }
    request.update_record(|record| record.guardian = VmName::new());
    metrics::counter!("fl_requests_without_guardian_total").increment(1);
    services.events.record(
        EventKind::GuardianLocal,
        Some(request.id),
        "no peer took the replica".to_string(),
    );
}

/// Updates the replica at the guardian.
///
/// This is done after a change of the record and at intervals, so that the replica does not expire
/// while the request runs.
pub async fn refresh_replica(services: &ServiceHandles, request: &OwnedRequest) {
    let record = request.record();
    let Some(guardian) = find_live_member(services, &record.guardian) else {
        place_replica(services, request).await;
        return;
    };
    let tokens = unrecoverable_text(request);
    if services.peers.hand_over(&guardian, &record, &tokens).await.is_err() {
        place_replica(services, request).await;
    }
}

/// Drops the replica of a request that ended.
pub async fn drop_replica(services: &ServiceHandles, request: &OwnedRequest) {
    let record = request.record();
    if let Some(member) = find_live_member(services, &record.guardian) {
        let _ = services.peers.drop_record(&member, request.id, record.epoch).await;
    }
}

/// Returns the text that the current engine cannot send again: the tokens of earlier attempts.
fn unrecoverable_text(request: &OwnedRequest) -> Vec<String> {
    let base_offset =
        request.stream_location().map_or(request.next_offset(), |location| location.base_offset);
    let mut tokens = request.tokens();
    tokens.truncate(base_offset as usize);
    tokens
}

/// Returns the member of this name, unless it is dead or unknown.
pub fn find_live_member(services: &ServiceHandles, vm: &VmName) -> Option<Member> {
    let members = services.membership.members();
    let found = members.into_iter().find(|member| &member.vm == vm);
    found.filter(|member| member.state != MemberState::Dead)
}

/// Replaces lost guardians and takes over from dead owners whenever the membership changes.
pub async fn watch_members(requests: Arc<ModelRequests>, services: Arc<ServiceHandles>) {
    let mut changes = services.membership.subscribe();
    let shutdown = requests.context.shutdown.clone();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
        take_over_orphaned(&requests, &services);
        replace_lost_guardians(&requests, &services).await;
    }
}

async fn replace_lost_guardians(requests: &Arc<ModelRequests>, services: &Arc<ServiceHandles>) {
    let members = services.membership.members();
    for request in requests.owned.values() {
        let guardian = request.record().guardian;
        let is_available =
            members.iter().any(|member| member.vm == guardian && member.state.takes_new_work());
        if request.is_running() && !is_available {
            place_replica(services, &request).await;
        }
    }
}

fn take_over_orphaned(requests: &Arc<ModelRequests>, services: &Arc<ServiceHandles>) {
    let members = services.membership.members();
    let is_dead = |vm: &VmName| {
        members.iter().any(|member| &member.vm == vm && member.state == MemberState::Dead)
    };
    for guarded in requests.guarded.values() {
        if is_dead(&guarded.record.owner) {
            let epoch = guarded.record.epoch;
            let own_vm = requests.own_vm().clone();
            if let Some(handover) = take_over_guarded(requests, guarded.record.id, own_vm, epoch) {
                requests.become_owner(services, handover);
            }
        }
    }
}

/// Hands a guarded request over to a new owner.
///
/// `None` if the request is not guarded here or its epoch is no longer `seen_epoch`, as another
/// node has taken it over.
pub fn take_over_guarded(
    requests: &ModelRequests,
    id: RequestId,
    new_owner: VmName,
    seen_epoch: u32,
) -> Option<RequestHandover> {
    let taken = requests.guarded.update(id, |guarded| {
        if guarded.record.epoch != seen_epoch {
            return None;
        }
        guarded.record.epoch += 1;
        guarded.record.owner = new_owner;
        Some(RequestHandover { record: guarded.record.clone(), tokens: guarded.tokens.clone() })
    });
    taken.flatten()
}

impl ModelRequests {
    /// Becomes the owner of a request that was taken over or handed over.
    ///
    /// Returns the owned request, which is the existing one if this node owns it already; `None` if
    /// the body of the record cannot be parsed.
    pub fn become_owner(
        self: &Arc<Self>,
        services: &Arc<ServiceHandles>,
        handover: RequestHandover,
    ) -> Option<Arc<OwnedRequest>> {
        let RequestHandover { record, tokens } = handover;
        let id = record.id;
        self.guarded.remove(id);
        let chat = serde_json::from_str(&record.body_json).ok()?;
        let class = self.find_class(&record);
        let cancel = self.context.shutdown.child_token();
        let request = OwnedRequest::new(record, chat, tokens, cancel, None);
        let request = Arc::new(request.mark_inherited());
        if let Err(present) = self.owned.put_if_absent(id, request.clone()) {
            return Some(present);
        }
        services.events.record(EventKind::TakenOver, Some(id), String::new());
        metrics::counter!("fl_requests_taken_over_total").increment(1);
        let requests = self.clone();
        let services = services.clone();
        let owned = request.clone();
        self.context.spawn(async move {
            place_replica(&services, &owned).await;
            retries::run_to_completion(requests, owned, class).await;
        });
        Some(request)
    }

    /// Stores a replica, unless one of a later epoch is known; of the same epoch the longer text is
    /// kept.
    pub fn keep_as_guardian(&self, handover: RequestHandover) {
        let RequestHandover { record, mut tokens } = handover;
        let id = record.id;
        if let Some(kept) = self.guarded.get(id) {
            if kept.record.epoch > record.epoch {
                return;
            }
            if kept.record.epoch == record.epoch && kept.tokens.len() > tokens.len() {
                tokens = kept.tokens;
            }
        }
        self.guarded
            .put(id, GuardedRequest { record, tokens, stored_at: std::time::Instant::now() });
    }
}
