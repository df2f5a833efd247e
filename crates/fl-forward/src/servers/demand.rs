//! The demand for servers, as this node sees it.

use super::Servers;
use crate::clock::boot_time;
use fl_protocol::ServiceName;

impl Servers {
    /// Returns the prompt tokens that this node sent for prefill since its start, by service.
    pub fn demand_by_service(&self) -> Vec<(ServiceName, u64)> {
        self.state.lock().demand.clone()
    }

    /// Returns the prompt tokens that this node sent to a service for prefill since its start.
    pub fn demand(&self, service: &str) -> u64 {
        let state = self.state.lock();
        let index = state.demand.binary_search_by(|(name, _)| name.as_str().cmp(service));
        index.map_or(0, |index| state.demand[index].1)
    }

    /// Returns how many servers of a service the calls in flight of all nodes occupy. Each server
    /// counts with the share of its slots that is in use and by its pace.
    pub fn occupied_servers(&self, service: &str) -> f64 {
        let now = boot_time();
        let state = self.state.lock();
        let of_service = state.usable().filter(|entry| entry.service == service);
        let occupied_shares = of_service.map(|entry| {
            let in_flight = state.candidate(entry, now).load.in_flight;
            f64::from(in_flight) / f64::from(entry.slots.max(1)) * state.pace(&entry.name)
        });
        occupied_shares.sum()
    }

    /// Counts prompt tokens that this node sent to a service for prefill.
    pub(super) fn record_demand(&self, service: &str, tokens: u64) {
        let mut state = self.state.lock();
        match state.demand.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(index) => state.demand[index].1 += tokens,
            Err(index) => state.demand.insert(index, (service.to_string(), tokens)),
        }
    }
}
