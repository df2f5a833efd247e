//! The observations that nodes share.

use super::expected_times::SharedExpectedTime;
use super::{FACTOR_MAX, InstanceKey, NODE_WEIGHT_MAX, PaceSum};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most sums in one datagram: 80 sums of 14 bytes fit into one packet of an Ethernet network, with the
/// expected times.
pub const SHARED_SUMS_MAX: usize = 80;
/// Bytes of shared sums that a node receives each second at most, from all peers together.
const RECEIVED_BYTES_PER_S: f64 = 16_000.0;
/// Shortest interval of datagrams to one peer.
const INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Longest interval, so that sums are repeated before they have lost much of their weight.
const INTERVAL_MAX: Duration = Duration::from_secs(20);
const WEIGHT_UNITS: f64 = 100.0;
const LOG_UNITS: f64 = 1000.0;

/// What a node shares of its observations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedPaces {
    /// Its observations of servers.
    pub sums: Vec<SharedPaceSum>,
    /// The times that it expects at a server of mean pace.
    pub expected: Vec<SharedExpectedTime>,
}

/// One node's observations of a server in a compact form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedPaceSum {
    /// The server instance.
    pub server: InstanceKey,
    /// Sum of the weights, in hundredths.
    pub weight_hundredths: u16,
    /// Mean logarithm of observed over expected times, in thousandths.
    pub mean_thousandths: i16,
    /// Variance of the logarithms, in thousandths.
    pub variance_thousandths: u16,
}

impl SharedPaceSum {
    /// Encodes the observations of a server.
    pub fn new(server: InstanceKey, sum: &PaceSum) -> Self {
        let variance = sum.squared_deviations() / sum.weight.max(f64::MIN_POSITIVE);
        SharedPaceSum {
            server,
            weight_hundredths: (sum.weight * WEIGHT_UNITS).round() as u16,
            mean_thousandths: (sum.mean() * LOG_UNITS).round() as i16,
            variance_thousandths: (variance * LOG_UNITS).round() as u16,
        }
    }

    /// Decodes the observations, within the bounds of one node's observations.
    pub fn to_sum(self) -> PaceSum {
        let bound = FACTOR_MAX.ln();
        let weight = (f64::from(self.weight_hundredths) / WEIGHT_UNITS).min(NODE_WEIGHT_MAX);
        let mean = (f64::from(self.mean_thousandths) / LOG_UNITS).clamp(-bound, bound);
        let variance = (f64::from(self.variance_thousandths) / LOG_UNITS).min(bound * bound);
        PaceSum { weight, log_sum: weight * mean, square_sum: weight * (variance + mean * mean) }
    }
}

/// Returns the interval at which each of `peers` is sent a datagram of `bytes`, so that the bytes
/// that a node receives each second are bounded however many nodes and servers there are.
pub fn share_interval(peers: usize, bytes: usize) -> Duration {
    let interval = peers as f64 * bytes as f64 / RECEIVED_BYTES_PER_S;
    Duration::from_secs_f64(interval).clamp(INTERVAL_MIN, INTERVAL_MAX)
}
