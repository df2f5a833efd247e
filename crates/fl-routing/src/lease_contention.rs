//! Decides which nodes try to acquire a lease that nobody holds.
//!
//! If every node tried, the reads of the lease's row would grow with the fleet, and the lease could
//! go to a node that has just started and knows little of the others.

use crate::rendezvous::is_among_highest;
use std::time::Duration;

/// Key for rendezvous hashing by which nodes are ranked as contenders.
const CONTENDER_KEY: u64 = 1;
/// Nodes that contend at first. More than one, as some may not reach the store.
const FIRST_CONTENDERS: usize = 3;
/// Time in which the number of contenders doubles while nobody acquires the lease.
const DOUBLING_TIME: Duration = Duration::from_secs(2);
/// Doublings after which every node contends, however large the fleet is.
const DOUBLINGS_MAX: u32 = 16;

/// What a node knows of the others when nobody holds the lease.
#[derive(Debug, Clone, Copy)]
pub struct Vacancy<'a> {
    /// Hash by which this node is ranked.
    pub own: u64,
    /// Hashes of the peers that it hears.
    pub heard: &'a [u64],
    /// Number of peers that it knows of, heard or not; `None` before it has read the list of nodes.
    pub known: Option<usize>,
    /// Time since it last heard of a holder, or since it became ready.
    pub vacant_for: Duration,
}

impl Vacancy<'_> {
    /// Returns whether the node may try to acquire the lease, whose term is `term`.
    ///
    /// A node that does not know its peers may not. One that hears less than half of them waits for
    /// a term, in which others take the lease if there are any.
    pub fn may_contend(&self, term: Duration) -> bool {
        let Some(known) = self.known else { return false };
        let hears_few = self.heard.len() * 2 < known;
        let head_start = if hears_few { term } else { Duration::ZERO };
        let Some(vacant_for) = self.vacant_for.checked_sub(head_start) else { return false };
        let doublings = (vacant_for.as_millis() / DOUBLING_TIME.as_millis()) as u32;
        let contenders = FIRST_CONTENDERS << doublings.min(DOUBLINGS_MAX);
        is_among_highest(CONTENDER_KEY, self.own, self.heard, contenders)
    }
}
