//! Writing the end of a claim after the first write of it was lost.
//!
//! The owner goes on with this in the background, after its caller was answered, for as long as it
//! lives: until the row says how the claim ended, other nodes depend on the owner's word.

use crate::claim::{Claim, Ended};
use crate::decision::OwnerReply;
use crate::row::{ClaimRow, RowState, VersionedRow};

/// The end of a claim that is not known to be in the table.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Settlement {
    claim: Claim<Ended>,
    base_revision: u64,
}

/// What is to be done about an unsettled claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SettlementStep {
    /// Write this row on the condition of this revision.
    Write(u64, ClaimRow),
    /// Nothing: the table says how it ended, or can no longer say that it was claimed.
    Settled,
}

impl Settlement {
    /// Keeps the end of a claim until it is in the table.
    ///
    /// The claim was, or may yet be, written on the condition of `base_revision`.
    pub fn new(claim: Claim<Ended>, base_revision: u64) -> Self {
        Settlement { claim, base_revision }
    }

    /// Takes on the release of a claim whose owner said that it can no longer dispatch.
    pub(crate) fn of_row(released: ClaimRow, base_revision: u64) -> Self {
        Settlement { claim: Claim::ended(released), base_revision }
    }

    /// What the owner tells others about the claim.
    pub fn owner_reply(&self) -> OwnerReply {
        match self.claim.row().state {
            RowState::Released => OwnerReply::Released,
            RowState::Claimed | RowState::Answered | RowState::Unknown => OwnerReply::Ended,
        }
    }

    /// The row that is to be written.
    pub fn row(&self) -> &ClaimRow {
        self.claim.row()
    }

    /// Decides what to do about the row as it was read.
    ///
    /// Where the row still has the base revision, a released claim may arrive late; the released
    /// row, which needs the same revision, keeps it out.
    pub fn step(&self, seen: Option<&VersionedRow>) -> SettlementStep {
        let own = self.claim.row();
        let revision = seen.map_or(0, |seen| seen.revision);
        if own.state == RowState::Released && revision == self.base_revision {
            return SettlementStep::Write(revision, own.clone());
        }
        match seen {
            Some(seen) if seen.row.nonce == own.nonce && seen.row.state == RowState::Claimed => {
                SettlementStep::Write(revision, own.clone())
            }
            _ => SettlementStep::Settled,
        }
    }
}
