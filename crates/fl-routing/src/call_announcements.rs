//! Decides which calls a node announces to its peers as soon as it has placed them, and bounds all
//! that is announced.
//!
//! A call is announced if its prompt keeps a server busy for a noticeable part of the time in which
//! the most urgent calls need their first token. The announcements that a node receives each second
//! are bounded, whatever the size of the fleet.

use std::time::Duration;

/// Prefill time of a call that is announced, as a divisor of the shortest target of a first token.
const TARGET_DIVISOR: u32 = 8;
/// Announced calls per second that a node receives at most from all peers.
const CALLS_PER_S_MAX: f64 = 200.0;
/// Announced slowdowns of servers per second that a node receives at most from all peers.
const SLOWDOWNS_PER_S_MAX: f64 = 100.0;
/// Announcements that a node may save up.
const BURST: f64 = 4.0;

/// The announcements that a node may still send.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncementBudget {
    received_per_s_max: f64,
    available: f64,
    refilled_at: Duration,
}

impl Default for AnnouncementBudget {
    fn default() -> Self {
        AnnouncementBudget::for_calls()
    }
}

impl AnnouncementBudget {
    /// Creates the budget of announced calls.
    pub fn for_calls() -> Self {
        AnnouncementBudget::new(CALLS_PER_S_MAX)
    }

    /// Creates the budget of announced slowdowns of servers.
    pub fn for_slowdowns() -> Self {
        AnnouncementBudget::new(SLOWDOWNS_PER_S_MAX)
    }

    fn new(received_per_s_max: f64) -> Self {
        AnnouncementBudget { received_per_s_max, available: BURST, refilled_at: Duration::ZERO }
    }

    /// Takes one announcement from this node's part of the budget, among `nodes` nodes. Returns
    /// whether there was one.
    pub fn try_take(&mut self, now: Duration, nodes: usize) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let refilled = elapsed * self.received_per_s_max / nodes.max(1) as f64;
        self.available = (self.available + refilled).min(BURST);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Returns whether a call keeps a server busy for so long that the peers should know of it at once.
/// `shortest_target` is the shortest declared target of a first token.
pub fn is_worth_announcing(prefill: Duration, shortest_target: Duration) -> bool {
    prefill >= shortest_target / TARGET_DIVISOR
}
