//! The byte budget of a node's control traffic.
//!
//! Heartbeats and news of members are always sent; payloads and parts of the table wait until the
//! budget allows them, so that the traffic of a node does not grow with the fleet.

use std::time::Duration;

/// Bytes of the IP and UDP headers of one datagram.
pub const IP_UDP_HEADER_BYTES: usize = 28;
/// Bytes a node may send a second for membership; half of what leaves room for receiving as much
/// within 4 KB a second.
pub const SEND_BUDGET_BYTES_PER_S: u64 = 1500;
/// The span of unused budget that is kept for a burst.
const BURST: Duration = Duration::from_secs(2);

/// A token bucket in bytes.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    rate_bytes_per_s: u64,
    available_bytes: i64,
    refilled_at: Duration,
}

impl ByteBudget {
    /// Makes a full bucket.
    pub fn new(rate_bytes_per_s: u64, now: Duration) -> Self {
        let available_bytes = burst_bytes(rate_bytes_per_s);
        ByteBudget { rate_bytes_per_s, available_bytes, refilled_at: now }
    }

    /// Adds what the time since the last refill earned.
    pub fn refill(&mut self, now: Duration) {
        let elapsed_ms = now.saturating_sub(self.refilled_at).as_millis() as u64;
        let earned_bytes = self.rate_bytes_per_s * elapsed_ms / 1000;
        if earned_bytes == 0 {
            return;
        }
        self.refilled_at = now;
        let limit_bytes = burst_bytes(self.rate_bytes_per_s);
        self.available_bytes = (self.available_bytes + earned_bytes as i64).min(limit_bytes);
    }

    /// Takes out what a datagram cost.
    ///
    /// The debt is bounded: news of many members at once, as after a mass start, must not keep
    /// payloads back for longer than the burst takes to be earned.
    pub fn spend(&mut self, datagram_bytes: usize) {
        let cost_bytes = (datagram_bytes + IP_UDP_HEADER_BYTES) as i64;
        let most_debt_bytes = -burst_bytes(self.rate_bytes_per_s);
        self.available_bytes = (self.available_bytes - cost_bytes).max(most_debt_bytes);
    }

    /// What may still be sent.
    pub fn available_bytes(&self) -> usize {
        self.available_bytes.max(0) as usize
    }
}

fn burst_bytes(rate_bytes_per_s: u64) -> i64 {
    (rate_bytes_per_s * BURST.as_secs()) as i64
}
