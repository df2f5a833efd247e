//! The quota of one workspace over all nodes, of which each node estimates the level.
//!
//! Each node reports to the others how much it has taken in total. Every node therefore holds the
//! same bucket, except for the units that the others took since their latest reports; these are
//! estimated from the peers' consumption rates. A node that stops reporting is assumed to consume
//! as before, on both sides of a network partition.

use std::time::Duration;

/// Time over which a peer's recent consumption rate is averaged, and for which a silent peer is
/// assumed to continue at it.
const RECENT_RATE_WINDOW: Duration = Duration::from_millis(1500);
/// Time over which a peer's usual consumption rate is averaged, at which a peer that stays silent
/// is assumed to continue.
const USUAL_RATE_WINDOW: Duration = Duration::from_secs(8);
/// Time for which an initial level stays provisional. Consumption before the start no longer
/// matters by then.
const PROVISIONAL_TIME: Duration = Duration::from_secs(10);
/// Time for which a silent peer is assumed to continue consuming. The keys of its callers expire by
/// then.
const MAX_ASSUMED_SILENCE: Duration = Duration::from_secs(7);
/// Silence after which a peer's own estimate of the level is taken into account.
const LONG_SILENCE: Duration = Duration::from_millis(1000);
/// How long the level of a node that was cut off stays doubtful, until it has heard its peers.
const DOUBT_TIME: Duration = Duration::from_secs(3);
/// A quota is scarce when fewer units are left than it gains in this time.
const SCARCE_TIME: Duration = Duration::from_millis(1000);
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
    /// Time after which enough units should be available.
    pub retry_after: Duration,
}

/// The rate at which a node takes units, in units per second.
#[derive(Debug, Clone, Copy, Default)]
struct ConsumptionRate {
    recent_per_s: f64,
    usual_per_s: f64,
    observed_for: Duration,
}

impl ConsumptionRate {
    fn observe(&mut self, units: f64, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64().max(0.001);
        let share = (elapsed_s / RECENT_RATE_WINDOW.as_secs_f64()).min(1.0);
        self.recent_per_s += (units / elapsed_s - self.recent_per_s) * share;
        // The usual rate is the plain mean until it has been observed for its whole window.
        self.observed_for = (self.observed_for + elapsed).min(USUAL_RATE_WINDOW);
        let share = (elapsed_s / self.observed_for.as_secs_f64().max(0.001)).min(1.0);
        self.usual_per_s += (units / elapsed_s - self.usual_per_s) * share;
    }
}

/// A peer's consumption of a quota as of its latest report.
#[derive(Debug, Clone)]
struct PeerConsumption {
    peer: u64,
    taken: f64,
    rate: ConsumptionRate,
    reported_at: Duration,
    /// Units that this node had taken at that time.
    own_taken: f64,
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
    /// Until then the level is too uncertain for peers to adopt, since this node is or was cut off.
    doubtful_until: Duration,
    /// Sorted by peer.
    peers: Vec<PeerConsumption>,
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
            doubtful_until: Duration::ZERO,
            peers: Vec::new(),
        }
    }

    /// Creates a bucket with a provisional level and nothing available, for a quota that other
    /// nodes may just have used up.
    ///
    /// All nodes may have restarted at once, and full buckets would grant the burst a second time.
    pub fn provisional(limit: QuotaLimit, now: Duration) -> Self {
        let provisional_until = Some(now + PROVISIONAL_TIME);
        let level = -limit.tolerance;
        SharedQuota { level, provisional_until, ..Self::full(limit, now) }
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
        self.update_cut(now);
        let (taken, observed_at) = std::mem::replace(&mut self.last_observation, (self.taken, now));
        self.rate.observe(self.taken - taken, now.saturating_sub(observed_at));
        let is_provisional = self.provisional_until.is_some() || now < self.doubtful_until;
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
        self.refill(now);
        self.update_cut(now);
        let found = self.peers.binary_search_by_key(&peer, |known| known.peer);
        let Ok(index) = found else {
            let consumption = PeerConsumption {
                peer,
                taken: report.taken,
                rate: ConsumptionRate::default(),
                reported_at: now,
                own_taken: self.taken,
            };
            self.peers.insert(found.unwrap_or_else(|index| index), consumption);
            self.apply_first_report(report);
            return;
        };
        let known_peer = &mut self.peers[index];
        let elapsed = now.saturating_sub(known_peer.reported_at);
        let elapsed_s = elapsed.as_secs_f64().max(0.001);
        let peer_taken = (report.taken - known_peer.taken).max(0.0);
        known_peer.rate.observe(peer_taken, elapsed);
        known_peer.taken = report.taken;
        known_peer.reported_at = now;
        let own_taken_since = self.taken - std::mem::replace(&mut known_peer.own_taken, self.taken);
        // After a silence longer than `MAX_ASSUMED_SILENCE`, deduct only the share of the units that
        // falls into that time. The bucket was full before, so the other units have been refilled.
        self.level -= peer_taken * (MAX_ASSUMED_SILENCE.as_secs_f64() / elapsed_s).min(1.0);
        if elapsed_s > LONG_SILENCE.as_secs_f64() && !report.is_provisional {
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
        }
    }

    /// Removes the process instances of peers for which `is_known` returns `false`, which will not
    /// report again.
    pub fn retain_peers(&mut self, is_known: impl Fn(u64) -> bool) {
        self.peers.retain(|known| is_known(known.peer));
    }

    /// Notes whether most of the units are taken by peers that are not heard: this node is cut off
    /// from them, and its bucket fills while theirs do not.
    fn update_cut(&mut self, now: Duration) {
        let usual_per_s = |is_counted: &dyn Fn(&PeerConsumption) -> bool| -> f64 {
            let counted = self.peers.iter().filter(|known| is_counted(known));
            counted.map(|known| known.rate.usual_per_s).sum()
        };
        let unheard_per_s =
            usual_per_s(&|known| now.saturating_sub(known.reported_at) > LONG_SILENCE);
        let total_per_s = usual_per_s(&|_| true) + self.rate.usual_per_s;
        let is_cut = unheard_per_s > total_per_s / 2.0;
        if is_cut {
            self.doubtful_until = now + DOUBT_TIME;
        }
    }

    /// Takes units if they are available. Otherwise returns the shortage and the time after which
    /// to retry.
    ///
    /// A request for more units than the bucket can hold is granted by a full bucket, whose level
    /// then becomes negative, since it could otherwise never pass.
    pub fn try_take(&mut self, units: f64, now: Duration) -> Result<(), QuotaShortage> {
        self.refill(now);
        self.update_cut(now);
        let free = self.level - self.estimate_unreported(now) + self.limit.tolerance;
        let needed = units.min(self.limit.burst + self.limit.tolerance);
        if free >= needed {
            self.level -= units;
            self.taken += units;
            return Ok(());
        }
        let rate_per_s = self.limit.rate_per_s;
        let refill_s = (needed - free) / rate_per_s.max(f64::MIN_POSITIVE);
        let retry_after = Duration::from_secs_f64(refill_s.min(MAX_RETRY_AFTER.as_secs_f64()));
        Err(QuotaShortage { units, free, rate_per_s, retry_after })
    }

    /// Returns whether so few units are left that nodes must report to each other at once. Each
    /// node would otherwise grant the same remaining units.
    pub fn is_scarce(&mut self, now: Duration) -> bool {
        self.refill(now);
        let available = self.level - self.estimate_unreported(now) + self.limit.tolerance;
        available < self.limit.rate_per_s * SCARCE_TIME.as_secs_f64()
    }

    /// Estimates the units that the peers have taken since their latest reports: at their recent
    /// rates at first, then at their usual rates, limited so that all nodes together do not exceed
    /// the quota's rate.
    fn estimate_unreported(&self, now: Duration) -> f64 {
        let usual_per_s: f64 = self.peers.iter().map(|known| known.rate.usual_per_s).sum();
        let total_per_s = usual_per_s + self.rate.usual_per_s;
        let allowed_share = (self.limit.rate_per_s / total_per_s.max(f64::MIN_POSITIVE)).min(1.0);
        let unreported_by = |known: &PeerConsumption| {
            let silence = now.saturating_sub(known.reported_at).min(MAX_ASSUMED_SILENCE);
            let at_recent_rate = silence.min(RECENT_RATE_WINDOW);
            let at_usual_rate = silence - at_recent_rate;
            known.rate.recent_per_s * at_recent_rate.as_secs_f64()
                + known.rate.usual_per_s * allowed_share * at_usual_rate.as_secs_f64()
        };
        self.peers.iter().map(unreported_by).sum()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.as_of).as_secs_f64();
        self.as_of = self.as_of.max(now);
        let refilled = self.level + self.limit.rate_per_s * elapsed_s;
        // The estimated consumption of silent peers is deducted when they report again. Until then
        // the level may exceed the burst by that amount.
        self.level = refilled.min(self.limit.burst + self.estimate_unreported(now));
        if self.provisional_until.is_some_and(|until| now >= until) {
            self.provisional_until = None;
        }
    }
}
