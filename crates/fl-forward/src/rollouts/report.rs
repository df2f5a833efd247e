//! What nodes report to each other of rollouts.

use super::known_order::{KnownOrder, PeerRollout};
use super::{Rollouts, State};
use crate::clock::boot_time;
use fl_protocol::forward::RolloutOrder;
use fl_routing::rollout::{Phase, RouteCounts, merge_counts};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What a node knows of the rollout of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The order, which peers adopt that have not read it.
    pub order: RolloutOrder,
    /// Whether it was withdrawn.
    pub is_withdrawn: bool,
    /// Time since the order.
    pub elapsed: Duration,
    /// How far the rollout is.
    pub phase: Phase,
    /// Calls of the node in flight at servers of other versions.
    pub old_in_flight: usize,
    /// Tells the counts of a process from those of an earlier one at its address.
    pub process: u64,
    /// Answers that the process counted since the order.
    pub counts: Vec<RouteCounts>,
}

impl Rollouts {
    /// Returns what the peers have to know. `old_in_flight` returns this node's calls in flight at
    /// servers of a service with other versions than the given one.
    ///
    /// A report without calls at old servers is a promise to send none there for a while.
    pub fn reports(&self, old_in_flight: impl Fn(&str, &str) -> usize) -> Vec<RolloutReport> {
        if !self.is_enabled {
            return Vec::new();
        }
        let now = boot_time();
        let promise = self.bounds.promise();
        let mut state = self.state.lock();
        let reports = state.orders.iter_mut().filter(|known| known.is_reported(now)).map(|known| {
            let version = &known.order.software_version;
            let old_in_flight = old_in_flight(&known.order.service, version);
            if known.phase == Phase::Moving && known.is_informed && old_in_flight == 0 {
                known.promised_until = now + promise;
            }
            RolloutReport {
                order: known.order.clone(),
                is_withdrawn: known.is_withdrawn,
                elapsed: known.elapsed(now),
                phase: known.reported_phase(now),
                old_in_flight,
                process: self.process,
                counts: known.counts.clone(),
            }
        });
        reports.collect()
    }

    /// Merges what a peer reported. If a rollout is further than this node knew, its peers hear of
    /// it at once.
    ///
    /// `peers` returns the nodes that are heard, which is asked for an order that is new here.
    pub fn merge(
        &self,
        from: SocketAddr,
        reports: Vec<RolloutReport>,
        peers: impl Fn() -> Vec<SocketAddr>,
    ) {
        if !self.is_enabled {
            return;
        }
        let now = boot_time();
        let mut state = self.state.lock();
        let mut has_advanced = false;
        for report in reports {
            if !state.knows(&report.order) {
                state.apply_order(&report.order, now, &self.bounds, &peers());
            }
            has_advanced |= state.merge(from, report, now);
        }
        drop(state);
        if has_advanced {
            self.urgent.notify_one();
        }
    }
}

impl State {
    fn merge(&mut self, from: SocketAddr, report: RolloutReport, now: Duration) -> bool {
        let Some(known) = self.find(&report.order.service) else { return false };
        if !known.order.is_same_row(&report.order) {
            return false;
        }
        known.began_at = known.began_at.min(now.saturating_sub(report.elapsed));
        if report.is_withdrawn {
            known.withdraw();
        }
        known.merge_peer(from, &report, now);
        known.advance(report.phase, now)
    }
}

impl KnownOrder {
    /// Returns whether the peers still have to hear of it.
    fn is_reported(&self, now: Duration) -> bool {
        !self.phase.is_final() || self.elapsed(now) < self.order.duration * 2
    }

    /// Returns the phase for the peers. A node that may have gone back to old servers, since it
    /// hears nobody, has not moved.
    fn reported_phase(&self, now: Duration) -> Phase {
        let has_moved = self.is_informed || now < self.promised_until;
        if self.phase == Phase::Moving && !has_moved { Phase::Watching } else { self.phase }
    }

    fn merge_peer(&mut self, from: SocketAddr, report: &RolloutReport, now: Duration) {
        let index = match self.peers.binary_search_by_key(&from, |peer| peer.address) {
            Ok(index) => index,
            Err(index) => {
                self.peers.insert(index, PeerRollout::new(from, now));
                index
            }
        };
        let peer = &mut self.peers[index];
        if peer.process != report.process {
            peer.process = report.process;
            peer.counts.clear();
        }
        peer.phase = Some(report.phase);
        peer.old_in_flight = report.old_in_flight;
        peer.heard_at = now;
        let added: Vec<RouteCounts> = merge_counts(&mut peer.counts, &report.counts);
        self.evidence.add(&added, now);
    }
}
