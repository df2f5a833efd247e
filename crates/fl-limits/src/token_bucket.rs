//! Token buckets for the limits of workspaces.

use fl_protocol::UnixMs;
use std::time::Duration;

/// Seconds of its rate that a bucket holds at most.
const BURST_S: f64 = 2.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// A bucket that refills at a rate and may go into debt for what is charged afterwards.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    as_of_ms: UnixMs,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn new(rate_per_s: f64, now_ms: UnixMs) -> Self {
        TokenBucket { rate_per_s, level: rate_per_s * BURST_S, as_of_ms: now_ms }
    }

    /// Makes a bucket whose rate is not known yet; the first rate fills it.
    pub fn with_unknown_rate(now_ms: UnixMs) -> Self {
        TokenBucket { rate_per_s: 0.0, level: f64::INFINITY, as_of_ms: now_ms }
    }

    /// Changes the rate, as nodes come and go or the configuration changes.
    pub fn set_rate(&mut self, rate_per_s: f64, now_ms: UnixMs) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(self.capacity());
    }

    /// Takes `amount` if the bucket is not in debt; otherwise says when it will be out of it.
    ///
    /// An amount above the capacity is let through from a bucket without debt and paid off after,
    /// since a long prompt could otherwise never pass.
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

    /// Charges what was used after it was let through.
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
