//! One workspace's quota over all nodes, as each node believes its level.
//!
//! Each node tells the others how much it took in all. So every node holds the same bucket, but for
//! what the others took since they last spoke; that much is assumed from their pace. A node that
//! fell silent is assumed to go on as before, on either side of a cut.

use std::time::Duration;

/// Time over which a peer's pace is averaged, and for which a silent one is assumed to go on so.
const RECENT_RATE_WINDOW: Duration = Duration::from_millis(1500);
/// Time over which its usual pace is averaged, at which a peer that stays silent is assumed to go on.
const USUAL_RATE_WINDOW: Duration = Duration::from_secs(8);
/// How long a level that began as a guess stays one; what was taken before is over by then.
const PROVISIONAL_TIME: Duration = Duration::from_secs(10);
/// How long a silent peer is assumed to go on; its callers' keys lose their force by then.
const ASSUMED_TIME: Duration = Duration::from_secs(7);
/// Silence after which a peer's belief about the level counts.
const LONG_SILENCE: Duration = Duration::from_millis(1000);
/// A quota is scarce when less is left than it gains in this time.
const SCARCE_TIME: Duration = Duration::from_millis(1000);
/// The longest time to come back that callers are told; quotas may change meanwhile.
const RETRY_MAX: Duration = Duration::from_secs(10);

/// What a quota allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Units a second over all nodes.
    pub rate_per_s: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// Units beyond the burst that may be taken, since nodes know late of each other.
    pub tolerance: f64,
}

/// What a node tells of one quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaReport {
    /// Units taken there since its process started.
    pub taken: f64,
    /// The level it believes in.
    pub level: f64,
    /// Whether the level is a guess, since the node knows nothing of what was taken before it
    /// started.
    pub is_provisional: bool,
}

/// Why units were not given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaShortage {
    /// Units asked for.
    pub units: f64,
    /// What was free, as believed.
    pub free: f64,
    /// What the quota gains a second.
    pub rate_per_s: f64,
    /// When enough should be free.
    pub retry_after: Duration,
}

/// How fast a node takes units.
#[derive(Debug, Clone, Copy, Default)]
struct ConsumptionRate {
    per_s: f64,
    usual_per_s: f64,
    known_for: Duration,
}

impl ConsumptionRate {
    fn observe(&mut self, took: f64, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64().max(0.001);
        let share = (elapsed_s / RECENT_RATE_WINDOW.as_secs_f64()).min(1.0);
        self.per_s += (took / elapsed_s - self.per_s) * share;
        // Until it is known for long the usual pace is the mean.
        self.known_for = (self.known_for + elapsed).min(USUAL_RATE_WINDOW);
        let share = (elapsed_s / self.known_for.as_secs_f64().max(0.001)).min(1.0);
        self.usual_per_s += (took / elapsed_s - self.usual_per_s) * share;
    }
}

/// A peer's part in a quota.
#[derive(Debug, Clone)]
struct PeerConsumption {
    peer: u64,
    taken: f64,
    rate: ConsumptionRate,
    reported_at: Duration,
    /// What this node had taken then.
    own_taken: f64,
}

/// One quota at one node.
#[derive(Debug, Clone)]
pub struct SharedQuota {
    limit: QuotaLimit,
    level: f64,
    taken: f64,
    rate: ConsumptionRate,
    /// What was taken here when the pace was observed last, and when that was.
    observed: (f64, Duration),
    as_of: Duration,
    provisional_until: Option<Duration>,
    /// Sorted by peer.
    peers: Vec<PeerConsumption>,
}

impl SharedQuota {
    /// Starts with a full bucket, for a quota that nobody has used yet.
    pub fn full(limit: QuotaLimit, now: Duration) -> Self {
        let level = limit.burst;
        SharedQuota {
            limit,
            level,
            taken: 0.0,
            rate: ConsumptionRate::default(),
            observed: (0.0, now),
            as_of: now,
            provisional_until: None,
            peers: Vec::new(),
        }
    }

    /// Starts with nothing to spare, for a quota that others may have used up just before.
    ///
    /// All nodes may have lost their memory at once; full buckets would give the burst twice.
    pub fn provisional(limit: QuotaLimit, now: Duration) -> Self {
        let provisional_until = Some(now + PROVISIONAL_TIME);
        let level = -limit.tolerance;
        SharedQuota { level, provisional_until, ..Self::full(limit, now) }
    }

    /// Takes a new version of the quota; a greater burst may be used at once.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Duration) {
        self.refill(now);
        let more = (limit.burst - self.limit.burst).max(0.0);
        self.level = (self.level + more).min(limit.burst);
        self.limit = limit;
    }

    /// What the peers are told.
    pub fn report(&mut self, now: Duration) -> QuotaReport {
        self.refill(now);
        let (taken, observed_at) = std::mem::replace(&mut self.observed, (self.taken, now));
        self.rate.observe(self.taken - taken, now.saturating_sub(observed_at));
        let is_provisional = self.provisional_until.is_some();
        // The peers refuse as well once nothing is left, so no more than that is assumed of them.
        let left = (self.level + self.limit.tolerance).max(0.0);
        let level = self.level - self.assumed(now).min(left);
        QuotaReport { taken: self.taken, level, is_provisional }
    }

    /// Takes a peer's report; `peer` names one life of its process.
    ///
    /// A node whose level is a guess takes the peer's word for it. Any other takes off what a peer
    /// took before it was heard for the first time, down to the level that the peer believes in.
    pub fn apply_report(&mut self, peer: u64, report: QuotaReport, now: Duration) {
        self.refill(now);
        let place = self.peers.binary_search_by_key(&peer, |known| known.peer);
        let Ok(place) = place else {
            let consumption = PeerConsumption {
                peer,
                taken: report.taken,
                rate: ConsumptionRate::default(),
                reported_at: now,
                own_taken: self.taken,
            };
            self.peers.insert(place.unwrap_or_else(|place| place), consumption);
            self.take_level(report);
            return;
        };
        let known = &mut self.peers[place];
        let elapsed = now.saturating_sub(known.reported_at);
        let elapsed_s = elapsed.as_secs_f64().max(0.001);
        let took = (report.taken - known.taken).max(0.0);
        known.rate.observe(took, elapsed);
        known.taken = report.taken;
        known.reported_at = now;
        let own_since = self.taken - std::mem::replace(&mut known.own_taken, self.taken);
        // After a longer silence than was assumed for, the bucket was full all the while before; what
        // was taken then is made good already.
        self.level -= took * (ASSUMED_TIME.as_secs_f64() / elapsed_s).min(1.0);
        if elapsed_s > LONG_SILENCE.as_secs_f64() && !report.is_provisional {
            // The peer may have heard all others meanwhile and knows better, but for what was taken
            // here.
            self.level = self.level.max(report.level - own_since);
        }
    }

    fn take_level(&mut self, report: QuotaReport) {
        if self.provisional_until.is_none() {
            let floor = if report.is_provisional { f64::MIN } else { self.level.min(report.level) };
            self.level = (self.level - report.taken).max(floor);
        } else if !report.is_provisional {
            self.provisional_until = None;
            self.level = report.level;
        }
    }

    /// Forgets lives of peers that will not speak again.
    pub fn retain_peers(&mut self, is_known: impl Fn(u64) -> bool) {
        self.peers.retain(|known| is_known(known.peer));
    }

    /// Takes units if the quota has them; otherwise says when to come back.
    ///
    /// A call of more units than the bucket ever holds is let through from a full bucket and paid
    /// off afterwards, since it could otherwise never pass.
    pub fn try_take(&mut self, units: f64, now: Duration) -> Result<(), QuotaShortage> {
        self.refill(now);
        let free = self.level - self.assumed(now) + self.limit.tolerance;
        let needed = units.min(self.limit.burst + self.limit.tolerance);
        if free >= needed {
            self.level -= units;
            self.taken += units;
            return Ok(());
        }
        let rate_per_s = self.limit.rate_per_s;
        let refill_s = (needed - free) / rate_per_s.max(f64::MIN_POSITIVE);
        let retry_after = Duration::from_secs_f64(refill_s.min(RETRY_MAX.as_secs_f64()));
        Err(QuotaShortage { units, free, rate_per_s, retry_after })
    }

    /// Says whether so little is left that nodes must tell each other at once what they take: each
    /// would otherwise give away the same rest.
    pub fn is_scarce(&mut self, now: Duration) -> bool {
        self.refill(now);
        let left = self.level - self.assumed(now) + self.limit.tolerance;
        left < self.limit.rate_per_s * SCARCE_TIME.as_secs_f64()
    }

    /// Units that the peers are assumed to have taken since they last spoke: at their last pace first,
    /// then at their usual one, but all nodes together no faster than the quota allows for long.
    fn assumed(&self, now: Duration) -> f64 {
        let usual_per_s: f64 = self.peers.iter().map(|known| known.rate.usual_per_s).sum();
        let all_per_s = usual_per_s + self.rate.usual_per_s;
        let allowed = (self.limit.rate_per_s / all_per_s.max(f64::MIN_POSITIVE)).min(1.0);
        let of_peer = |known: &PeerConsumption| {
            let silence = now.saturating_sub(known.reported_at).min(ASSUMED_TIME);
            let first = silence.min(RECENT_RATE_WINDOW);
            let rest = silence - first;
            known.rate.per_s * first.as_secs_f64()
                + known.rate.usual_per_s * allowed * rest.as_secs_f64()
        };
        self.peers.iter().map(of_peer).sum()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.as_of).as_secs_f64();
        self.as_of = self.as_of.max(now);
        let refilled = self.level + self.limit.rate_per_s * elapsed_s;
        // What silent peers are assumed to take comes off when they speak again, so the bucket may
        // be fuller than full by that much until then.
        self.level = refilled.min(self.limit.burst + self.assumed(now));
        if self.provisional_until.is_some_and(|until| now >= until) {
            self.provisional_until = None;
        }
    }
}
