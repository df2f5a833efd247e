//! The number of nodes that share what all nodes may use together.

use super::peer::Peer;
use super::{Peers, SILENT_PEER_RETENTION};
use crate::clock::boot_time;
use fl_limits::QuotaSharing;
use fl_protocol::hash64;
use fl_routing::report_rounds::ReportRounds;
use std::time::Duration;

/// Nodes that a node assumes to share with until it has read the list of nodes, so that it uses
/// nothing of note alone.
const UNLISTED_NODES: usize = 1_000;
/// How long a node waits for the list of nodes. Then it counts the peers that it has heard.
const LIST_WAIT_MAX: Duration = Duration::from_secs(10);

impl Peers {
    /// Returns the number of nodes that share quotas and budgets, including this one: all that are
    /// listed or were heard, unless they said that they leave.
    ///
    /// Nodes that are not heard count too, since they may be cut off or just start and use their
    /// shares. Those that this node has never heard stop to count some minutes after its own start,
    /// since the list keeps the rows of nodes that are gone.
    pub fn sharing_nodes(&self) -> usize {
        let now = boot_time();
        let state = self.state.lock();
        let running_for = now.saturating_sub(state.started_at);
        if !state.has_read_list && running_for < LIST_WAIT_MAX {
            return UNLISTED_NODES;
        }
        // A VM that was replaced by one of the same name has another address.
        let is_replaced = |silent: &Peer| {
            let mut heard = state.peers.iter().filter(|peer| !peer.is_silent);
            heard.any(|peer| peer.report.vm == silent.report.vm)
        };
        let sharing = state.peers.iter().filter(|peer| match peer.reported_at {
            None => running_for < SILENT_PEER_RETENTION,
            Some(_) => peer.report.admits && !(peer.is_silent && is_replaced(peer)),
        });
        1 + sharing.count()
    }

    /// Returns what quotas have to know of the fleet.
    pub fn quota_sharing(&self) -> QuotaSharing {
        let nodes = self.sharing_nodes();
        let (peers, started_ms) = {
            let state = self.state.lock();
            (state.peers.len(), state.started_ms)
        };
        let address = self.own_address.to_string();
        let hash = hash64(&[address.as_bytes(), &started_ms.to_be_bytes()]);
        let phase = hash as f64 / u64::MAX as f64;
        QuotaSharing { nodes, interval: ReportRounds::interval(peers), phase }
    }
}
