//! When a new holder of a lease may send its first call, where the receiver checks no fencing tokens.
//!
//! A call of the former holder must not arrive after one of the new holder. The derivation is in
//! `docs/design/080-leases-and-fencing.md`.

use crate::lease::with_drift;
use fl_protocol::FencingToken;
use std::time::Duration;

/// Bounds on the lease and on the calls that are sent under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallBounds {
    /// Term of the lease.
    pub term: Duration,
    /// How long a call takes at most until it has arrived or is given up.
    pub longest_call: Duration,
}

/// The time until which this node may have sent calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastCall {
    /// Fencing token of the lease; 0 if this process has sent none.
    pub fencing: FencingToken,
    /// When the last call ended; the start of the process if it has sent none, as calls of a process
    /// before it are not known.
    pub ended_at: Duration,
}

impl CallBounds {
    /// Returns the time that a new holder waits for the last call of the former one.
    pub fn first_call_wait(&self) -> Duration {
        with_drift(self.longest_call)
    }

    /// Returns the time from which a node may send calls under a lease that it acquired.
    ///
    /// If another node may have sent calls since `last_call`, those of the two must not alternate within
    /// a term, since the receiver could not tell them from those of two holders.
    pub fn first_call_at(
        &self,
        acquired_at: Duration,
        fencing: FencingToken,
        last_call: LastCall,
    ) -> Duration {
        if fencing == last_call.fencing + 1 {
            // Fencing tokens grow by one, so nobody has held the lease in between.
            return acquired_at;
        }
        let returns_at = last_call.ended_at + with_drift(self.term);
        (acquired_at + self.first_call_wait()).max(returns_at)
    }
}
