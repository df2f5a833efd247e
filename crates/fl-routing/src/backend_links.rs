//! Judges whether a node reaches any backend server, by what it opens, sends and receives.
//!
//! A node that is partitioned from all servers sees what it would see if all of them had ended:
//! connections break, hang, or cannot be opened. One failure says nothing, so a suspicion is
//! followed by probes of several servers. See `docs/design/110-lost-links.md`.

use std::net::SocketAddr;
use std::time::Duration;

/// Distinct servers that could not be reached in a row until the links are suspected.
const FAILED_SERVERS_MIN: usize = 2;
/// How long nothing may arrive from any server, while a call waits, until the links are suspected.
const SILENCE_MAX: Duration = Duration::from_millis(500);
/// Least time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A change of the links to the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// No server was reached any more.
    Lost {
        /// Distinct servers that could not be reached since one was.
        failed_servers: usize,
    },
    /// A server was reached again.
    Regained {
        /// How long none was reached.
        lost_for: Duration,
    },
}

/// What a node knows of its links to the backend servers. Times are those of a clock that never
/// goes back.
#[derive(Debug, Clone, Default)]
pub struct BackendLinks {
    /// Servers that could not be reached since one was, sorted.
    failed: Vec<SocketAddr>,
    /// When the first call was sent since something last arrived from any server.
    waiting_since: Option<Duration>,
    probed_at: Option<Duration>,
    lost_at: Option<Duration>,
}

impl BackendLinks {
    /// Records that a connection to a server was opened.
    pub fn record_connected(&mut self, now: Duration) -> Option<LinkChange> {
        self.failed.clear();
        self.waiting_since = None;
        let lost_at = self.lost_at.take()?;
        Some(LinkChange::Regained { lost_for: now.saturating_sub(lost_at) })
    }

    /// Records that a connection to a server could not be opened.
    pub fn record_connect_failure(&mut self, server: SocketAddr) {
        if let Err(index) = self.failed.binary_search(&server) {
            self.failed.insert(index, server);
        }
    }

    /// Records that a call was sent to a server.
    pub fn record_sent(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that something arrived from a server.
    pub fn record_received(&mut self) {
        self.waiting_since = None;
    }

    /// Returns whether servers are to be probed now, and counts the probes as begun: the links are
    /// suspected or lost.
    pub fn begin_probes(&mut self, now: Duration) -> bool {
        let was_probed = self.probed_at.is_some_and(|at| now.saturating_sub(at) < PROBE_INTERVAL);
        let begins = !was_probed && (self.is_lost() || self.is_suspected(now));
        if begins {
            self.probed_at = Some(now);
        }
        begins
    }

    /// Records that a round of probes reached no server. A server that was reached is recorded by
    /// [`Self::record_connected`].
    pub fn record_unanswered_probes(&mut self, now: Duration) -> Option<LinkChange> {
        if self.is_lost() {
            return None;
        }
        self.lost_at = Some(now);
        Some(LinkChange::Lost { failed_servers: self.failed.len() })
    }

    /// Returns whether no server is reached.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns whether a call has waited for long and nothing arrived from any server meanwhile.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.waiting_since.is_some_and(|since| now.saturating_sub(since) >= SILENCE_MAX)
    }

    fn is_suspected(&self, now: Duration) -> bool {
        self.is_silent(now) || self.failed.len() >= FAILED_SERVERS_MIN
    }
}
