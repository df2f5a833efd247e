//! A retry budget over a sliding window: a fraction of the first attempts plus a fixed reserve.
//!
//! Each node keeps to the fraction of its own first attempts and to its part of the reserve. All
//! nodes together therefore keep to the total budget without coordination.

use std::time::Duration;

/// Number of buckets into which a window is divided. A bucket leaves the window as a whole.
const BUCKETS_PER_WINDOW: u32 = 10;
/// Share of the permitted retries that is used, since the clocks and the arrivals of nodes differ.
const USED_SHARE: f64 = 0.8;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    first_attempts: u32,
    retries: u32,
}

/// The retry budget of one service on one node.
#[derive(Debug, Clone)]
pub struct SlidingRetryBudget {
    ratio: f64,
    reserve: f64,
    bucket_ms: u64,
    buckets: Vec<Bucket>,
}

impl SlidingRetryBudget {
    /// Creates a budget that allows, in each `window`, `ratio` retries per first attempt and
    /// `reserve` retries in addition.
    pub fn new(ratio: f64, reserve: f64, window: Duration) -> Self {
        let bucket_ms = (window.as_millis() as u64 / u64::from(BUCKETS_PER_WINDOW)).max(1);
        SlidingRetryBudget { ratio, reserve, bucket_ms, buckets: Vec::new() }
    }

    /// Sets this node's part of the reserve, which changes as nodes join and leave.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Counts a first attempt.
    pub fn count_first_attempt(&mut self, now: Duration) {
        self.current_bucket(now).first_attempts += 1;
    }

    /// Takes one retry from the budget. Returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        let allowed = self.remaining(now) >= 1.0;
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Returns the number of retries that are left in the current window. It may be negative.
    pub fn remaining(&mut self, now: Duration) -> f64 {
        self.current_bucket(now);
        let first_attempts: u32 = self.buckets.iter().map(|bucket| bucket.first_attempts).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        (f64::from(first_attempts) * self.ratio + self.reserve) * USED_SHARE - f64::from(retries)
    }

    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let index = now.as_millis() as u64 / self.bucket_ms;
        // One bucket more than the window has, so that every span of a window's length is covered.
        let oldest = index.saturating_sub(u64::from(BUCKETS_PER_WINDOW));
        self.buckets.retain(|bucket| bucket.index >= oldest);
        if self.buckets.last().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push(Bucket { index, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
