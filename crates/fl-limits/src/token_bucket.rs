//! Token buckets for the rate limits of workspaces.

use fl_protocol::UnixMs;
use std::time::Duration;

/// Capacity of a bucket, in seconds of its rate.
const BURST_S: f64 = 2.0;
const MS_PER_S: f64 = 1_000.0;

/// A token bucket whose level may become negative, since usage is also charged after the fact.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    as_of_ms: UnixMs,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, now_ms: UnixMs) -> Self {
        TokenBucket { rate_per_s, level: rate_per_s * BURST_S, as_of_ms: now_ms }
    }

    /// Creates a bucket whose rate is not known yet. The first call of [`Self::set_rate`] fills it.
    pub fn with_unknown_rate(now_ms: UnixMs) -> Self {
        TokenBucket { rate_per_s: 0.0, level: f64::INFINITY, as_of_ms: now_ms }
    }

    /// Sets the rate, which changes as nodes join and leave and with the configuration.
    pub fn set_rate(&mut self, rate_per_s: f64, now_ms: UnixMs) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(self.capacity());
    }

    /// Takes `amount` tokens if the bucket holds them. Otherwise returns the time until it does.
    ///
    /// An amount above the capacity is granted by a full bucket, whose level then becomes negative.
    /// A long prompt could otherwise never pass.
    pub fn try_take(&mut self, amount: f64, now_ms: UnixMs) -> Result<(), Duration> {
        self.refill(now_ms);
        let needed = amount.min(self.capacity());
        if self.level >= needed {
            self.level -= amount;
            return Ok(());
        }
        let wait_ms = (needed - self.level) * MS_PER_S / self.rate_per_s.max(f64::MIN_POSITIVE);
        Err(Duration::from_millis(wait_ms.ceil() as u64))
    }

    /// Charges tokens that were used by calls admitted before.
    pub fn charge(&mut self, amount: f64, now_ms: UnixMs) {
        self.refill(now_ms);
        self.level -= amount;
    }

    fn capacity(&self) -> f64 {
        (self.rate_per_s * BURST_S).max(1.0)
    }

    fn refill(&mut self, now_ms: UnixMs) {
        let elapsed_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        self.as_of_ms = self.as_of_ms.max(now_ms);
        if self.rate_per_s > 0.0 {
            let refilled = self.level + self.rate_per_s * elapsed_ms / MS_PER_S;
            self.level = refilled.min(self.capacity());
        }
    }
}
