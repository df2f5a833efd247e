//! What the nodes that share a quota may have taken without a report, and which are not heard.

use super::consumption::PeerConsumption;
use super::{InitialUnits, SharedQuota};
use std::time::Duration;

/// Least silence after which a peer counts as unheard, however often nodes report.
const SILENCE_MIN: Duration = Duration::from_millis(1000);
/// Intervals between reports after which a peer counts as unheard. Each node counts for little, so a
/// lost report does no harm.
const SILENCE_INTERVALS: f64 = 1.2;
/// How long the level of a node that was cut off stays uncertain, until it has heard its peers.
const UNCERTAIN_TIME: Duration = Duration::from_secs(3);

impl SharedQuota {
    /// Notes whether most of the units are taken by peers that are not heard: this node is cut off
    /// from them, and its bucket fills while theirs do not.
    pub(super) fn note_cut_off(&mut self, now: Duration) {
        let unheard = self.peers.iter().filter(|known| self.is_unheard(known, now));
        let unheard_per_s: f64 = unheard.map(|known| known.rate.usual_per_s).sum();
        let is_cut_off = unheard_per_s > self.total_usual_per_s() / 2.0;
        if is_cut_off {
            self.uncertain_until = now + UNCERTAIN_TIME;
        }
    }

    pub(super) fn is_unheard(&self, known: &PeerConsumption, now: Duration) -> bool {
        known.silence(now) > SILENCE_MIN.max(self.sharing.interval.mul_f64(SILENCE_INTERVALS))
    }

    /// Returns the number of nodes that share the quota and are not heard.
    pub fn unheard_nodes(&self, now: Duration) -> usize {
        let heard = self.peers.iter().filter(|known| !self.is_unheard(known, now)).count();
        self.fleet_size().saturating_sub(1 + heard)
    }

    /// Returns the share of the quota that the heard nodes have, including this one.
    pub(super) fn heard_share(&self, now: Duration) -> f64 {
        1.0 - self.unheard_nodes(now) as f64 / self.fleet_size() as f64
    }

    /// Returns the rate at which all nodes usually take units, as far as known.
    pub(super) fn total_usual_per_s(&self) -> f64 {
        let peers_per_s: f64 = self.peers.iter().map(|known| known.rate.usual_per_s).sum();
        peers_per_s + self.rate.usual_per_s
    }

    pub(super) fn fleet_size(&self) -> usize {
        self.sharing.nodes.max(1 + self.peers.len())
    }

    /// Estimates the units that the peers have taken since their latest reports: at their rates
    /// while they are heard. An unheard node is assumed to take its equal share of what was available
    /// and of what is gained, since it may count on the same.
    pub(super) fn estimate_unreported(&self, now: Duration) -> f64 {
        let total_per_s = self.total_usual_per_s().max(f64::MIN_POSITIVE);
        let allowed_share = (self.limit.rate_per_s / total_per_s).min(1.0);
        let unreported_by = |known: &PeerConsumption| {
            if self.is_unheard(known, now) {
                return self.share_since(known.reported_at, known.available, now);
            }
            known.estimate_unreported(allowed_share, now)
        };
        let known: f64 = self.peers.iter().map(unreported_by).sum();
        let never_heard = self.fleet_size() - 1 - self.peers.len();
        let InitialUnits { at, available } = self.initial;
        known + never_heard as f64 * self.share_since(at, available, now)
    }

    /// Returns a node's equal share of what was available at a time and what was gained since.
    fn share_since(&self, time: Duration, available: f64, now: Duration) -> f64 {
        let gained = self.limit.rate_per_s * now.saturating_sub(time).as_secs_f64();
        (available.max(0.0) + gained) / self.fleet_size() as f64
    }
}
