//! The peers' calls in flight at the servers, as this node hears of them.

use super::Servers;
use crate::clock::boot_time;
use fl_routing::peer_loads::{AnnouncedCall, InFlightLoad, ReportId};

impl Servers {
    /// Applies the calls in flight that a peer reported; `peer` is the hash of its address.
    pub fn apply_peer_loads(&self, peer: u64, report: ReportId, loads: &[InFlightLoad]) {
        self.state.lock().peer_loads.apply_report(peer, report, loads, boot_time());
    }

    /// Applies a call that a peer announced; `peer` is the hash of its address.
    pub fn apply_announced_call(&self, peer: u64, call: AnnouncedCall) {
        self.state.lock().peer_loads.apply_announcement(peer, call, boot_time());
    }

    /// Forgets the calls of peers that have become silent.
    pub fn forget_peer_loads(&self, peers: impl IntoIterator<Item = u64>) {
        let mut state = self.state.lock();
        peers.into_iter().for_each(|peer| state.peer_loads.forget(peer));
    }
}
