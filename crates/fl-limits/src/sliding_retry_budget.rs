//! A budget of repeats over a sliding window: a share of the first tries and a fixed reserve.
//!
//! Each node keeps to the share of its own first tries and to its part of the reserve, so that all
//! nodes together keep to the whole without asking each other.

use std::time::Duration;

/// Parts into which a window is divided; a part leaves the count as a whole.
const WINDOW_PARTS: u32 = 10;
/// The share of what is promised that is used, since clocks and arrivals of nodes differ.
const USED_SHARE: f64 = 0.8;

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    index: u64,
    firsts: u32,
    repeats: u32,
}

/// The repeats of one service at one node.
#[derive(Debug, Clone)]
pub struct SlidingRetryBudget {
    ratio: f64,
    reserve: f64,
    part_ms: u64,
    parts: Vec<Part>,
}

impl SlidingRetryBudget {
    /// Allows `ratio` repeats for each first try and `reserve` besides, in each `window`.
    pub fn new(ratio: f64, reserve: f64, window: Duration) -> Self {
        let part_ms = (window.as_millis() as u64 / u64::from(WINDOW_PARTS)).max(1);
        SlidingRetryBudget { ratio, reserve, part_ms, parts: Vec::new() }
    }

    /// Changes this node's part of the reserve, as nodes come and go.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Counts a first try.
    pub fn count_first_attempt(&mut self, now: Duration) {
        self.current(now).firsts += 1;
    }

    /// Takes one repeat; false when the budget is spent.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        let allowed = self.remaining(now) >= 1.0;
        if allowed {
            self.current(now).repeats += 1;
        }
        allowed
    }

    /// Repeats that are left.
    pub fn remaining(&mut self, now: Duration) -> f64 {
        self.current(now);
        let firsts: u32 = self.parts.iter().map(|part| part.firsts).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        (f64::from(firsts) * self.ratio + self.reserve) * USED_SHARE - f64::from(repeats)
    }

    fn current(&mut self, now: Duration) -> &mut Part {
        let index = now.as_millis() as u64 / self.part_ms;
        // One part more than the window has, so that every span of a window's length is covered.
        let oldest = index.saturating_sub(u64::from(WINDOW_PARTS));
        self.parts.retain(|part| part.index >= oldest);
        if self.parts.last().is_none_or(|part| part.index < index) {
            self.parts.push(Part { index, ..Part::default() });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
