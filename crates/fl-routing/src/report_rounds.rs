//! Decides when a node sends its report to which peer.

use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two steps.
const STEP: Duration = Duration::from_millis(60);
/// Pause between two steps while a report is urgent.
const URGENT_STEP: Duration = Duration::from_millis(10);
/// Pause for each peer, so that the reports sent per second stay bounded in a large fleet.
const PAUSE_PER_PEER: Duration = Duration::from_millis(12);
/// Pause for each peer while a report is urgent.
const URGENT_PAUSE_PER_PEER: Duration = Duration::from_millis(2);

/// The rounds in which all peers are sent reports.
#[derive(Debug, Clone, Default)]
pub struct ReportRounds {
    urgent_reports: u64,
}

impl ReportRounds {
    /// Returns whether the next step begins a round.
    pub fn begins_round(&self) -> bool {
        true
    }

    /// Lets each peer be sent a report as soon as possible.
    pub fn hurry(&mut self, _peers: usize) {
        self.urgent_reports += 1;
    }

    /// Returns the peers that are sent a report now, of a list that is sorted.
    pub fn next_receivers(&mut self, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        peers.to_vec()
    }

    /// Returns the pause until the next step, and the shorter one if a report becomes urgent.
    pub fn pauses(&self, peers: usize) -> (Duration, Duration) {
        let peers = peers as u32;
        let urgent = URGENT_STEP + URGENT_PAUSE_PER_PEER * peers;
        (STEP.max(PAUSE_PER_PEER * peers), urgent)
    }

    /// Returns the longest time between two reports to the same peer.
    pub fn interval(peers: usize) -> Duration {
        STEP.max(PAUSE_PER_PEER * peers as u32)
    }
}
