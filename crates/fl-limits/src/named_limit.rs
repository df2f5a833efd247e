//! The rate limit that a backend server names for all nodes together, as one node keeps to it.
//!
//! A few nodes share the limit: each may send at its part of the rate, and none saves up more than
//! one call. The number of sharing nodes grows with the limit, so that their single calls at one
//! moment stay small beside it. All other nodes send nothing. The nodes agree by rendezvous hashing
//! on who shares; see `docs/design/100-on-the-platform.md`.
//!
//! A limit is in force until a response of the server no longer names it. A node that does not send
//! to the server learns of both from the reports of its peers, each with the age of the response.

use std::time::Duration;

/// Nodes that share a limit, for each call per second of it.
const SHARING_NODES_PER_CALL_PER_S: f64 = 1.5;
/// Nodes that share the smallest limit.
const SHARING_NODES_MIN: f64 = 3.0;
/// Rate that is used although a server names a lower limit. A node would otherwise never get the
/// response that ends the limit.
const RATE_MIN_PER_S: f64 = 0.1;
/// How long a limit that a peer reported is in force after its last report.
const REPORTED_LIMIT_VALIDITY: Duration = Duration::from_secs(10);
/// How long a node reports that a limit has ended, which covers lost reports.
const END_REPORT_TIME: Duration = Duration::from_secs(5);

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
    newest: Option<LimitStatement>,
    /// The time until which a limit that a peer reported is in force; `None` if this node received
    /// the response itself.
    valid_until: Option<Duration>,
    /// The time until which this node reports that the limit has ended.
    end_reported_until: Duration,
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
        let before = self.in_force(now);
        self.valid_until = None;
        self.apply(LimitStatement { limit_per_s, heard_at: now }, before, now)
    }

    /// Applies what a peer reported of a response that it received. An older response than the
    /// newest known one is ignored. Returns whether the limit in force changed.
    pub fn learn(&mut self, reported: LimitStatement, now: Duration) -> bool {
        let newest = self.newest.filter(|newest| newest.heard_at >= reported.heard_at);
        let Some(newest) = newest else {
            let before = self.in_force(now);
            self.valid_until = Some(now + REPORTED_LIMIT_VALIDITY);
            return self.apply(reported, before, now);
        };
        // The same claim again may look a little older, as reports take different times.
        if reported.limit_per_s == newest.limit_per_s && self.valid_until.is_some() {
            self.valid_until = Some(now + REPORTED_LIMIT_VALIDITY);
        }
        // The peer has missed that the limit ended.
        if newest.limit_per_s.is_none() && reported.limit_per_s.is_some() {
            self.end_reported_until = now + END_REPORT_TIME;
        }
        false
    }

    /// Replaces the newest statement; `before` is the limit that was in force until now.
    fn apply(&mut self, statement: LimitStatement, before: Option<f64>, now: Duration) -> bool {
        self.newest = Some(statement);
        if before.is_none() {
            self.level = 0.0;
            self.as_of = now;
        }
        if before.is_some() && statement.limit_per_s.is_none() {
            self.end_reported_until = now + END_REPORT_TIME;
        }
        before != statement.limit_per_s
    }

    /// Returns the limit that is in force, in calls per second.
    pub fn in_force(&self, now: Duration) -> Option<f64> {
        let is_valid = self.valid_until.is_none_or(|until| now < until);
        self.newest.filter(|_| is_valid)?.limit_per_s
    }

    /// Returns what this node reports to its peers: the newest response if this node received it
    /// and it named a limit, or if the limit has just ended.
    pub fn report(&self, now: Duration) -> Option<LimitStatement> {
        let is_own = self.valid_until.is_none();
        let ended = now < self.end_reported_until;
        self.newest.filter(|newest| match newest.limit_per_s {
            Some(_) => is_own,
            None => ended,
        })
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
