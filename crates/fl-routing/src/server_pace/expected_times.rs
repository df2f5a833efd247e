//! What times are expected to be at a server of mean pace.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Observations of a class, of all nodes, before its mean is used as the expected time.
const OBSERVATIONS_MIN: u32 = 4;
/// Number of observations over which a node averages the mean of a class.
const AVERAGED_OBSERVATIONS: u8 = 50;
/// Most classes that are kept; the one that was observed least makes room for a new one.
const CLASSES_MAX: usize = 16;
/// Time after which what a peer shared no longer counts. Longer than the longest interval at which
/// it is repeated.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Weight of the time to a first token. It depends on what was ahead, which is known late.
const FIRST_TOKEN_WEIGHT: f64 = 0.25;
const LOG_UNITS: f64 = 1000.0;

/// Times that are compared with each other. Each holds the hash of a service or route, whose
/// streams have a like number of tokens in each event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TimeClass {
    /// The time to a first token, for each token that was prefilled until then.
    FirstToken(u64),
    /// The time between the events of a stream.
    BetweenEvents(u64),
}

impl TimeClass {
    pub(super) fn weight(self) -> f64 {
        match self {
            TimeClass::FirstToken(_) => FIRST_TOKEN_WEIGHT,
            TimeClass::BetweenEvents(_) => 1.0,
        }
    }
}

/// The mean time of a class at a server of mean pace, as one node observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedExpectedTime {
    /// The class.
    pub class: TimeClass,
    /// The mean logarithm of the times, in thousandths.
    pub log_thousandths: i32,
    /// Number of observations.
    pub observations: u8,
}

#[derive(Debug, Clone, Copy)]
struct ObservedTime {
    class: TimeClass,
    log_mean: f64,
    observations: u8,
}

/// The mean logarithms of times at a server of mean pace, over all nodes.
///
/// A node that compared times with its own mean alone would take servers for mean if it sends calls
/// to slow ones only, such as those of its data centre.
#[derive(Debug, Clone, Default)]
pub(super) struct ExpectedTimes {
    /// Sorted by class.
    own: Vec<ObservedTime>,
    /// What peers shared, and when. Sorted by the hash of the peer's address.
    peers: Vec<(u64, Duration, Vec<SharedExpectedTime>)>,
}

impl ExpectedTimes {
    /// Adds a time to its class and returns the logarithm of the time that was expected, `None` as
    /// long as the class has too few observations. `log_pace` is the logarithm of the server's pace.
    pub(super) fn observe(
        &mut self,
        class: TimeClass,
        log_time: f64,
        log_pace: f64,
        now: Duration,
    ) -> Option<f64> {
        let expected = self.expected(class, now);
        let index = self.own.binary_search_by_key(&class, |own| own.class);
        let index = index.unwrap_or_else(|index| self.insert(index, class));
        let own = &mut self.own[index];
        own.observations = (own.observations + 1).min(AVERAGED_OBSERVATIONS);
        own.log_mean += (log_time + log_pace - own.log_mean) / f64::from(own.observations);
        expected
    }

    /// Replaces what a peer shared before.
    pub(super) fn apply_shared(&mut self, peer: u64, shared: &[SharedExpectedTime], now: Duration) {
        let shared = shared.iter().take(CLASSES_MAX).copied().collect();
        match self.peers.binary_search_by_key(&peer, |(hash, ..)| *hash) {
            Ok(index) => self.peers[index] = (peer, now, shared),
            Err(index) => self.peers.insert(index, (peer, now, shared)),
        }
    }

    /// Returns this node's observations for its peers.
    pub(super) fn to_share(&self) -> Vec<SharedExpectedTime> {
        let shared = self.own.iter().map(|own| SharedExpectedTime {
            class: own.class,
            log_thousandths: (own.log_mean * LOG_UNITS).round() as i32,
            observations: own.observations,
        });
        shared.collect()
    }

    /// Drops what peers shared long ago.
    pub(super) fn prune(&mut self, now: Duration) {
        self.peers.retain(|(_, at, _)| now.saturating_sub(*at) < PEER_RETENTION);
    }

    fn expected(&self, class: TimeClass, now: Duration) -> Option<f64> {
        let own = self.own.iter().filter(|own| own.class == class);
        let own = own.map(|own| (own.log_mean, own.observations));
        let is_current = |at: Duration| now.saturating_sub(at) < PEER_RETENTION;
        let peers = self.peers.iter().filter(|(_, at, _)| is_current(*at));
        let shared = peers.flat_map(|(.., shared)| shared).filter(|shared| shared.class == class);
        let peers = shared.map(|shared| {
            let observations = shared.observations.min(AVERAGED_OBSERVATIONS);
            (f64::from(shared.log_thousandths) / LOG_UNITS, observations)
        });
        let (mut log_sum, mut observations) = (0.0, 0);
        for (log_mean, count) in own.chain(peers) {
            log_sum += log_mean * f64::from(count);
            observations += u32::from(count);
        }
        (observations >= OBSERVATIONS_MIN).then(|| log_sum / f64::from(observations))
    }

    fn insert(&mut self, index: usize, class: TimeClass) -> usize {
        let mut index = index;
        if self.own.len() >= CLASSES_MAX {
            let least = self.own.iter().enumerate().min_by_key(|(_, own)| own.observations);
            let least = least.map_or(0, |(least, _)| least);
            self.own.remove(least);
            index -= usize::from(least < index);
        }
        self.own.insert(index, ObservedTime { class, log_mean: 0.0, observations: 0 });
        index
    }
}
