//! The pace of backend servers: the lasting speed of each relative to the mean of its service.
//!
//! It is learned from observed times against expected ones. A node sees a single server too seldom,
//! so nodes share sums of their observations. See `docs/design/140-placement-by-cost.md`.

mod estimate;
mod expected_times;
mod shared;
mod stream_interval;

pub use estimate::estimate_paces;
pub use expected_times::{SharedExpectedTime, TimeClass};
pub use shared::{SHARED_SUMS_MAX, SharedPaceSum, SharedPaces, share_interval};
pub use stream_interval::StreamInterval;

use expected_times::ExpectedTimes;
use fl_protocol::hash64;
use std::time::Duration;

/// Time in which the weight of an observation halves. Observations of some tens of seconds are
/// needed, and a server that moves to another machine registers as a new instance.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Weight below which a sum says nothing any more.
const WEIGHT_MIN: f64 = 0.02;
/// Greatest weight of one node's observations of a server, so that no node outweighs the others.
const NODE_WEIGHT_MAX: f64 = 50.0;
/// Greatest factor by which an observation may differ from the expected time; larger ones are
/// clipped. A pace is bounded by the same factor.
const FACTOR_MAX: f64 = 4.0;

/// Identifies an instance of a server, so that one that starts anew has no observations.
pub type InstanceKey = u32;

/// Returns the key of an instance of a server by the hash of its name and its start.
pub fn instance_key(name_hash: u64, born_ms: Option<u64>) -> InstanceKey {
    let born_ms = born_ms.unwrap_or_default();
    hash64(&[&name_hash.to_be_bytes(), &born_ms.to_be_bytes()]) as InstanceKey
}

/// Weighted sums of the logarithms of observed over expected times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceSum {
    /// Sum of the weights.
    pub weight: f64,
    /// Sum of the weighted logarithms.
    pub log_sum: f64,
    /// Sum of the weighted squares of the logarithms.
    pub square_sum: f64,
}

impl PaceSum {
    /// Adds the logarithm of an observed over an expected time.
    pub fn observe(&mut self, log: f64, weight: f64) {
        self.weight += weight;
        self.log_sum += weight * log;
        self.square_sum += weight * log * log;
    }

    /// Adds the observations of another node.
    pub fn add(&mut self, other: &PaceSum) {
        self.weight += other.weight;
        self.log_sum += other.log_sum;
        self.square_sum += other.square_sum;
    }

    /// Returns the mean logarithm, 0 without observations.
    pub fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.log_sum / self.weight } else { 0.0 }
    }

    /// Returns the weighted squares of the deviations from the mean.
    fn squared_deviations(&self) -> f64 {
        (self.square_sum - self.mean() * self.log_sum).max(0.0)
    }

    fn scaled(&self, factor: f64) -> PaceSum {
        PaceSum {
            weight: self.weight * factor,
            log_sum: self.log_sum * factor,
            square_sum: self.square_sum * factor,
        }
    }
}

/// A sum as of a point in time.
#[derive(Debug, Clone, Copy)]
struct DatedSum {
    sum: PaceSum,
    as_of: Duration,
}

impl DatedSum {
    /// Returns the sum with the weight that is left of it.
    fn decayed(&self, now: Duration) -> PaceSum {
        let age = now.saturating_sub(self.as_of).as_secs_f64();
        self.sum.scaled(0.5_f64.powf(age / HALF_LIFE.as_secs_f64()))
    }
}

/// The observations of one server instance.
#[derive(Debug, Clone)]
struct ObservedServer {
    key: InstanceKey,
    own: DatedSum,
    /// What peers observed, sorted by the hash of the peer's address.
    peers: Vec<(u64, DatedSum)>,
}

impl ObservedServer {
    fn new(key: InstanceKey, now: Duration) -> Self {
        let own = DatedSum { sum: PaceSum::default(), as_of: now };
        ObservedServer { key, own, peers: Vec::new() }
    }

    fn sum(&self, now: Duration) -> PaceSum {
        let mut sum = self.own.decayed(now);
        self.peers.iter().for_each(|(_, peer)| sum.add(&peer.decayed(now)));
        sum
    }

    /// Drops what is too old; returns whether anything is left.
    fn prune(&mut self, now: Duration) -> bool {
        self.peers.retain(|(_, peer)| peer.decayed(now).weight >= WEIGHT_MIN);
        !self.peers.is_empty() || self.own.decayed(now).weight >= WEIGHT_MIN
    }
}

/// What this node and its peers observed of the servers' speed.
#[derive(Debug, Clone, Default)]
pub struct PaceObservations {
    /// Sorted by key.
    servers: Vec<ObservedServer>,
    expected: ExpectedTimes,
    /// The last server that was shared, where a datagram cannot hold all.
    last_shared: Option<InstanceKey>,
}

impl PaceObservations {
    /// Records the time that something took at a server. `pace` is the known pace of the server,
    /// 1 if it is not known.
    ///
    /// Times of a class are compared with each other alone, so their unit does not matter.
    pub fn observe(
        &mut self,
        key: InstanceKey,
        pace: f64,
        class: TimeClass,
        time: f64,
        now: Duration,
    ) {
        if !(time.is_finite() && time > 0.0) {
            return;
        }
        let Some(expected) = self.expected.observe(class, time.ln(), pace.ln(), now) else {
            return;
        };
        let bound = FACTOR_MAX.ln();
        let log = (time.ln() - expected).clamp(-bound, bound);
        let own = &mut self.server(key, now).own;
        let mut sum = own.decayed(now);
        sum.observe(log, class.weight());
        *own = DatedSum { sum: sum.scaled((NODE_WEIGHT_MAX / sum.weight).min(1.0)), as_of: now };
    }

    /// Applies the observations that a peer shared; `peer` is the hash of its address.
    pub fn apply_shared(&mut self, peer: u64, shared: &SharedPaces, now: Duration) {
        self.expected.apply_shared(peer, &shared.expected, now);
        for shared in shared.sums.iter().take(SHARED_SUMS_MAX) {
            let peers = &mut self.server(shared.server, now).peers;
            let dated = DatedSum { sum: shared.to_sum(), as_of: now };
            match peers.binary_search_by_key(&peer, |(hash, _)| *hash) {
                Ok(index) => peers[index].1 = dated,
                Err(index) => peers.insert(index, (peer, dated)),
            }
        }
    }

    /// Returns this node's observations for its peers, [`SHARED_SUMS_MAX`] servers at most. The
    /// others have their turn the next time.
    pub fn take_shared(&mut self, now: Duration) -> SharedPaces {
        self.expected.prune(now);
        self.servers.retain_mut(|server| server.prune(now));
        let is_observed = |server: &&ObservedServer| server.own.decayed(now).weight >= WEIGHT_MIN;
        let own: Vec<&ObservedServer> = self.servers.iter().filter(is_observed).collect();
        let from = self.last_shared.map_or(0, |last| own.partition_point(|own| own.key <= last));
        let turn = own[from..].iter().chain(&own[..from]).take(SHARED_SUMS_MAX);
        let sums: Vec<SharedPaceSum> =
            turn.map(|own| SharedPaceSum::new(own.key, &own.own.decayed(now))).collect();
        self.last_shared = sums.last().map(|sum| sum.server);
        SharedPaces { sums, expected: self.expected.to_share() }
    }

    /// Returns the observations of all nodes for a server instance.
    pub fn sum(&self, key: InstanceKey, now: Duration) -> PaceSum {
        let index = self.servers.binary_search_by_key(&key, |server| server.key);
        index.map_or(PaceSum::default(), |index| self.servers[index].sum(now))
    }

    fn server(&mut self, key: InstanceKey, now: Duration) -> &mut ObservedServer {
        let index = self.servers.binary_search_by_key(&key, |server| server.key);
        let index = index.unwrap_or_else(|index| {
            self.servers.insert(index, ObservedServer::new(key, now));
            index
        });
        &mut self.servers[index]
    }
}
