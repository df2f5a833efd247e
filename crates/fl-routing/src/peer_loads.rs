//! The calls that other nodes have in flight at backend servers.
//!
//! Each node reports its calls in flight to the others, a few at a time, so what a node knows is
//! older the larger the fleet is. A long prompt may be prefilled before the others have heard of it.
//! Calls with long prompts are therefore announced to all at once, and what was pending in a report
//! counts less as time goes on. See `docs/design/100-on-the-platform.md`.

use crate::placement::PrefillRate;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MS_PER_S: f64 = 1000.0;

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

/// A report of a process instance: when the process started, in Unix milliseconds, and the report's
/// sequence number.
pub type ReportId = (u64, u64);

/// A call that a peer has just sent to a server, told before its next report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedCall {
    /// The last report that the peer made before it sent the call.
    pub after_report: ReportId,
    /// The hash of the server's name.
    pub name_hash: u64,
    /// Prompt tokens that the server has to prefill for it.
    pub prefill_tokens: u64,
    /// Whether model engines prefill its prompt before those of other calls.
    pub is_urgent: bool,
}

/// What one peer has in flight at one server.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    /// The hash of the peer's address.
    peer: u64,
    known_at: Duration,
    /// The report that an announced call follows; `None` for what a report says.
    announced_after: Option<ReportId>,
    load: InFlightLoad,
}

/// What the peers have in flight at the servers, from their reports and announcements.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// The last report of each peer, sorted by the hash of its address.
    last_reports: Vec<(u64, ReportId)>,
    /// The loads at each server, oldest first. Sorted by the hash of the server's name.
    servers: Vec<(u64, Vec<PeerLoad>)>,
}

impl PeerLoads {
    /// Replaces what a peer reported and announced before the report.
    pub fn apply_report(
        &mut self,
        peer: u64,
        report: ReportId,
        loads: &[InFlightLoad],
        now: Duration,
    ) {
        match self.last_reports.binary_search_by_key(&peer, |(hash, _)| *hash) {
            Ok(index) => self.last_reports[index].1 = report,
            Err(index) => self.last_reports.insert(index, (peer, report)),
        }
        let is_replaced = |known: &PeerLoad| {
            known.peer == peer && known.announced_after.is_none_or(|after| after < report)
        };
        self.remove(is_replaced);
        for load in loads {
            self.insert(PeerLoad { peer, known_at: now, announced_after: None, load: *load });
        }
    }

    /// Adds a call that a peer announced. Ignored if a report of the peer contains the call, or if
    /// no report of the peer is known, which would end it.
    pub fn apply_announcement(&mut self, peer: u64, call: AnnouncedCall, now: Duration) {
        let index = self.last_reports.binary_search_by_key(&peer, |(hash, _)| *hash);
        let Ok(index) = index else { return };
        if self.last_reports[index].1 > call.after_report {
            return;
        }
        let mut load = InFlightLoad::idle(call.name_hash);
        load.begin(call.prefill_tokens, call.is_urgent);
        let announced_after = Some(call.after_report);
        self.insert(PeerLoad { peer, known_at: now, announced_after, load });
    }

    /// Forgets a peer that has become silent.
    pub fn forget(&mut self, peer: u64) {
        self.last_reports.retain(|(hash, _)| *hash != peer);
        self.remove(|known| known.peer == peer);
    }

    /// Returns the calls of all peers at a server.
    ///
    /// Prompts that were pending when a peer reported them count less and less, as the server goes
    /// on with them: it prefills one prompt after the other at `rate`.
    pub fn at_server(&self, name_hash: u64, now: Duration, rate: PrefillRate) -> InFlightLoad {
        let mut sum = InFlightLoad::idle(name_hash);
        let index = self.servers.binary_search_by_key(&name_hash, |(hash, _)| *hash);
        let Ok(index) = index else { return sum };
        let loads = &self.servers[index].1;
        sum.in_flight = loads.iter().map(|known| known.load.in_flight).sum();
        let pending = loads.iter().map(|known| (known.known_at, known.load.pending_prefill_tokens));
        sum.pending_prefill_tokens = left_to_prefill(pending, now, rate);
        let urgent = loads.iter().map(|known| (known.known_at, known.load.urgent_prefill_tokens));
        sum.urgent_prefill_tokens =
            left_to_prefill(urgent, now, rate).min(sum.pending_prefill_tokens);
        sum
    }

    fn insert(&mut self, load: PeerLoad) {
        let name_hash = load.load.name_hash;
        match self.servers.binary_search_by_key(&name_hash, |(hash, _)| *hash) {
            Ok(index) => self.servers[index].1.push(load),
            Err(index) => self.servers.insert(index, (name_hash, vec![load])),
        }
    }

    fn remove(&mut self, is_removed: impl Fn(&PeerLoad) -> bool) {
        for (_, loads) in &mut self.servers {
            loads.retain(|known| !is_removed(known));
        }
        self.servers.retain(|(_, loads)| !loads.is_empty());
    }
}

/// Returns the prompt tokens that a server still has to prefill, of those that were pending at
/// earlier times, oldest first.
fn left_to_prefill(
    pending: impl Iterator<Item = (Duration, u64)>,
    now: Duration,
    rate: PrefillRate,
) -> u64 {
    let millis = |time: Duration| time.as_secs_f64() * MS_PER_S;
    let mut idle_from_ms = 0.0_f64;
    for (known_at, tokens) in pending {
        idle_from_ms = idle_from_ms.max(millis(known_at)) + rate.prefill_ms(tokens);
    }
    ((idle_from_ms - millis(now)).max(0.0) * rate.tokens_per_ms()) as u64
}
