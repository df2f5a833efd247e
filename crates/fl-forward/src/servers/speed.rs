//! The speed of servers: their paces, which nodes learn together, and the slowdowns they state.

use super::known_server::KnownServer;
use super::{Servers, State};
use crate::clock::boot_time;
use crate::node::Node;
use crate::peers;
use fl_protocol::ServiceName;
use fl_protocol::forward::{ReportedLoad, ServerEntry, ServerName};
use fl_routing::server_pace::{PaceObservations, PaceSum, SharedPaces, TimeClass, estimate_paces};
use fl_routing::server_speed::AnnouncedSlowdown;
use std::time::Duration;

/// Interval at which paces are estimated anew.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);

/// What this node knows of the paces of all servers.
#[derive(Default)]
pub(super) struct Paces {
    pub(super) observations: PaceObservations,
    estimated_at: Duration,
}

/// Records how fast a server says that it works at this moment, and announces a change.
pub fn note_load(node: &Node, server: &str, load: Option<ReportedLoad>) {
    let Some(percent) = load.and_then(|load| load.work_time_percent) else { return };
    if let Some(announced) = node.servers.note_slowdown(server, percent) {
        peers::announce_slowdown(node, announced);
    }
}

impl Servers {
    /// Records a slowdown that a server stated to this node. Returns what the peers should hear of
    /// at once, if anything.
    fn note_slowdown(&self, server: &str, work_time_percent: u16) -> Option<AnnouncedSlowdown> {
        let mut announced = None;
        self.with_known(server, |known| {
            let is_news = known.slowdown.hear(work_time_percent, boot_time());
            let server = known.instance_key();
            announced = is_news.then_some(AnnouncedSlowdown { server, work_time_percent });
        });
        announced
    }

    /// Applies a slowdown that a server stated to a peer.
    pub fn apply_announced_slowdown(&self, announced: AnnouncedSlowdown) {
        let now = boot_time();
        let mut state = self.state.lock();
        let is_stated = |known: &&mut KnownServer| known.instance_key() == announced.server;
        if let Some(known) = state.known.iter_mut().find(is_stated) {
            known.slowdown.hear(announced.work_time_percent, now);
        }
    }

    /// Applies the observations of servers' speed that a peer shared; `peer` is the hash of its
    /// address.
    pub fn apply_shared_paces(&self, peer: u64, shared: &SharedPaces) {
        self.state.lock().paces.observations.apply_shared(peer, shared, boot_time());
    }

    /// Returns this node's observations of servers' speed for its peers.
    pub fn take_shared_paces(&self) -> SharedPaces {
        self.state.lock().paces.observations.take_shared(boot_time())
    }

    /// Returns the pace of each server that may be used, sorted by name.
    pub fn paces(&self) -> Vec<(ServerName, f64)> {
        let mut state = self.state.lock();
        state.update_paces(boot_time());
        let paces = state.usable().map(|entry| (entry.name.clone(), state.pace(&entry.name)));
        let mut paces: Vec<(ServerName, f64)> = paces.collect();
        paces.sort_by(|a, b| a.0.cmp(&b.0));
        paces
    }
}

impl State {
    /// Estimates the paces of all servers, unless that was done just before.
    pub(super) fn update_paces(&mut self, now: Duration) {
        if now.saturating_sub(self.paces.estimated_at) < ESTIMATE_INTERVAL {
            return;
        }
        self.paces.estimated_at = now;
        for service in self.services() {
            let of_service = self.usable().filter(|entry| entry.service == service);
            let servers: Vec<ServerName> = of_service.map(|entry| entry.name.clone()).collect();
            let sums: Vec<PaceSum> =
                servers.iter().map(|server| self.pace_sum(server, now)).collect();
            for (server, pace) in servers.iter().zip(estimate_paces(&sums)) {
                if let Ok(index) = self.known.binary_search_by(|known| known.name.cmp(server)) {
                    self.known[index].pace = pace;
                }
            }
        }
    }

    /// Records how long something took at a server.
    pub(super) fn observe_time(&mut self, server: &str, class: TimeClass, time: f64) {
        let Some(known) = self.known_server(server) else { return };
        let (key, pace) = (known.instance_key(), known.pace);
        self.paces.observations.observe(key, pace, class, time, boot_time());
    }

    /// Returns the pace of a server, 1 if it is not known.
    pub(super) fn pace(&self, server: &str) -> f64 {
        self.known_server(server).map_or(1.0, |known| known.pace)
    }

    fn services(&self) -> Vec<ServiceName> {
        let mut services: Vec<ServiceName> =
            self.usable().map(|entry: &ServerEntry| entry.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    fn pace_sum(&self, server: &str, now: Duration) -> PaceSum {
        let known = self.known_server(server);
        let key = known.map(KnownServer::instance_key);
        key.map_or(PaceSum::default(), |key| self.paces.observations.sum(key, now))
    }
}
