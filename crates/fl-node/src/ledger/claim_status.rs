//! The status of this node's claims, and queries to the owners of other claims.

use super::NodeLedger;
use fl_kernel::names;
use fl_kernel::services::{ClaimStatus, Membership, PeerRpc};
use fl_ledger::{ClaimNonce, OwnerReply};
use fl_protocol::{Member, MemberState};
use parking_lot::Mutex;
use std::time::Duration;

/// How long the owner of a claim may take to answer.
const OWNER_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The status of this process's claims whose outcome may be missing in the table, sorted by nonce.
#[derive(Default)]
pub struct LocalClaims {
    entries: Mutex<Vec<(ClaimNonce, ClaimStatus)>>,
}

impl LocalClaims {
    /// Sets the status of a claim; `None` removes it, as its outcome is then recorded in the table.
    pub fn set_status(&self, nonce: ClaimNonce, reply: Option<OwnerReply>) {
        let status = match reply {
            Some(OwnerReply::Released) => Some(ClaimStatus::Released),
            Some(OwnerReply::Running) => Some(ClaimStatus::Running),
            Some(OwnerReply::Ended) => Some(ClaimStatus::Ended),
            Some(OwnerReply::UnknownClaim | OwnerReply::Unreachable) | None => None,
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

    /// Returns the status of a claim.
    ///
    /// `None` if the claim is of an earlier process or its outcome is recorded in the table.
    pub fn status(&self, nonce: ClaimNonce) -> Option<ClaimStatus> {
        let entries = self.entries.lock();
        let index = entries.binary_search_by_key(&nonce, |entry| entry.0).ok()?;
        Some(entries[index].1)
    }

    /// Returns whether the outcomes of all claims are recorded in the table.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }
}

impl NodeLedger {
    /// Asks the owner of a claim for its status.
    ///
    /// The claim is identified by its nonce and not by the request, so that a restarted owner never
    /// answers for a claim of its earlier process.
    pub(super) async fn ask_owner(&self, owner: &str, nonce: ClaimNonce) -> OwnerReply {
        if owner == self.context.settings.node.vm {
            return owner_reply(self.local_claims.status(nonce));
        }
        let Some(member) = self.live_member(owner) else {
            return OwnerReply::Unreachable;
        };
        let Ok(peers) = self.context.registry.find::<dyn PeerRpc>(names::PEERS) else {
            return OwnerReply::Unreachable;
        };
        let reply = peers.claim_status(&member, nonce);
        match tokio::time::timeout(OWNER_QUERY_TIMEOUT, reply).await {
            Ok(Ok(status)) => owner_reply(status),
            Ok(Err(_)) | Err(_) => OwnerReply::Unreachable,
        }
    }

    fn live_member(&self, vm: &str) -> Option<Member> {
        let membership = self.context.registry.find::<dyn Membership>(names::MEMBERSHIP).ok()?;
        let members = membership.members();
        let index = members.binary_search_by(|member| member.vm.as_str().cmp(vm)).ok()?;
        members.get(index).filter(|member| member.state != MemberState::Dead).cloned()
    }
}

fn owner_reply(status: Option<ClaimStatus>) -> OwnerReply {
    match status {
        Some(ClaimStatus::Released) => OwnerReply::Released,
        Some(ClaimStatus::Running) => OwnerReply::Running,
        Some(ClaimStatus::Ended) => OwnerReply::Ended,
        None => OwnerReply::UnknownClaim,
    }
}
