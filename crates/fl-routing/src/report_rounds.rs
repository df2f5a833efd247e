//! Decides when a node sends its report to which peer.
//!
//! The peers are sent reports in turn, a few at each step. Sent to all at once, the reports of a
//! large fleet overrun a slow link, and those to the last peers are lost each time. See
//! `docs/design/100-on-the-platform.md`.

use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two steps.
const STEP: Duration = Duration::from_millis(60);
/// Pause between two steps while a report is urgent.
const URGENT_STEP: Duration = Duration::from_millis(10);
/// Peers that are sent a report in one step. With the pauses, it bounds the reports that a node
/// sends per second however large the fleet is.
const PEERS_PER_STEP: usize = 5;

/// The rounds in which all peers are sent reports.
#[derive(Debug, Clone, Default)]
pub struct ReportRounds {
    /// The peer that was sent a report last, `None` at the beginning of a round.
    last: Option<SocketAddr>,
    /// Number of peers that are still to be sent an urgent report.
    urgent_left: usize,
}

impl ReportRounds {
    /// Returns whether the next step begins a round.
    pub fn begins_round(&self) -> bool {
        self.last.is_none()
    }

    /// Lets each peer be sent a report as soon as possible.
    pub fn hurry(&mut self, peers: usize) {
        self.urgent_left = peers;
    }

    /// Returns the peers that are sent a report now, of a list that is sorted. The list may change
    /// between two steps.
    pub fn next_receivers(&mut self, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let from = self.last.map_or(0, |last| peers.partition_point(|peer| *peer <= last));
        let to = (from + PEERS_PER_STEP).min(peers.len());
        let receivers = peers[from..to].to_vec();
        let ends_round = to == peers.len();
        self.last = receivers.last().copied().filter(|_| !ends_round);
        self.urgent_left = self.urgent_left.saturating_sub(PEERS_PER_STEP);
        receivers
    }

    /// Returns the pause until the next step, and the shorter one if a report becomes urgent.
    pub fn pauses(&self) -> (Duration, Duration) {
        let pause = if self.urgent_left > 0 { URGENT_STEP } else { STEP };
        (pause, URGENT_STEP)
    }

    /// Returns the longest time between two reports to the same peer.
    pub fn interval(peers: usize) -> Duration {
        let steps = peers.div_ceil(PEERS_PER_STEP).max(1);
        STEP * steps as u32
    }
}
