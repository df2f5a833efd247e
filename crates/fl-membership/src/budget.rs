//! Byte budget of a node's membership traffic.
//!
//! Heartbeats and member updates are always sent; piggybacked payloads and parts of the member
//! table wait until the budget allows them, so that the traffic of a node does not grow with the
//! fleet.

use std::time::Duration;

/// Length of the IP and UDP headers of a datagram, in bytes.
pub const IP_UDP_HEADER_BYTES: usize = 28;
/// Membership traffic that a node may send, in bytes per second; sent and received together stay
/// within 4 KB per second.
pub const SEND_BUDGET_BYTES_PER_S: u64 = 1500;
/// Time for which unused budget is kept for a burst.
const BURST: Duration = Duration::from_secs(2);

/// A token bucket in bytes, which may go into debt.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    rate_bytes_per_s: u64,
    available_bytes: i64,
    refilled_at: Duration,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(rate_bytes_per_s: u64, now: Duration) -> Self {
        let available_bytes = burst_bytes(rate_bytes_per_s);
        ByteBudget { rate_bytes_per_s, available_bytes, refilled_at: now }
    }

    /// Adds the bytes earned since the last refill, up to the burst limit.
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

    /// Removes the cost of a datagram, headers included.
    ///
    /// The debt is bounded: updates of many members at once, as after a mass start, must not delay
    /// payloads for longer than it takes to earn a burst.
    pub fn spend(&mut self, datagram_bytes: usize) {
        let cost_bytes = (datagram_bytes + IP_UDP_HEADER_BYTES) as i64;
        let debt_limit_bytes = -burst_bytes(self.rate_bytes_per_s);
        self.available_bytes = (self.available_bytes - cost_bytes).max(debt_limit_bytes);
    }

    /// Returns the number of bytes that may be sent now.
    pub fn available_bytes(&self) -> usize {
        self.available_bytes.max(0) as usize
    }
}

fn burst_bytes(rate_bytes_per_s: u64) -> i64 {
    (rate_bytes_per_s * BURST.as_secs()) as i64
}
