//! Finds a request wherever it is: owned here, at another owner, or only at its guardian.

use super::{Links, OwnedRequest, Streams, guardian};
use fl_protocol::rendezvous::sort_by_rank;
use fl_protocol::{CallClass, Member, MemberState, RequestId, RequestRecord};
use futures::future::join_all;
use std::sync::Arc;

/// Members asked in each data centre; views may differ by the last change or two.
const ASKED_PER_DATA_CENTER: usize = 2;
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Where a request was found.
pub enum Found {
    /// This node owns it.
    Here(Arc<OwnedRequest>),
    /// Another node owns it and answers.
    At(Box<Member>, Box<RequestRecord>),
}

/// Finds a request; takes it over when its owner does not answer.
pub async fn find(streams: &Arc<Streams>, links: &Arc<Links>, id: RequestId) -> Option<Found> {
    if let Some(request) = streams.owned(id) {
        return Some(Found::Here(request));
    }
    let (holder, record) = find_record(streams, links, id).await?;
    if &record.owner != streams.own_vm()
        && let Some(owner) = guardian::find_member(links, &record.owner)
        && let Ok(Some(current)) = links.peers.find_record(&owner, id).await
        && current.owner == owner.vm
    {
        return Some(Found::At(Box::new(owner), Box::new(current)));
    }
    take_over(streams, links, id, &holder, &record).await.map(Found::Here)
}

/// Takes a request from its guardian although its owner may be alive.
pub async fn take_from_guardian(
    streams: &Arc<Streams>,
    links: &Arc<Links>,
    record: &RequestRecord,
) -> Option<Arc<OwnedRequest>> {
    let guardian = if &record.guardian == streams.own_vm() {
        links.membership.self_member()
    } else {
        guardian::find_member(links, &record.guardian)?
    };
    take_over(streams, links, record.id, &guardian, record).await
}

async fn take_over(
    streams: &Arc<Streams>,
    links: &Arc<Links>,
    id: RequestId,
    holder: &Member,
    record: &RequestRecord,
) -> Option<Arc<OwnedRequest>> {
    let own_vm = streams.own_vm();
    let handed = if &holder.vm == own_vm {
        guardian::take_guarded(streams, id, own_vm.clone(), record.epoch)
    } else {
        let taking = links.peers.take_over(holder, id, own_vm, record.epoch);
        taking.await.ok().flatten()
    };
    streams.carry_on(links, handed?)
}

/// Asks the members that may hold the record; the one of the latest owner counts.
async fn find_record(
    streams: &Arc<Streams>,
    links: &Arc<Links>,
    id: RequestId,
) -> Option<(Member, RequestRecord)> {
    if let Some(guarded) = streams.guarded.get(id) {
        return Some((links.membership.self_member(), guarded.record));
    }
    let asked = asked_members(links, id);
    let answers = join_all(asked.iter().map(|member| links.peers.find_record(member, id))).await;
    let mut found: Vec<(Member, RequestRecord)> = asked
        .iter()
        .zip(answers)
        .filter_map(|(member, answer)| Some((member.clone(), answer.ok().flatten()?)))
        .collect();
    // The owner's own record goes before a guardian's of the same epoch.
    found.sort_by_key(|(member, record)| (record.epoch, record.owner == member.vm));
    found.pop()
}

fn asked_members(links: &Links, id: RequestId) -> Vec<Member> {
    let own = links.membership.self_member();
    let mut ranked: Vec<Member> = links
        .membership
        .members()
        .into_iter()
        .filter(|member| member.vm != own.vm && member.state != MemberState::Dead)
        .collect();
    sort_by_rank(&mut ranked, &id.to_be_bytes(), |member| &member.vm);
    let mut asked: Vec<Member> = Vec::new();
    for member in ranked {
        let same = asked.iter().filter(|other| other.data_center == member.data_center).count();
        if same < ASKED_PER_DATA_CENTER {
            asked.push(member);
        }
    }
    asked
}

impl Streams {
    /// The class of a record under the configuration in force; what it lacks is taken from the
    /// record itself.
    pub fn class_of(&self, record: &RequestRecord) -> CallClass {
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
