//! Servers and calls in flight by software version.

use super::Servers;
use fl_protocol::forward::ServerEntry;
use fl_routing::rollout::VersionFilter;

impl Servers {
    /// Returns whether a service has a usable server of one of the versions.
    pub fn offers(&self, service: &str, versions: &VersionFilter) -> bool {
        let is_one = |entry: &ServerEntry| {
            entry.service == service && versions.admits(&entry.software_version)
        };
        self.state.lock().usable().any(is_one)
    }

    /// Returns this node's calls in flight at the listed servers of a service with other versions
    /// than the given one.
    pub fn in_flight_at_others(&self, service: &str, software_version: &str) -> usize {
        let state = self.state.lock();
        let others =
            state.list.entries.iter().filter(|entry| {
                entry.service == service && entry.software_version != software_version
            });
        let in_flight = others.filter_map(|entry| state.known_server(&entry.name));
        in_flight.map(|known| known.own.in_flight as usize).sum()
    }
}
