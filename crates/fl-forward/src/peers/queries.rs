//! What a node reads from the peers' reports.

use super::Peers;
use super::peer::Peer;
use crate::clock::boot_time;
use crate::servers::AdmittingNodes;
use crate::usage::WindowCounts;
use fl_routing::lease_contention::Vacancy;
use fl_routing::rendezvous::name_hash;
use fl_routing::stream_origins::OriginHolder;
use fl_routing::zone_reachability::LastContact;
use std::net::SocketAddr;
use std::time::Duration;

impl Peers {
    /// Returns the peers that may remember the origins of streams: their addresses, and how they
    /// are ranked.
    pub fn origin_holders(&self) -> (Vec<SocketAddr>, Vec<OriginHolder>) {
        let state = self.state.lock();
        let reporting = state.peers.iter().filter(|peer| !peer.is_silent);
        let holders = reporting.map(|peer| {
            let zone = peer.report.zone.clone();
            (peer.address, OriginHolder { zone, name_hash: peer.address_hash })
        });
        holders.unzip()
    }

    /// Returns this node as the peers rank it.
    pub fn own_holder(&self) -> &OriginHolder {
        &self.own_holder
    }

    /// Returns the number of known peers, also of those that were never heard.
    pub fn known(&self) -> usize {
        self.state.lock().peers.len()
    }

    /// Returns the peers that may send calls to servers for this node: they report, admit calls, and
    /// have not said lately that their links are lost.
    pub fn proxy_candidates(&self) -> Vec<SocketAddr> {
        self.hashed_proxy_candidates().into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the same peers, with the hashes of their addresses.
    fn hashed_proxy_candidates(&self) -> Vec<(u64, SocketAddr)> {
        let now = boot_time();
        let limit = self.silence_limit();
        let state = self.state.lock();
        let candidates = state.peers.iter().filter(|peer| {
            !peer.is_silent && peer.report.admits && !peer.has_lost_links(now, limit)
        });
        candidates.map(|peer| (peer.address_hash, peer.address)).collect()
    }

    /// Returns the number of nodes that may admit calls, including this one.
    pub fn admitting_nodes(&self) -> usize {
        let now = boot_time();
        let state = self.state.lock();
        1 + state.peers.iter().filter(|peer| peer.may_admit(now)).count()
    }

    /// Returns the nodes that may admit calls, by the hashes of their addresses. `owns_slots` says
    /// whether this node may own slots of brittle servers.
    pub(super) fn admitting_nodes_ranked(&self, owns_slots: bool) -> AdmittingNodes {
        let now = boot_time();
        let owners = self.hashed_proxy_candidates();
        let state = self.state.lock();
        let admitting = state.peers.iter().filter(|peer| peer.may_admit(now));
        AdmittingNodes {
            own: name_hash(&self.own_address.to_string()),
            peers: admitting.map(|peer| peer.address_hash).collect(),
            owners,
            owns_slots,
        }
    }

    /// Returns the usage counts of all peers.
    pub fn usage(&self) -> Vec<Vec<WindowCounts>> {
        let state = self.state.lock();
        state.peers.iter().flat_map(Peer::usage).collect()
    }

    /// Returns whether every peer that may admit calls sent a report after a boot time.
    pub fn all_reported_since(&self, time: Duration) -> bool {
        let now = boot_time();
        let state = self.state.lock();
        let mut admitting = state.peers.iter().filter(|peer| peer.may_admit(now));
        admitting.all(|peer| peer.reported_at.is_some_and(|reported_at| reported_at > time))
    }

    /// Returns whether a peer that is not silent holds the lease of the duties.
    pub fn is_duty_held_by_peer(&self) -> bool {
        let state = self.state.lock();
        state.peers.iter().any(|peer| !peer.is_silent && peer.report.duty_fencing_token.is_some())
    }

    /// Returns whether this node may try to acquire the lease of the duties, for which it has known
    /// no holder for `vacant_for`.
    pub fn may_contend(&self, vacant_for: Duration, term: Duration) -> bool {
        let state = self.state.lock();
        let heard = state.peers.iter().filter(|peer| !peer.is_silent && peer.report.admits);
        let heard: Vec<u64> = heard.map(|peer| peer.address_hash).collect();
        let known = state.has_read_list.then_some(state.peers.len());
        let own = name_hash(&self.own_address.to_string());
        Vacancy { own, heard: &heard, known, vacant_for }.may_contend(term)
    }

    /// Returns the prefill rates that the peers observed, in tokens per millisecond.
    pub fn prefill_rates(&self) -> Vec<f64> {
        let state = self.state.lock();
        let reporting = state.peers.iter().filter(|peer| !peer.is_silent);
        reporting.filter_map(|peer| peer.report.prefill_rate).collect()
    }

    /// Returns the addresses of the peers that are not silent.
    pub fn reporting_addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let reporting = state.peers.iter().filter(|peer| !peer.is_silent);
        reporting.map(|peer| peer.address).collect()
    }

    /// Returns the addresses of the peers that are not silent and whose state of the store is
    /// fresh.
    pub fn fresh_addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let fresh = state.peers.iter().filter(|peer| !peer.is_silent && peer.report.is_fresh);
        fresh.map(|peer| peer.address).collect()
    }

    /// Returns the age of each peer's last report, with the peer's data centre.
    pub(super) fn report_ages(&self) -> Vec<LastContact> {
        let now = boot_time();
        let state = self.state.lock();
        let reporting = state.peers.iter().filter(|peer| peer.reported_at.is_some());
        reporting
            .map(|peer| LastContact { zone: peer.report.zone.clone(), silence: peer.silence(now) })
            .collect()
    }

    /// Returns the prompt tokens that all peers reported to have sent to a service for prefill.
    /// Never decreases.
    pub fn demand(&self, service: &str) -> u64 {
        let state = self.state.lock();
        let index = state.demand.binary_search_by(|(name, _)| name.as_str().cmp(service));
        index.map_or(0, |index| state.demand[index].1)
    }
}
