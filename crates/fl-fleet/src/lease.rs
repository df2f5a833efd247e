//! The lease of one data centre's fleet orders, by typestate.
//!
//! The holder counts its validity on its own monotonic clock from before the write was sent, so
//! that it never believes longer than the row says. An observer takes over only after it saw the
//! row unchanged for the term and the allowed drift on its own clock. No clocks are compared.

use displaydoc::Display;
use fl_protocol::{FencingNumber, VmName};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// The part of a term by which the rates of two clocks may differ.
const DRIFT_DIVISOR: u32 = 10;
/// Renewals in one term, so that a lost one does not cost the lease.
const RENEWALS_PER_TERM: u32 = 3;

/// What the table service keeps of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds it; empty after a release.
    pub holder: VmName,
    /// Orders the holders; grows with each take-over and never goes back.
    pub fencing: FencingNumber,
    /// How long a renewal lasts, in milliseconds.
    pub term_ms: u64,
    /// Tells this write from every other, so that one whose answer was lost is recognised.
    pub nonce: u64,
}

/// Why the lease gives no fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum LeaseError {
    /// the lease lapsed; observe the row and claim it again before any order
    Lapsed,
}

/// A state: the row is watched and may belong to another.
#[derive(Debug, Clone)]
pub struct Observed {
    row: Option<(u64, LeaseRow)>,
    unchanged_since: Duration,
}

/// A state: the lease was written for this node.
#[derive(Debug, Clone)]
pub struct Held {
    row: LeaseRow,
    revision: u64,
    valid_until: Duration,
}

/// One node's view of a lease.
#[derive(Debug, Clone)]
pub struct Lease<S> {
    own: VmName,
    term: Duration,
    state: S,
}

/// A conditional write that takes the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The revision the row must still have; 0 for no row.
    pub revision: u64,
    /// What is written.
    pub row: LeaseRow,
}

/// What became of a write.
#[derive(Debug, Clone)]
pub enum RenewalOutcome {
    /// The lease is held.
    Held(Lease<Held>),
    /// Another node has it.
    Lost(Lease<Observed>),
}

impl Lease<Observed> {
    /// Begins to watch; what the row says is not known yet.
    pub fn new(own: &str, term: Duration, now: Duration) -> Self {
        let state = Observed { row: None, unchanged_since: now };
        Lease { own: own.to_string(), term, state }
    }

    /// Takes a reading of the row and notes when it changed.
    pub fn observe(mut self, now: Duration, row: Option<(u64, LeaseRow)>) -> Self {
        let known = self.state.row.as_ref().map(|(revision, _)| *revision);
        if known != row.as_ref().map(|(revision, _)| *revision) {
            self.state.unchanged_since = now;
        }
        self.state.row = row;
        self
    }

    /// The write that takes the lease, if it is free by this node's clock.
    pub fn acquire_write(&self, now: Duration, nonce: u64) -> Option<LeaseWrite> {
        let (revision, fencing) = match &self.state.row {
            None => (0, 0),
            Some((revision, row)) if row.holder.is_empty() => (*revision, row.fencing),
            Some((revision, row)) => {
                let unchanged = now.saturating_sub(self.state.unchanged_since);
                if unchanged < takeover_wait(row) {
                    return None;
                }
                (*revision, row.fencing)
            }
        };
        let row = LeaseRow {
            holder: self.own.clone(),
            fencing: fencing + 1,
            term_ms: self.term.as_millis() as u64,
            nonce,
        };
        Some(LeaseWrite { revision, row })
    }

    /// Takes the lease after the claim was written; `sent_at` is from before it was sent.
    pub fn into_held(self, sent_at: Duration, claim: LeaseWrite, revision: u64) -> Lease<Held> {
        let valid_until = sent_at + self.term;
        let state = Held { row: claim.row, revision, valid_until };
        Lease { own: self.own, term: self.term, state }
    }
}

impl Lease<Held> {
    /// The fencing number for an order that is sent now.
    pub fn fencing_token(&self, now: Duration) -> Result<FencingNumber, LeaseError> {
        if now < self.state.valid_until {
            Ok(self.state.row.fencing)
        } else {
            Err(LeaseError::Lapsed)
        }
    }

    /// Whether it is time to renew.
    pub fn is_renewal_due(&self, now: Duration) -> bool {
        let margin = self.term * (RENEWALS_PER_TERM - 1) / RENEWALS_PER_TERM;
        now + margin >= self.state.valid_until
    }

    /// The write that renews the lease.
    pub fn renewal_write(&self, nonce: u64) -> LeaseWrite {
        LeaseWrite {
            revision: self.state.revision,
            row: LeaseRow { nonce, ..self.state.row.clone() },
        }
    }

    /// The write that gives the lease back, so that a peer need not wait for its end.
    pub fn release_write(&self, nonce: u64) -> LeaseWrite {
        let row = LeaseRow { holder: String::new(), nonce, ..self.state.row.clone() };
        LeaseWrite { revision: self.state.revision, row }
    }

    /// Takes the row as it is after a write of this holder.
    ///
    /// The row with this write's nonce shows that the write took effect, also when its answer was
    /// lost; any other change shows that another node took over.
    pub fn resolve_write(
        self,
        now: Duration,
        sent_at: Duration,
        claim: &LeaseWrite,
        found: Option<(u64, LeaseRow)>,
    ) -> RenewalOutcome {
        match found {
            Some((revision, row)) if row == claim.row => {
                let valid_until = sent_at + self.term;
                let state = Held { row, revision, valid_until };
                RenewalOutcome::Held(Lease { state, ..self })
            }
            Some((revision, _)) if revision == self.state.revision => RenewalOutcome::Held(self),
            found => RenewalOutcome::Lost(self.into_observed(now, found)),
        }
    }

    /// Gives up the belief in the lease and watches the row again.
    pub fn into_observed(self, now: Duration, row: Option<(u64, LeaseRow)>) -> Lease<Observed> {
        let state = Observed { row, unchanged_since: now };
        Lease { own: self.own, term: self.term, state }
    }
}

/// How long an observer must see a row unchanged before it takes over.
pub fn takeover_wait(row: &LeaseRow) -> Duration {
    let term = Duration::from_millis(row.term_ms);
    term + term / DRIFT_DIVISOR
}
