//! A value that a server states in all its responses until it no longer does, as one node knows it.
//!
//! The value is in force until a response no longer states it. A node that does not send to the
//! server learns of both from the reports of its peers, each with the age of the response.

use std::time::Duration;

/// How long a value that a peer reported is in force after its last report.
const REPORTED_VALIDITY: Duration = Duration::from_secs(10);
/// How long a node reports that a value has ended, which covers lost reports.
const END_REPORT_TIME: Duration = Duration::from_secs(5);

/// What one response of a server said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The value; `None` if the response stated none.
    pub value: Option<f64>,
    /// Time at which a node received the response.
    pub heard_at: Duration,
}

/// A value that one server states.
#[derive(Debug, Clone, Default)]
pub struct StatedValue {
    newest: Option<Statement>,
    /// The time until which a value that a peer reported is in force; `None` if this node received
    /// the response itself.
    valid_until: Option<Duration>,
    /// The time until which this node reports that the value has ended.
    end_reported_until: Duration,
}

impl StatedValue {
    /// Applies a response that this node received. Returns whether the value in force changed.
    pub fn hear(&mut self, value: Option<f64>, now: Duration) -> bool {
        let before = self.in_force(now);
        self.valid_until = None;
        self.apply(Statement { value, heard_at: now }, before, now)
    }

    /// Applies what a peer reported of a response that it received. An older response than the
    /// newest known one is ignored. Returns whether the value in force changed.
    pub fn learn(&mut self, reported: Statement, now: Duration) -> bool {
        let newest = self.newest.filter(|newest| newest.heard_at >= reported.heard_at);
        let Some(newest) = newest else {
            let before = self.in_force(now);
            self.valid_until = Some(now + REPORTED_VALIDITY);
            return self.apply(reported, before, now);
        };
        // The same claim again may look a little older, as reports take different times.
        if reported.value == newest.value && self.valid_until.is_some() {
            self.valid_until = Some(now + REPORTED_VALIDITY);
        }
        // The peer has missed that the value ended.
        if newest.value.is_none() && reported.value.is_some() {
            self.end_reported_until = now + END_REPORT_TIME;
        }
        false
    }

    /// Replaces the newest statement; `before` is the value that was in force until now.
    fn apply(&mut self, statement: Statement, before: Option<f64>, now: Duration) -> bool {
        self.newest = Some(statement);
        if before.is_some() && statement.value.is_none() {
            self.end_reported_until = now + END_REPORT_TIME;
        }
        before != statement.value
    }

    /// Returns the value that is in force.
    pub fn in_force(&self, now: Duration) -> Option<f64> {
        let is_valid = self.valid_until.is_none_or(|until| now < until);
        self.newest.filter(|_| is_valid)?.value
    }

    /// Returns what this node reports to its peers: the newest response if this node received it
    /// and it stated a value, or if the value has just ended.
    pub fn report(&self, now: Duration) -> Option<Statement> {
        let is_own = self.valid_until.is_none();
        let ended = now < self.end_reported_until;
        self.newest.filter(|newest| match newest.value {
            Some(_) => is_own,
            None => ended,
        })
    }
}
