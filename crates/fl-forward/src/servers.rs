//! The backend servers that this node knows, with estimates of their load and their recent
//! failures.

mod brittle;
mod demand;
mod known_server;
mod load;
mod notices;
mod peer_loads;
mod registry;
mod speed;
mod versions;

pub use brittle::{ReportedBrittleServer, apply_reported_brittle_servers};
pub use load::InFlightCall;
pub use notices::{AdmittingNodes, ReportedNotices, apply_reported_notices, note_response};
pub use registry::{apply_list, watch};
pub use speed::note_load;

use brittle::Way;
use known_server::KnownServer;
use speed::Paces;

use crate::clock::boot_time;
use fl_kernel::forward::ServerList;
use fl_limits::{SendDenial, SlotTenure};
use fl_protocol::forward::{ModelCall, ServerEntry, ServerName};
use fl_protocol::{DataCenterName, ServiceName};
use fl_routing::peer_loads::{InFlightLoad, PeerLoads};
use fl_routing::placement::{
    Candidate, ExpectedCost, Placement, PlacementRequest, PrefillRate, ServerLoad, place,
};
use fl_routing::registry_view::RegistryView;
use fl_routing::rollout::VersionFilter;
use fl_routing::server_speed::ServerSpeed;
use fl_routing::stream_origins::StreamOrigin;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The backend servers that this node knows.
#[derive(Default)]
pub struct Servers {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    registered: RegistryView,
    /// The newest list that was read, as the store returned it, and its digest.
    list: Arc<ServerList>,
    digest: u64,
    /// What is known of each listed server, sorted by name.
    known: Vec<KnownServer>,
    /// The peers' calls in flight at the servers.
    peer_loads: PeerLoads,
    /// Estimate of the rate at which a server of mean pace prefills prompts.
    prefill_rate: PrefillRate,
    paces: Paces,
    /// Data centres that seem unreachable, sorted by name.
    unreachable_zones: Vec<DataCenterName>,
    /// Prompt tokens that this node sent for prefill, by service. Sorted by service.
    demand: Vec<(ServiceName, u64)>,
    /// The nodes that may share the limits which servers name.
    admitting_nodes: AdmittingNodes,
    /// When this node may use its slots of brittle servers.
    slot_tenure: SlotTenure,
    /// Names of the entries that could not be read in the last list.
    invalid_entries: Vec<String>,
}

/// Why no server can take a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// No server of the service is usable, or the call has been to all of them.
    NoneUsable,
    /// The servers said that they want no call of this node now; holds the shortest time until one
    /// of them wants calls again, if that is known.
    AllDenied(Option<Duration>),
}

/// What a call needs of the server that it is sent to.
#[derive(Debug, Clone, Copy)]
pub struct ServerRequest<'a> {
    /// The service that the server has to offer.
    pub service: &'a str,
    /// The declared size and prompt parts, if the call is a model call.
    pub call: Option<&'a ModelCall>,
    /// Whether model engines prefill its prompt before those of other calls.
    pub is_urgent: bool,
    /// The time within which the first token is due.
    pub target: Option<Duration>,
    /// What the call is expected to cost beyond its prompt.
    pub expected: ExpectedCost,
    /// The data centre of this node.
    pub own_zone: &'a str,
    /// Servers that failed the call.
    pub excluded_servers: &'a [ServerName],
    /// What began the stream, if the call is for the rest of one: only the same software version
    /// can go on with it.
    pub origin: Option<StreamOrigin>,
    /// Whether this node reaches servers itself.
    pub has_links: bool,
    /// Software versions that may get the call; `None` if any may.
    pub versions: Option<&'a VersionFilter>,
}

/// The server that was chosen for a call.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// The server's registry entry.
    pub entry: ServerEntry,
    /// The placement decision with the predicted wait.
    pub placement: Placement,
    /// Estimate of the calls in flight at the server.
    pub in_flight: u32,
    /// Estimate of the prompt tokens that the server still has to prefill.
    pub pending_prefill_tokens: u64,
    /// The server's speed.
    pub speed: ServerSpeed,
    /// The peers of which one has to send the call, since slots of the server belong to them; empty
    /// if this node may send it itself.
    pub slot_owners: Vec<SocketAddr>,
}

impl Servers {
    /// Chooses a server of a service for a call, and counts the call as sent to it.
    pub fn choose(&self, request: &ServerRequest) -> Result<ChosenServer, NoServer> {
        let ServerRequest {
            service,
            call,
            is_urgent,
            target,
            expected,
            own_zone,
            excluded_servers,
            origin,
            has_links,
            versions,
        } = *request;
        let now = boot_time();
        let mut state = self.state.lock();
        state.update_paces(now);
        let usable: Vec<&ServerEntry> = state
            .usable()
            .filter(|entry| entry.service == service && !excluded_servers.contains(&entry.name))
            .filter(|entry| origin.is_none_or(|origin| StreamOrigin::of(entry) == origin))
            .filter(|entry| versions.is_none_or(|filter| filter.admits(&entry.software_version)))
            .collect();
        let is_brittle = state.is_service_brittle(service, now);
        let way = |entry: &ServerEntry| match is_brittle {
            true => state.way_to_brittle(entry, has_links, now),
            false => Some(Way::Direct),
        };
        let (candidates, ways): (Vec<Candidate>, Vec<Way>) = usable
            .iter()
            .filter(|entry| state.check_notices(entry, now).is_ok())
            .filter_map(|entry| Some((state.candidate(entry, now), way(entry)?)))
            .unzip();
        let request = PlacementRequest { call, is_urgent, target, expected, own_zone };
        let placement = place(&request, &candidates, state.prefill_rate, rand::random::<f64>)
            .ok_or_else(|| state.no_server(&usable, now))?;
        let candidate = candidates[placement.index];
        let ServerLoad { in_flight, pending_prefill_tokens, .. } = candidate.load;
        let (entry, speed) = (candidate.entry.clone(), candidate.speed);
        let slot_owners = match &ways[placement.index] {
            Way::Direct => Vec::new(),
            Way::Through(owners) => owners.clone(),
        };
        state.count_call(&entry.name, now);
        Ok(ChosenServer { entry, placement, in_flight, pending_prefill_tokens, speed, slot_owners })
    }

    /// Returns the entries of the servers that may be used.
    pub fn usable(&self) -> Vec<ServerEntry> {
        self.state.lock().usable().cloned().collect()
    }

    /// Returns whether this instance of a server may be used, so that it is not expected to end.
    pub fn is_usable_instance(&self, server: &ServerEntry) -> bool {
        let is_same =
            |entry: &ServerEntry| entry.name == server.name && entry.born_ms == server.born_ms;
        self.state.lock().usable().any(is_same)
    }

    /// Returns whether servers are still used although their entries are missing from the newest
    /// list.
    pub fn uses_missing(&self) -> bool {
        self.state.lock().registered.retains_missing(boot_time())
    }

    /// Returns how long ago the list of servers was read from the store, if ever.
    pub fn age(&self) -> Option<Duration> {
        let read_at = self.state.lock().registered.read_at();
        read_at.map(|at| boot_time().saturating_sub(at))
    }

    /// Returns the newest list that was read and its digest.
    pub fn list(&self) -> (Arc<ServerList>, u64) {
        let state = self.state.lock();
        (state.list.clone(), state.digest)
    }

    /// Returns the digest of the newest list.
    pub fn digest(&self) -> u64 {
        self.state.lock().digest
    }

    /// Returns this node's load at each server that has calls of it in flight.
    pub fn own_loads(&self) -> Vec<InFlightLoad> {
        let state = self.state.lock();
        let loaded = state.known.iter().filter(|known| known.own.in_flight > 0);
        loaded.map(|known| known.own).collect()
    }

    /// Returns the estimate of the rate at which servers prefill prompts.
    pub fn prefill_rate(&self) -> PrefillRate {
        self.state.lock().prefill_rate
    }

    /// Sets the data centres that seem unreachable. Returns each change with its text for the log.
    pub fn set_unreachable_zones(
        &self,
        zones: Vec<DataCenterName>,
    ) -> Vec<(DataCenterName, &'static str)> {
        let mut state = self.state.lock();
        let added = zones.iter().filter(|zone| !state.unreachable_zones.contains(zone));
        let mut changes: Vec<_> = added.map(|zone| (zone.clone(), "cut off")).collect();
        let recovered = state.unreachable_zones.iter().filter(|zone| !zones.contains(zone));
        changes.extend(recovered.map(|zone| (zone.clone(), "heard again")));
        state.unreachable_zones = zones;
        changes
    }

    /// Raises the failure score of a server that failed a call.
    pub fn record_failure(&self, server: &str) {
        self.with_known(server, |known| known.record_failure(boot_time()));
    }

    /// Calls `update` on what is known of a server; does nothing if it is not known.
    fn with_known(&self, server: &str, update: impl FnOnce(&mut KnownServer)) {
        let mut state = self.state.lock();
        let index = state.known.binary_search_by(|known| known.name.as_str().cmp(server));
        if let Ok(index) = index {
            update(&mut state.known[index]);
        }
    }
}

impl State {
    /// Returns why none of the usable servers of a service can be chosen.
    fn no_server(&self, usable: &[&ServerEntry], now: Duration) -> NoServer {
        if usable.is_empty() {
            return NoServer::NoneUsable;
        }
        let pauses = usable.iter().filter_map(|entry| match self.check_notices(entry, now) {
            Err(SendDenial::Paused(left)) => Some(left),
            _ => None,
        });
        NoServer::AllDenied(pauses.min())
    }

    fn known_server(&self, name: &str) -> Option<&KnownServer> {
        let index = self.known.binary_search_by(|known| known.name.as_str().cmp(name));
        index.ok().map(|index| &self.known[index])
    }

    /// Adds newly listed servers and drops those that are not listed and have no call of this node
    /// in flight.
    fn update_known(&mut self) {
        let mut listed: Vec<&ServerEntry> = self.registered.usable().collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        self.known.retain(|known| {
            known.own.in_flight > 0
                || listed.binary_search_by(|entry| entry.name.cmp(&known.name)).is_ok()
        });
        for entry in listed {
            match self.known.binary_search_by(|known| known.name.cmp(&entry.name)) {
                Ok(index) => self.known[index].set_instance(entry.born_ms),
                Err(index) => {
                    self.known.insert(index, KnownServer::new(&entry.name, entry.born_ms));
                }
            }
        }
    }
}
