//! Writes the end of a claim to the table after the first write of it was lost.
//!
//! The owner retries this in the background after it answered its caller, for as long as its
//! process runs: until the row holds the end of the claim, other nodes must ask the owner about it.

use crate::claim::{Claim, Ended};
use crate::decision::OwnerReply;
use crate::row::{ClaimRow, RowState, VersionedRow};

/// An ended claim whose row may not be in the table yet.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Settlement {
    claim: Claim<Ended>,
    base_revision: u64,
}

/// Next action for a claim whose end may not be in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SettlementStep {
    /// Write this row if the stored row still has this revision; 0 stands for no row.
    Write(u64, ClaimRow),
    /// Nothing is left to do: the table holds the end of the claim, or can no longer hold the
    /// claim.
    Settled,
}

impl Settlement {
    /// Creates the settlement of a claim that ended.
    ///
    /// The claim was written, or may still be written, conditional on `base_revision`.
    pub fn new(claim: Claim<Ended>, base_revision: u64) -> Self {
        Settlement { claim, base_revision }
    }

    /// Creates the settlement of another node's claim whose owner replied that it gave up the right
    /// to dispatch.
    pub(crate) fn from_released_row(released: ClaimRow, base_revision: u64) -> Self {
        Settlement { claim: Claim::from_row(released), base_revision }
    }

    /// Returns the owner's reply to other nodes that ask about the claim.
    pub fn owner_reply(&self) -> OwnerReply {
        match self.claim.row().state {
            RowState::Released => OwnerReply::Released,
            RowState::Claimed | RowState::Answered | RowState::Unknown => OwnerReply::Ended,
        }
    }

    /// Returns the row to write.
    pub fn row(&self) -> &ClaimRow {
        self.claim.row()
    }

    /// Decides what to do next, given the stored row; `None` stands for no row.
    ///
    /// While the stored row still has the base revision, a delayed write of the claim may still
    /// take effect. Writing the released row at that revision makes the delayed write fail.
    pub fn step(&self, current: Option<&VersionedRow>) -> SettlementStep {
        let own = self.claim.row();
        let revision = current.map_or(0, |current| current.revision);
        if own.state == RowState::Released && revision == self.base_revision {
            return SettlementStep::Write(revision, own.clone());
        }
        match current {
            Some(current)
                if current.row.nonce == own.nonce && current.row.state == RowState::Claimed =>
            {
                SettlementStep::Write(revision, own.clone())
            }
            _ => SettlementStep::Settled,
        }
    }
}
