//! Backend servers as this node believes them: who is registered, how loaded, how trustworthy.

mod load;
mod registry;

pub use load::{InFlightCall, InFlightLoad};
pub use registry::{apply_list, watch};

use crate::clock::boot_time;
use fl_kernel::forward::ServerList;
use fl_protocol::forward::{ModelCall, ServerEntry, ServerName};
use fl_protocol::{DataCenterName, ServiceName};
use fl_routing::placement::{Candidate, Placement, ReadRate, ServerPressure, Wish, place};
use fl_routing::registered::RegisteredServers;
use fl_routing::rendezvous::name_hash;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// What one failure adds to a server's suspicion.
const FAILURE_SUSPICION: f64 = 0.35;
/// Suspicion of a server whose data centre seems cut off; it is used when the others are full.
const CUT_OFF_SUSPICION: f64 = 1.0;
/// Time in which suspicion halves.
const SUSPICION_HALF_LIFE: Duration = Duration::from_millis(1500);

/// The belief.
#[derive(Default)]
pub struct Servers {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    registered: RegisteredServers,
    /// The newest list as the store has it, and its digest.
    list: Arc<ServerList>,
    digest: u64,
    /// Sorted by name.
    known: Vec<KnownServer>,
    rate: ReadRate,
    /// Data centres that seem cut off, sorted.
    cut_off: Vec<DataCenterName>,
    /// Prompt tokens sent to be read, by service, sorted.
    demand: Vec<(ServiceName, u64)>,
    faults: Vec<String>,
}

/// What this node knows of one server besides its entry.
struct KnownServer {
    name: ServerName,
    /// This node's calls there.
    own: InFlightLoad,
    /// Those of the peers, from their last reports.
    peers: InFlightLoad,
    suspicion: f64,
    suspicion_at: Duration,
}

/// A server that was chosen for a call.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// What its entry says.
    pub entry: ServerEntry,
    /// What was predicted.
    pub placement: Placement,
    /// Calls in flight there, as believed.
    pub in_flight: u32,
    /// Prompt tokens that it had not read yet, as believed.
    pub pending_prefill_tokens: u64,
}

impl Servers {
    /// Chooses a server of a service, leaving out some.
    pub fn choose(
        &self,
        service: &str,
        call: Option<&ModelCall>,
        is_urgent: bool,
        own_zone: &str,
        excluded_servers: &[ServerName],
    ) -> Option<ChosenServer> {
        let now = boot_time();
        let state = self.state.lock();
        let candidates: Vec<Candidate> = state
            .registered
            .usable()
            .filter(|entry| entry.service == service && !excluded_servers.contains(&entry.name))
            .map(|entry| state.candidate(entry, now))
            .collect();
        let wish = Wish { call, is_urgent, own_zone };
        let placement = place(&wish, &candidates, state.rate, rand::random::<f64>)?;
        let candidate = candidates.get(placement.index)?;
        let ServerPressure { in_flight, unread_tokens: pending_prefill_tokens, .. } =
            candidate.pressure;
        Some(ChosenServer {
            entry: candidate.entry.clone(),
            placement,
            in_flight,
            pending_prefill_tokens,
        })
    }

    /// Servers that may be used.
    pub fn usable(&self) -> Vec<ServerEntry> {
        self.state.lock().registered.usable().cloned().collect()
    }

    /// Says whether servers are used whose entries are missing.
    pub fn uses_missing(&self) -> bool {
        self.state.lock().registered.keeps_missing(boot_time())
    }

    /// How long ago the list of servers was true.
    pub fn age(&self) -> Option<Duration> {
        let read_at = self.state.lock().registered.read_at();
        read_at.map(|at| boot_time().saturating_sub(at))
    }

    /// The newest list as the store has it, and its digest.
    pub fn list(&self) -> (Arc<ServerList>, u64) {
        let state = self.state.lock();
        (state.list.clone(), state.digest)
    }

    /// The digest of the newest list.
    pub fn digest(&self) -> u64 {
        self.state.lock().digest
    }

    /// This node's calls at each server that has some.
    pub fn own_loads(&self) -> Vec<InFlightLoad> {
        let state = self.state.lock();
        let busy = state.known.iter().filter(|known| known.own.in_flight > 0);
        busy.map(|known| known.own).collect()
    }

    /// Prompt tokens that this node sent to be read, by service.
    pub fn demand_by_service(&self) -> Vec<(ServiceName, u64)> {
        self.state.lock().demand.clone()
    }

    /// Prompt tokens that this node sent to be read by a service.
    pub fn demand(&self, service: &str) -> u64 {
        let state = self.state.lock();
        let place = state.demand.binary_search_by(|(name, _)| name.as_str().cmp(service));
        place.map_or(0, |place| state.demand[place].1)
    }

    /// Servers of a service whose places the calls under way at all nodes fill.
    pub fn occupied_servers(&self, service: &str) -> f64 {
        let now = boot_time();
        let state = self.state.lock();
        let of_service = state.registered.usable().filter(|entry| entry.service == service);
        let filled = of_service.map(|entry| {
            let in_flight = state.candidate(entry, now).pressure.in_flight;
            f64::from(in_flight) / f64::from(entry.slots.max(1))
        });
        filled.sum()
    }

    /// The rate at which servers read prompts.
    pub fn prefill_rate(&self) -> ReadRate {
        self.state.lock().rate
    }

    /// Takes the sums of what the peers told, sorted by the server's hash.
    pub fn set_peers_load(&self, loads: &[InFlightLoad]) {
        let mut state = self.state.lock();
        for known in &mut state.known {
            let place = loads.binary_search_by_key(&known.hash(), |load| load.server);
            known.peers = place.map_or(InFlightLoad::idle(known.hash()), |place| loads[place]);
        }
    }

    /// Takes the data centres that seem cut off; gives what changed, with words for the log.
    pub fn set_unreachable_zones(
        &self,
        zones: Vec<DataCenterName>,
    ) -> Vec<(DataCenterName, &'static str)> {
        let mut state = self.state.lock();
        let newly = zones.iter().filter(|zone| !state.cut_off.contains(zone));
        let mut changes: Vec<_> = newly.map(|zone| (zone.clone(), "cut off")).collect();
        let again = state.cut_off.iter().filter(|zone| !zones.contains(zone));
        changes.extend(again.map(|zone| (zone.clone(), "heard again")));
        state.cut_off = zones;
        changes
    }

    /// Takes word that a server failed a call.
    pub fn record_failure(&self, server: &str) {
        let now = boot_time();
        self.with_known(server, |known| {
            known.suspicion = (known.suspicion_now(now) + FAILURE_SUSPICION).min(1.0);
            known.suspicion_at = now;
        });
    }

    fn count_demand(&self, service: &str, tokens: u64) {
        let mut state = self.state.lock();
        match state.demand.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(place) => state.demand[place].1 += tokens,
            Err(place) => state.demand.insert(place, (service.to_string(), tokens)),
        }
    }

    fn with_known(&self, server: &str, act: impl FnOnce(&mut KnownServer)) {
        let mut state = self.state.lock();
        let place = state.known.binary_search_by(|known| known.name.as_str().cmp(server));
        if let Ok(place) = place {
            act(&mut state.known[place]);
        }
    }
}

impl State {
    fn candidate<'a>(&self, entry: &'a ServerEntry, now: Duration) -> Candidate<'a> {
        let place = self.known.binary_search_by(|known| known.name.cmp(&entry.name));
        let known = place.ok().map(|place| &self.known[place]);
        let mut pressure = known.map_or_else(ServerPressure::default, |known| known.pressure(now));
        if self.cut_off.binary_search(&entry.zone).is_ok() {
            pressure.suspicion = pressure.suspicion.max(CUT_OFF_SUSPICION);
        }
        let name_hash = known.map_or(0, KnownServer::hash);
        Candidate { entry, name_hash, pressure }
    }

    /// Keeps what is known of listed servers and begins to know new ones.
    fn know_listed(&mut self) {
        let mut listed: Vec<&ServerEntry> = self.registered.usable().collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        self.known.retain(|known| {
            known.own.in_flight > 0
                || listed.binary_search_by(|entry| entry.name.cmp(&known.name)).is_ok()
        });
        for entry in listed {
            if let Err(place) = self.known.binary_search_by(|known| known.name.cmp(&entry.name)) {
                self.known.insert(place, KnownServer::new(&entry.name));
            }
        }
    }
}

impl KnownServer {
    fn new(name: &str) -> Self {
        KnownServer {
            name: name.to_string(),
            own: InFlightLoad::idle(name_hash(name)),
            peers: InFlightLoad::idle(name_hash(name)),
            suspicion: 0.0,
            suspicion_at: Duration::ZERO,
        }
    }

    fn hash(&self) -> u64 {
        self.own.server
    }

    fn pressure(&self, now: Duration) -> ServerPressure {
        let mut load = self.own;
        load.add(&self.peers);
        ServerPressure {
            in_flight: load.in_flight,
            unread_tokens: load.pending_prefill_tokens,
            urgent_unread_tokens: load.urgent_prefill_tokens,
            suspicion: self.suspicion_now(now),
        }
    }

    fn suspicion_now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.suspicion_at).as_secs_f64();
        self.suspicion * 0.5_f64.powf(age / SUSPICION_HALF_LIFE.as_secs_f64())
    }
}
