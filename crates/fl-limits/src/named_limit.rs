//! The rate limit that a backend server names for all nodes together, as one node keeps to it.
//!
//! A few nodes share the limit: each may send at its part of the rate, and none saves up more than
//! one call. The number of sharing nodes grows with the limit, so that their single calls at one
//! moment stay small beside it. All other nodes send nothing. The nodes agree by rendezvous hashing
//! on who shares; see `docs/design/100-on-the-platform.md`.
//!
//! A limit is in force until a response of the server no longer names it. A node that does not send
//! to the server learns of both from the reports of its peers, each with the age of the response.

use crate::stated_value::{StatedValue, Statement};
use std::time::Duration;

/// Nodes that share a limit, for each call per second of it.
const SHARING_NODES_PER_CALL_PER_S: f64 = 1.5;
/// Nodes that share the smallest limit.
const SHARING_NODES_MIN: f64 = 3.0;
/// Rate that is used although a server names a lower limit. A node would otherwise never get the
/// response that ends the limit.
const RATE_MIN_PER_S: f64 = 0.1;
/// What one response of a server said about its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// Calls per second from all nodes together; `None` if the response named no limit.
    pub limit_per_s: Option<f64>,
    /// Time at which a node received the response.
    pub heard_at: Duration,
}

/// The limit of one server, as one node knows it, and the node's part of it.
#[derive(Debug, Clone, Default)]
pub struct NamedLimit {
    stated: StatedValue,
    /// Calls that this node may send now, at most 1.
    level: f64,
    as_of: Duration,
}

/// Returns how many of the nodes share a limit; at least 1.
pub fn sharing_nodes(limit_per_s: f64, nodes: usize) -> usize {
    let sharing = SHARING_NODES_MIN + limit_per_s * SHARING_NODES_PER_CALL_PER_S;
    (sharing as usize).clamp(1, nodes.max(1))
}

impl NamedLimit {
    /// Applies a response that this node received. Returns whether the limit in force changed.
    pub fn hear(&mut self, limit_per_s: Option<f64>, now: Duration) -> bool {
        self.empty_unless_in_force(now);
        self.stated.hear(limit_per_s, now)
    }

    /// Applies what a peer reported of a response that it received. An older response than the
    /// newest known one is ignored. Returns whether the limit in force changed.
    pub fn learn(&mut self, reported: LimitStatement, now: Duration) -> bool {
        self.empty_unless_in_force(now);
        let LimitStatement { limit_per_s, heard_at } = reported;
        self.stated.learn(Statement { value: limit_per_s, heard_at }, now)
    }

    /// Takes away what this node may send, so that a limit begins without.
    fn empty_unless_in_force(&mut self, now: Duration) {
        if self.in_force(now).is_none() {
            self.level = 0.0;
            self.as_of = now;
        }
    }

    /// Returns the limit that is in force, in calls per second.
    pub fn in_force(&self, now: Duration) -> Option<f64> {
        self.stated.in_force(now)
    }

    /// Returns what this node reports to its peers: the newest response if this node received it
    /// and it named a limit, or if the limit has just ended.
    pub fn report(&self, now: Duration) -> Option<LimitStatement> {
        let Statement { value, heard_at } = self.stated.report(now)?;
        Some(LimitStatement { limit_per_s: value, heard_at })
    }

    /// Returns whether a call may be sent now. `sharing` is the number of nodes that share the
    /// limit, `None` if this node is not one of them.
    pub fn may_send(&self, sharing: Option<usize>, now: Duration) -> bool {
        match self.in_force(now) {
            None => true,
            Some(limit_per_s) => {
                sharing.is_some_and(|sharing| self.level_at(limit_per_s, sharing, now) >= 1.0)
            }
        }
    }

    /// Counts a call that is sent now.
    pub fn count_call(&mut self, sharing: usize, now: Duration) {
        if let Some(limit_per_s) = self.in_force(now) {
            self.level = self.level_at(limit_per_s, sharing, now) - 1.0;
            self.as_of = now;
        }
    }

    fn level_at(&self, limit_per_s: f64, sharing: usize, now: Duration) -> f64 {
        let rate_per_s = limit_per_s.max(RATE_MIN_PER_S) / sharing.max(1) as f64;
        let elapsed_s = now.saturating_sub(self.as_of).as_secs_f64();
        (self.level + rate_per_s * elapsed_s).min(1.0)
    }
}
