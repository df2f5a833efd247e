//! Lease of the right to give fleet orders; each state of the lease is a type.
//!
//! The holder counts the term on its own monotonic clock from before it sent the write, so that its
//! lease ends no later than other nodes assume. An observer takes over only after the row stayed
//! unchanged for the term plus the allowed drift on its own clock. Clocks are never compared.

use displaydoc::Display;
use fl_protocol::{FencingToken, UnixMs, VmName};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Allowed drift between two clocks during a term, as a divisor of the term.
const DRIFT_DIVISOR: u32 = 10;
/// Bits of a fencing token that count the holders within one incarnation of the store.
const FENCING_BITS: u32 = 32;
/// Time before the end of a term in which no order is sent, as a divisor of the term.
const SEND_MARGIN_DIVISOR: u32 = 10;
/// Number of renewals in one term; more than one, so that a lost renewal does not end the lease.
const RENEWALS_PER_TERM: u32 = 3;

/// Longest term that a row may state, in milliseconds: far longer than any that is configured.
const TERM_MAX_MS: u64 = 600_000;
/// Name of the holder of a row that cannot be read.
const UNKNOWN_HOLDER: &str = "unknown";
const MS_PER_S: u64 = 1000;

/// Value of a lease row, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// VM of the holder; empty after a release.
    pub holder: VmName,
    /// Fencing token; grows with each takeover and never decreases.
    pub fencing: FencingToken,
    /// Term of the lease after a write, in milliseconds.
    pub term_ms: u64,
    /// Number unique to the write, by which a node recognises its own write after a lost response.
    pub nonce: u64,
}

impl LeaseRow {
    /// Returns whether a node can have written the row in an incarnation of the store or before.
    pub fn is_plausible(&self, incarnation: u64) -> bool {
        self.fencing >> FENCING_BITS <= incarnation && self.term_ms <= TERM_MAX_MS
    }

    /// Returns what stands for a row that cannot be read: it belongs to an unknown holder, and its
    /// token is greater than all that were given out, as no incarnation has a holder each second.
    pub fn of_unknown_holder(incarnation: u64, term: Duration, unix_ms: UnixMs) -> Self {
        LeaseRow {
            holder: UNKNOWN_HOLDER.to_string(),
            fencing: first_fencing(incarnation).saturating_add(unix_ms / MS_PER_S),
            term_ms: term.as_millis() as u64,
            nonce: 0,
        }
    }
}

/// Reason why a lease has no valid fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum LeaseError {
    /// the lease has expired; observe the row and acquire the lease again before giving orders
    Expired,
}

/// State of a lease that this node observes and another node may hold.
#[derive(Debug, Clone)]
pub struct Observed {
    row: Option<(u64, LeaseRow)>,
    unchanged_since: Duration,
    /// The lease is not acquired before this time, as a holder of before may still act.
    free_from: Duration,
    /// The store's incarnation that the row was read in.
    incarnation: u64,
}

/// State of a lease that this node acquired.
#[derive(Debug, Clone)]
pub struct Held {
    row: LeaseRow,
    revision: u64,
    valid_until: Duration,
    /// The store's incarnation that the lease was acquired in.
    incarnation: u64,
}

/// A lease as one node knows it, in state `S`.
#[derive(Debug, Clone)]
pub struct Lease<S> {
    own: VmName,
    term: Duration,
    state: S,
}

/// A conditional write of the lease row, which acquires, renews or releases the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Revision that the stored row must still have; 0 stands for no row.
    pub revision: u64,
    /// Row to write.
    pub row: LeaseRow,
}

/// Outcome of a write by the holder.
#[derive(Debug, Clone)]
pub enum RenewalOutcome {
    /// This node still holds the lease.
    Held(Lease<Held>),
    /// Another node took over the lease.
    Lost(Lease<Observed>),
}

impl Lease<Observed> {
    /// Creates a lease whose row has not been read yet.
    pub fn new(own: &str, term: Duration, now: Duration) -> Self {
        let state =
            Observed { row: None, unchanged_since: now, free_from: Duration::ZERO, incarnation: 0 };
        Lease { own: own.to_string(), term, state }
    }

    /// Notes the incarnation in which the store responds.
    ///
    /// A store that has come back from an older copy may have lost the row of a holder that still
    /// acts. That holder renewed before the loss, so its lease ends within a term from now.
    pub fn in_incarnation(mut self, now: Duration, incarnation: u64) -> Self {
        if incarnation > self.state.incarnation {
            self.state.incarnation = incarnation;
            self.state.free_from = now + with_drift(self.term);
        }
        self
    }

    /// Records the row, with its revision, as read at `now`; `None` stands for no row.
    pub fn observe(mut self, now: Duration, row: Option<(u64, LeaseRow)>) -> Self {
        let known = self.state.row.as_ref().map(|(revision, _)| *revision);
        if known != row.as_ref().map(|(revision, _)| *revision) {
            self.state.unchanged_since = now;
        }
        self.state.row = row;
        self
    }

    /// Returns the write that acquires the lease, or `None` while another node may hold it.
    pub fn acquire_write(&self, now: Duration, nonce: u64) -> Option<LeaseWrite> {
        if now < self.state.free_from {
            return None;
        }
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
            fencing: fencing.max(first_fencing(self.state.incarnation)) + 1,
            term_ms: self.term.as_millis() as u64,
            nonce,
        };
        Some(LeaseWrite { revision, row })
    }

    /// Returns the held lease after its write took effect at `revision`.
    ///
    /// The term counts from `sent_at`, the time before the write was sent.
    pub fn into_held(self, sent_at: Duration, write: LeaseWrite, revision: u64) -> Lease<Held> {
        let valid_until = sent_at + self.term;
        let incarnation = self.state.incarnation;
        let state = Held { row: write.row, revision, valid_until, incarnation };
        Lease { own: self.own, term: self.term, state }
    }
}

impl Lease<Held> {
    /// Returns the fencing token for an order that is sent now.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseError::Expired`] after the end of the term.
    pub fn fencing_token(&self, now: Duration) -> Result<FencingToken, LeaseError> {
        if now < self.state.valid_until {
            Ok(self.state.row.fencing)
        } else {
            Err(LeaseError::Expired)
        }
    }

    /// Returns whether the lease should be renewed now.
    pub fn is_renewal_due(&self, now: Duration) -> bool {
        now >= self.renewal_due_at()
    }

    /// Returns the time until which orders may be sent.
    ///
    /// A holder that can renew its lease gives orders until the renewal is due, so that it renews
    /// between two orders. One whose renewal is overdue stops early enough for the last order to
    /// arrive before a peer may acquire the lease.
    pub fn sends_until(&self, now: Duration) -> Duration {
        match self.is_renewal_due(now) {
            false => self.renewal_due_at(),
            true => self.state.valid_until.saturating_sub(self.term / SEND_MARGIN_DIVISOR),
        }
    }

    fn renewal_due_at(&self) -> Duration {
        let margin = self.term * (RENEWALS_PER_TERM - 1) / RENEWALS_PER_TERM;
        self.state.valid_until.saturating_sub(margin)
    }

    /// Returns the write that renews the lease.
    pub fn renewal_write(&self, nonce: u64) -> LeaseWrite {
        LeaseWrite {
            revision: self.state.revision,
            row: LeaseRow { nonce, ..self.state.row.clone() },
        }
    }

    /// Returns the write that releases the lease, so that a peer need not wait for the end of the
    /// term.
    pub fn release_write(&self, nonce: u64) -> LeaseWrite {
        let row = LeaseRow { holder: String::new(), nonce, ..self.state.row.clone() };
        LeaseWrite { revision: self.state.revision, row }
    }

    /// Determines the outcome of a write from the row that was found after it.
    ///
    /// A row with the nonce of the write shows that the write took effect, even if its response was
    /// lost; any other change of the row shows that another node took over.
    pub fn resolve_write(
        self,
        now: Duration,
        sent_at: Duration,
        write: &LeaseWrite,
        found: Option<(u64, LeaseRow)>,
    ) -> RenewalOutcome {
        match found {
            Some((revision, row)) if row == write.row => {
                let valid_until = sent_at + self.term;
                let incarnation = self.state.incarnation;
                let state = Held { row, revision, valid_until, incarnation };
                RenewalOutcome::Held(Lease { state, ..self })
            }
            Some((revision, _)) if revision == self.state.revision => RenewalOutcome::Held(self),
            found => RenewalOutcome::Lost(self.into_observed(now, found)),
        }
    }

    /// Stops holding the lease and observes the row again.
    pub fn into_observed(self, now: Duration, row: Option<(u64, LeaseRow)>) -> Lease<Observed> {
        let incarnation = self.state.incarnation;
        let free_from = Duration::ZERO;
        let state = Observed { row, unchanged_since: now, free_from, incarnation };
        Lease { own: self.own, term: self.term, state }
    }

    /// Returns the store's incarnation that the lease was acquired in. The lease ends when the store
    /// responds in a later one, since its row may be lost there.
    pub fn incarnation(&self) -> u64 {
        self.state.incarnation
    }
}

/// Returns the time for which a row must stay unchanged before an observer takes over: the term
/// plus the allowed drift.
pub fn takeover_wait(row: &LeaseRow) -> Duration {
    with_drift(Duration::from_millis(row.term_ms))
}

/// Returns the time on this node's clock after which `time` has passed on any other.
pub(crate) fn with_drift(time: Duration) -> Duration {
    time + time / DRIFT_DIVISOR
}

/// Returns the least fencing token of an incarnation, less one. All tokens of earlier incarnations
/// are less, also those that the store has lost.
fn first_fencing(incarnation: u64) -> FencingToken {
    incarnation << FENCING_BITS
}
