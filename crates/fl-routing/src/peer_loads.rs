//! The calls that other nodes have in flight at backend servers.
//!
//! Each node reports its calls in flight to the others. See `docs/design/100-on-the-platform.md`.

use serde::{Deserialize, Serialize};

/// The calls in flight at one server, of one node or summed over several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightLoad {
    /// The hash of the server's name.
    pub name_hash: u64,
    /// Number of calls in flight.
    pub in_flight: u32,
    /// Prompt tokens of these calls that the server has not prefilled.
    pub pending_prefill_tokens: u64,
    /// The part of these tokens that belongs to urgent calls.
    pub urgent_prefill_tokens: u64,
}

impl InFlightLoad {
    /// Creates the load of a server without calls; `name_hash` is the hash of its name.
    pub fn idle(name_hash: u64) -> Self {
        InFlightLoad {
            name_hash,
            in_flight: 0,
            pending_prefill_tokens: 0,
            urgent_prefill_tokens: 0,
        }
    }

    /// Counts a call that was sent to the server.
    pub fn begin(&mut self, pending_prefill_tokens: u64, is_urgent: bool) {
        self.in_flight += 1;
        self.pending_prefill_tokens += pending_prefill_tokens;
        self.urgent_prefill_tokens += if is_urgent { pending_prefill_tokens } else { 0 };
    }

    /// Subtracts tokens that the server has prefilled.
    pub fn record_prefilled(&mut self, tokens: u64, is_urgent: bool) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(tokens);
        let urgent = if is_urgent { tokens } else { 0 };
        self.urgent_prefill_tokens = self.urgent_prefill_tokens.saturating_sub(urgent);
    }

    /// Adds another node's load at the same server.
    pub fn add(&mut self, other: &InFlightLoad) {
        self.in_flight += other.in_flight;
        self.pending_prefill_tokens += other.pending_prefill_tokens;
        self.urgent_prefill_tokens += other.urgent_prefill_tokens;
    }
}

/// The loads that the peers reported, and their sums.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// The last report of each peer, sorted by the hash of its address.
    reported: Vec<(u64, Vec<InFlightLoad>)>,
    /// The sums as of the last call of [`PeerLoads::sum_up`], sorted by server.
    sums: Vec<InFlightLoad>,
}

impl PeerLoads {
    /// Replaces what a peer reported before.
    pub fn apply_report(&mut self, peer: u64, loads: Vec<InFlightLoad>) {
        match self.reported.binary_search_by_key(&peer, |(hash, _)| *hash) {
            Ok(index) => self.reported[index].1 = loads,
            Err(index) => self.reported.insert(index, (peer, loads)),
        }
    }

    /// Forgets a peer that has become silent.
    pub fn forget(&mut self, peer: u64) {
        self.reported.retain(|(hash, _)| *hash != peer);
    }

    /// Sums the last reports of all peers.
    pub fn sum_up(&mut self) {
        self.sums.clear();
        for load in self.reported.iter().flat_map(|(_, loads)| loads) {
            match self.sums.binary_search_by_key(&load.name_hash, |sum| sum.name_hash) {
                Ok(index) => self.sums[index].add(load),
                Err(index) => self.sums.insert(index, *load),
            }
        }
    }

    /// Returns the calls of all peers at a server, as of the last sum.
    pub fn at_server(&self, name_hash: u64) -> InFlightLoad {
        let index = self.sums.binary_search_by_key(&name_hash, |sum| sum.name_hash);
        index.map_or(InFlightLoad::idle(name_hash), |index| self.sums[index])
    }
}
