//! What this node says of its claims, and what it asks of the owners of others.

use super::NodeLedger;
use fl_kernel::names;
use fl_kernel::services::{ClaimStatus, Membership, Peers};
use fl_ledger::{ClaimNonce, OwnerWord};
use fl_protocol::{Member, MemberState};
use parking_lot::Mutex;
use std::time::Duration;

/// How long an owner may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// How the claims of this life stand that may be in the table without their end, by nonce.
#[derive(Default)]
pub struct LocalClaims {
    entries: Mutex<Vec<(ClaimNonce, ClaimStatus)>>,
}

impl LocalClaims {
    /// Takes how a claim stands; `None`: the table needs no word of this node about it any more.
    pub fn set_status(&self, nonce: ClaimNonce, reply: Option<OwnerWord>) {
        let status = match reply {
            Some(OwnerWord::Released) => Some(ClaimStatus::Released),
            Some(OwnerWord::Running) => Some(ClaimStatus::Running),
            Some(OwnerWord::Ended) => Some(ClaimStatus::Ended),
            Some(OwnerWord::NotKnown | OwnerWord::Silent) | None => None,
        };
        let mut entries = self.entries.lock();
        match (entries.binary_search_by_key(&nonce, |entry| entry.0), status) {
            (Ok(index), Some(status)) => entries[index].1 = status,
            (Ok(index), None) => {
                entries.remove(index);
            }
            (Err(index), Some(status)) => entries.insert(index, (nonce, status)),
            (Err(_), None) => {}
        }
    }

    /// How a claim stands; `None`: it is of another life, or the table says how it ended.
    pub fn status(&self, nonce: ClaimNonce) -> Option<ClaimStatus> {
        let entries = self.entries.lock();
        let index = entries.binary_search_by_key(&nonce, |entry| entry.0).ok()?;
        Some(entries[index].1)
    }

    /// Says whether nothing is unsettled.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }
}

impl NodeLedger {
    /// Asks the owner of a claim about it.
    ///
    /// The claim is named by its nonce and not by the request, so that a later life of the owner
    /// never answers for an earlier one.
    pub(super) async fn ask_owner(&self, owner: &str, nonce: ClaimNonce) -> OwnerWord {
        if owner == self.context.settings.node.vm {
            return owner_reply(self.local_claims.status(nonce));
        }
        let Some(member) = self.live_member(owner) else {
            return OwnerWord::Silent;
        };
        let Ok(peers) = self.context.registry.find::<dyn Peers>(names::PEERS) else {
            return OwnerWord::Silent;
        };
        let reply = peers.claim_status(&member, nonce);
        match tokio::time::timeout(ASK_TIMEOUT, reply).await {
            Ok(Ok(status)) => owner_reply(status),
            Ok(Err(_)) | Err(_) => OwnerWord::Silent,
        }
    }

    fn live_member(&self, vm: &str) -> Option<Member> {
        let membership = self.context.registry.find::<dyn Membership>(names::MEMBERSHIP).ok()?;
        let members = membership.members();
        let index = members.binary_search_by(|member| member.vm.as_str().cmp(vm)).ok()?;
        members.get(index).filter(|member| member.state != MemberState::Dead).cloned()
    }
}

fn owner_reply(status: Option<ClaimStatus>) -> OwnerWord {
    match status {
        Some(ClaimStatus::Released) => OwnerWord::Released,
        Some(ClaimStatus::Running) => OwnerWord::Running,
        Some(ClaimStatus::Ended) => OwnerWord::Ended,
        None => OwnerWord::NotKnown,
    }
}
