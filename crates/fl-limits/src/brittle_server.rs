//! Keeps calls off a server that falls over if it has to turn many away for want of room.
//!
//! The slots of such a server are divided among a few nodes, its owners, which count the calls in
//! them exactly. Any other node sends its calls through an owner. A call that was turned away all
//! the same closes the server for all nodes for a moment. See
//! `docs/design/115-brittle-servers.md`.

use crate::stated_value::{StatedValue, Statement};
use std::time::Duration;

/// How long a server is closed after it turned a call away. Rejections count by the second.
const CLOSED_TIME: Duration = Duration::from_millis(1000);
/// Slots that an owner has at least, if there are so many: calls of many nodes then share them.
const OWNER_SLOTS_MIN: u32 = 4;

/// The use of a node's part of a server's slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotUse {
    /// Calls in flight that this node has sent, its own and those of other nodes.
    pub in_flight: u32,
    /// Slots that belong to this node.
    pub own_slots: u32,
}

/// What one server says of how brittle it is, and when it last turned a call away.
#[derive(Debug, Clone, Default)]
pub struct BrittleServer {
    /// Calls per second that it may turn away until it falls over.
    pub rejections_per_s: StatedValue,
    closed_until: Duration,
}

impl BrittleServer {
    /// Applies a response that this node received. Returns whether peers have to know at once: the
    /// server has become brittle or no longer is, or it is closed from now on.
    pub fn hear(&mut self, stated: Option<f64>, turned_away: bool, now: Duration) -> bool {
        let has_changed = self.rejections_per_s.hear(stated, now);
        let closes = turned_away && stated.is_some();
        if closes {
            self.closed_until = now + CLOSED_TIME;
        }
        has_changed || closes
    }

    /// Applies what a peer reported: its newest response, and for how long the server is closed.
    pub fn learn(&mut self, statement: Statement, closed_for: Duration, now: Duration) {
        self.rejections_per_s.learn(statement, now);
        self.closed_until = self.closed_until.max(now + closed_for.min(CLOSED_TIME));
    }

    /// Returns for how long the server is still closed.
    pub fn closed_for(&self, now: Duration) -> Duration {
        self.closed_until.saturating_sub(now)
    }

    /// Returns whether the server says that it is brittle.
    pub fn is_brittle(&self, now: Duration) -> bool {
        self.rejections_per_s.in_force(now).is_some()
    }

    /// Returns whether this node may send a call into one of its slots now.
    pub fn has_room(&self, slots: SlotUse, now: Duration) -> bool {
        now >= self.closed_until && slots.in_flight < slots.own_slots
    }
}

/// Returns the number of nodes among which the slots of a brittle server are divided; at least 1.
pub fn owner_count(slots: u32, nodes: usize) -> usize {
    ((slots / OWNER_SLOTS_MIN) as usize).clamp(1, nodes.max(1))
}
