//! The quota of one workspace over all nodes, of which each node estimates the level.
//!
//! Each node reports to the others how much it has taken in total. Every node therefore holds the
//! same bucket, except for the units that the others took since their latest reports; these are
//! estimated from the peers' consumption rates. A node that is not heard is assumed to consume its
//! equal share of the quota, on both sides of a network partition and after a start. See
//! `docs/design/100-on-the-platform.md`.

mod consumption;
mod own_part;
mod unheard;

use consumption::{ConsumptionRate, PeerConsumption};
use own_part::RoundMarks;
use std::time::Duration;

/// Time for which an initial level stays provisional. Consumption before the start no longer
/// matters by then.
const PROVISIONAL_TIME: Duration = Duration::from_secs(10);
/// Longest time to retry that is returned to callers, since quotas may change meanwhile.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The rate and the burst that a quota allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Units per second over all nodes.
    pub rate_per_s: f64,
    /// Capacity of the bucket: the units that can be saved up.
    pub burst: f64,
    /// Units by which the level may become negative, since nodes learn late of each other's
    /// consumption.
    pub tolerance: f64,
}

/// A node's report on one quota to its peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaReport {
    /// Units taken on the node since its process started.
    pub taken: f64,
    /// Level of the bucket as the node estimates it.
    pub level: f64,
    /// Whether the level is provisional, because the node does not know yet how much was taken
    /// before it started.
    pub is_provisional: bool,
}

/// The reason why a request for units was refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaShortage {
    /// Units requested.
    pub units: f64,
    /// Units available, as this node estimates.
    pub free: f64,
    /// Rate at which the quota refills, in units per second.
    pub rate_per_s: f64,
    /// Nodes that share the quota and are not heard, for which their shares are kept.
    pub unheard_nodes: usize,
    /// Time after which enough units should be available.
    pub retry_after: Duration,
}

/// What a node knows of the fleet that shares a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSharing {
    /// Nodes that may take units, whether they are heard or not, including this one.
    pub nodes: usize,
    /// Longest time between two reports of a peer that is heard.
    pub interval: Duration,
    /// A number from 0 to 1 that differs between nodes. A node may take a call for which its part
    /// of the quota does not suffice if its phase makes up for the rest, so that a few of many nodes
    /// take large calls instead of none.
    pub phase: f64,
}

/// What was available of a quota when a node began to share it.
#[derive(Debug, Clone, Copy)]
struct InitialUnits {
    at: Duration,
    available: f64,
}

/// One node's copy of a quota's token bucket, with the consumption of its peers.
#[derive(Debug, Clone)]
pub struct SharedQuota {
    limit: QuotaLimit,
    level: f64,
    taken: f64,
    rate: ConsumptionRate,
    /// Units taken on this node when the rate was last observed, and the time of that observation.
    last_observation: (f64, Duration),
    as_of: Duration,
    provisional_until: Option<Duration>,
    /// Until then the level is too uncertain for peers to adopt, since this node is or was cut off from
    /// them.
    uncertain_until: Duration,
    /// Sorted by peer.
    peers: Vec<PeerConsumption>,
    sharing: QuotaSharing,
    initial: InitialUnits,
    round_marks: RoundMarks,
}

impl SharedQuota {
    /// Creates a full bucket, for a quota that no node has used yet.
    pub fn full(limit: QuotaLimit, now: Duration) -> Self {
        let level = limit.burst;
        SharedQuota {
            limit,
            level,
            taken: 0.0,
            rate: ConsumptionRate::default(),
            last_observation: (0.0, now),
            as_of: now,
            provisional_until: None,
            uncertain_until: Duration::ZERO,
            peers: Vec::new(),
            sharing: QuotaSharing { nodes: 1, interval: Duration::ZERO, phase: 0.0 },
            initial: InitialUnits { at: now, available: level + limit.tolerance },
            round_marks: RoundMarks::new(now),
        }
    }

    /// Creates a bucket with a provisional level and nothing available, for a quota that other
    /// nodes may just have used up.
    ///
    /// All nodes may have restarted at once, and full buckets would grant the burst a second time.
    pub fn provisional(limit: QuotaLimit, now: Duration) -> Self {
        let provisional_until = Some(now + PROVISIONAL_TIME);
        let level = -limit.tolerance;
        let initial = InitialUnits { at: now, available: 0.0 };
        SharedQuota { level, provisional_until, initial, ..Self::full(limit, now) }
    }

    /// Sets what is known of the fleet. Before, a node that hears no other takes itself for the
    /// whole fleet.
    pub fn set_sharing(&mut self, sharing: QuotaSharing, now: Duration) {
        self.refill(now);
        self.sharing = sharing;
    }

    /// Returns the rate and the burst in force.
    pub fn limit(&self) -> QuotaLimit {
        self.limit
    }

    /// Applies a new version of the quota. A larger burst is available at once.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Duration) {
        self.refill(now);
        let added_burst = (limit.burst - self.limit.burst).max(0.0);
        self.level = (self.level + added_burst).min(limit.burst);
        self.limit = limit;
    }

    /// Returns the report to send to the peers.
    pub fn report(&mut self, now: Duration) -> QuotaReport {
        self.refill(now);
        self.note_cut_off(now);
        let (taken, observed_at) = std::mem::replace(&mut self.last_observation, (self.taken, now));
        self.rate.observe(self.taken - taken, now.saturating_sub(observed_at));
        let is_provisional = self.provisional_until.is_some() || now < self.uncertain_until;
        // The peers also refuse calls once nothing is left, so they are assumed to have taken no
        // more than what was available.
        let available = (self.level + self.limit.tolerance).max(0.0);
        let level = self.level - self.estimate_unreported(now).min(available);
        QuotaReport { taken: self.taken, level, is_provisional }
    }

    /// Applies a peer's report. `peer` identifies one process instance of the peer.
    ///
    /// At the first report of a peer, a node with a provisional level adopts the peer's level. Any
    /// other node deducts what the peer has taken so far, down to the level that the peer estimates.
    /// A provisional level of the peer is neither adopted nor such a bound.
    pub fn apply_report(&mut self, peer: u64, report: QuotaReport, now: Duration) {
        self.accrue(now);
        let found = self.peers.binary_search_by_key(&peer, |known| known.peer);
        let Ok(index) = found else {
            self.apply_first_report(report);
            let consumption = PeerConsumption {
                peer,
                taken: report.taken,
                rate: ConsumptionRate::default(),
                reported_at: now,
                own_taken: self.taken,
                available: self.level + self.limit.tolerance,
            };
            self.peers.insert(found.unwrap_or_else(|index| index), consumption);
            return;
        };
        let was_unheard = self.is_unheard(&self.peers[index], now);
        if was_unheard {
            self.note_cut_off(now);
        }
        let available = self.level + self.limit.tolerance;
        let known = &mut self.peers[index];
        let peer_taken = (report.taken - known.taken).max(0.0);
        known.rate.observe(peer_taken, known.silence(now));
        known.taken = report.taken;
        known.reported_at = now;
        known.available = available - peer_taken;
        let own_taken_since = self.taken - std::mem::replace(&mut known.own_taken, self.taken);
        self.level -= peer_taken;
        if was_unheard && !report.is_provisional {
            // The peer may have received the reports of all others meanwhile, so its level is more
            // accurate, except for what was taken here.
            self.level = self.level.max(report.level - own_taken_since);
        }
    }

    fn apply_first_report(&mut self, report: QuotaReport) {
        if self.provisional_until.is_none() {
            let floor = if report.is_provisional { f64::MIN } else { self.level.min(report.level) };
            self.level = (self.level - report.taken).max(floor);
        } else if !report.is_provisional {
            self.provisional_until = None;
            self.level = report.level;
            let available = self.level + self.limit.tolerance;
            self.initial = InitialUnits { at: self.as_of, available };
        }
    }

    /// Removes the process instances of peers for which `is_known` returns `false`, which will not
    /// report again.
    pub fn retain_peers(&mut self, is_known: impl Fn(u64) -> bool) {
        self.peers.retain(|known| is_known(known.peer));
    }

    /// Takes units if they are available. Otherwise returns the shortage and the time after which
    /// to retry.
    ///
    /// A request for more units than the bucket can hold is granted by a full bucket, whose level
    /// then becomes negative, since it could otherwise never pass.
    pub fn try_take(&mut self, units: f64, now: Duration) -> Result<(), QuotaShortage> {
        self.try_take_above(units, 0.0, now)
    }

    /// Takes units if they are available and `kept_units` are left then for other requests.
    pub fn try_take_above(
        &mut self,
        units: f64,
        kept_units: f64,
        now: Duration,
    ) -> Result<(), QuotaShortage> {
        self.refill(now);
        self.note_cut_off(now);
        self.round_marks.observe(self.taken, self.sharing.interval, now);
        let available = self.level - self.estimate_unreported(now) + self.limit.tolerance;
        let free = available - kept_units;
        let needed = units.min(self.limit.burst + self.limit.tolerance - kept_units);
        let shortfall = self.shortfall(needed, free, now);
        if shortfall <= 0.0 {
            self.level -= units;
            self.taken += units;
            return Ok(());
        }
        let rate_per_s = self.limit.rate_per_s;
        let usable_per_s = rate_per_s * self.heard_share(now);
        let refill_s = shortfall / usable_per_s.max(f64::MIN_POSITIVE);
        let retry_after = Duration::from_secs_f64(refill_s.min(MAX_RETRY_AFTER.as_secs_f64()));
        let unheard_nodes = self.unheard_nodes(now);
        Err(QuotaShortage { units, free, rate_per_s, unheard_nodes, retry_after })
    }

    /// Adds what the quota has gained, up to what can be saved up.
    ///
    /// An unheard node saves up its equal share of the burst by itself. What heard peers may have
    /// taken is deducted when they report again; until then the level may exceed the burst by it.
    fn refill(&mut self, now: Duration) {
        self.accrue(now);
        let burst = self.limit.burst * self.heard_share(now);
        self.level = self.level.min(burst + self.estimate_unreported(now));
        if self.provisional_until.is_some_and(|until| now >= until) {
            self.provisional_until = None;
        }
    }

    /// Adds what the quota has gained. The next refill limits the level, so that a report costs the
    /// same in a large fleet.
    fn accrue(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.as_of).as_secs_f64();
        self.as_of = self.as_of.max(now);
        self.level += self.limit.rate_per_s * elapsed_s;
    }
}
