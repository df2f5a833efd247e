//! What nodes tell each other: load, quotas, usage and versions, in small datagrams.
//!
//! Each node sends its whole report to every other at a pace that bounds the cost whatever their
//! number. A lost datagram is made good by the next. Nodes find each other through rows in the
//! platform's store; a node that a datagram came from is known as well.

mod discovery;
mod exchange;
mod report;

pub use discovery::discover;
pub use exchange::{Datagram, receive, send_reports};
pub use report::PeerReport;

use report::{demand_added, instance_id};

use crate::clock::boot_time;
use crate::servers::InFlightLoad;
use crate::usage::{WindowCounts, add_count};
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::ForwardSettings;
use fl_protocol::{ServiceName, VmName};
use fl_routing::cut_off::Heard;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// Time between two reports to one peer in a small fleet. Calls are placed by what peers told of
/// their own, so this is the age of most of what a placement rests on.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two reports grows by this for each peer, so that a large fleet costs no more.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(12);
/// Shortest time between two reports when news is urgent, and what each peer adds to it.
const URGENT_INTERVAL: Duration = Duration::from_millis(10);
const URGENT_INTERVAL_PER_PEER: Duration = Duration::from_millis(2);
/// Reports missed before a peer counts as silent, and the least time for that.
const REPORTS_MISSED: u32 = 4;
const SILENCE_MIN: Duration = Duration::from_millis(1000);
/// How long a silent peer may still admit calls; its keys lose their force by then.
const SHARE_HELD_FOR: Duration = Duration::from_secs(6);
/// How long a silent peer is remembered, so that its counts are not lost before they are reported.
const REMEMBERED_FOR: Duration = Duration::from_secs(30);
/// Earlier lives of a peer whose counts are kept.
const INSTANCES_KEPT: usize = 3;

/// A peer as this node knows it.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heard_at: Option<Duration>,
    is_silent: bool,
    report: PeerReport,
    /// Counts of earlier lives of its process that may not have been reported yet.
    earlier_usage: Vec<Vec<WindowCounts>>,
}

/// What is known of the peers.
pub struct Peers {
    own: SocketAddr,
    state: Mutex<State>,
    urgent_report: Notify,
    reader_list_changed: Notify,
}

#[derive(Default)]
struct State {
    /// Sorted by address.
    peers: Vec<Peer>,
    /// Tokens that the others sent to be read, by service, over all their lives.
    demand: Vec<(ServiceName, u64)>,
    sequence: u64,
    started_ms: u64,
}

impl Peers {
    /// Knows nobody yet.
    pub fn new(settings: &ForwardSettings) -> Self {
        let state = State { started_ms: unix_ms(), ..State::default() };
        Peers {
            own: settings.peer_address,
            state: Mutex::new(state),
            urgent_report: Notify::new(),
            reader_list_changed: Notify::new(),
        }
    }

    /// Nodes that may admit calls, this one included.
    pub fn admitting_nodes(&self) -> usize {
        let now = boot_time();
        let state = self.state.lock();
        1 + state.peers.iter().filter(|peer| peer.may_admit(now)).count()
    }

    /// Counts of the peers.
    pub fn usage(&self) -> Vec<Vec<WindowCounts>> {
        let state = self.state.lock();
        state.peers.iter().flat_map(Peer::usage).collect()
    }

    /// Whether every peer that may admit calls was heard after a time.
    pub fn all_reported_since(&self, time: Duration) -> bool {
        let now = boot_time();
        let state = self.state.lock();
        let mut admitting = state.peers.iter().filter(|peer| peer.may_admit(now));
        admitting.all(|peer| peer.heard_at.is_some_and(|heard_at| heard_at > time))
    }

    /// Whether a peer that was heard lately holds the duties' lease.
    pub fn is_duty_held_by_peer(&self) -> bool {
        let state = self.state.lock();
        state.peers.iter().any(|peer| !peer.is_silent && peer.report.duty_fencing.is_some())
    }

    /// The rates at which servers read prompts, as the peers observed them, in tokens a millisecond.
    pub fn prefill_rates(&self) -> Vec<f64> {
        let state = self.state.lock();
        let heard = state.peers.iter().filter(|peer| !peer.is_silent);
        heard.filter_map(|peer| peer.report.prefill_rate).collect()
    }

    /// Peers that were heard lately and know the store's state freshly.
    pub fn fresh_addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        let fresh = state.peers.iter().filter(|peer| !peer.is_silent && peer.report.is_fresh);
        fresh.map(|peer| peer.address).collect()
    }

    /// Takes word that the reader's list of servers differs from this node's.
    fn notify_reader_list_change(&self) {
        self.reader_list_changed.notify_one();
    }

    /// Waits until a peer's report shows a list of servers that differs from this node's.
    pub async fn wait_for_reader_list_change(&self) {
        self.reader_list_changed.notified().await;
    }

    /// When each peer was heard last.
    fn heard(&self) -> Vec<Heard> {
        let now = boot_time();
        let state = self.state.lock();
        let heard = state.peers.iter().filter(|peer| peer.heard_at.is_some());
        heard.map(|peer| Heard { zone: peer.report.zone.clone(), ago: peer.silence(now) }).collect()
    }

    fn interval(&self) -> Duration {
        let peers = self.state.lock().peers.len() as u32;
        REPORT_INTERVAL.max(INTERVAL_PER_PEER * peers)
    }

    /// Asks for a report as soon as the pace of urgent ones allows.
    pub fn request_urgent_report(&self) {
        self.urgent_report.notify_one();
    }

    fn urgent_interval(&self) -> Duration {
        let peers = self.state.lock().peers.len() as u32;
        URGENT_INTERVAL + URGENT_INTERVAL_PER_PEER * peers
    }

    fn add(&self, address: SocketAddr) {
        if address == self.own {
            return;
        }
        let mut state = self.state.lock();
        if let Err(place) = state.peers.binary_search_by_key(&address, |peer| peer.address) {
            state.peers.insert(place, Peer::new(address));
        }
    }

    /// Takes a report; says whether the peer was silent before, and for how long.
    fn apply_report(&self, from: SocketAddr, report: PeerReport) -> Option<Duration> {
        self.add(from);
        let now = boot_time();
        let mut state = self.state.lock();
        let place = state.peers.binary_search_by_key(&from, |peer| peer.address).ok()?;
        let peer = &mut state.peers[place];
        let known = (peer.report.started_ms, peer.report.sequence);
        if (report.started_ms, report.sequence) <= known {
            return None;
        }
        let before = match report.started_ms == peer.report.started_ms {
            true => std::mem::take(&mut peer.report.demand),
            false => Vec::new(),
        };
        let more = demand_added(&before, &report.demand);
        let silence = peer.heard_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let was_silent = peer.is_silent;
        peer.heard_at = Some(now);
        peer.is_silent = false;
        if report.started_ms > peer.report.started_ms && !peer.report.usage.is_empty() {
            peer.earlier_usage.push(std::mem::take(&mut peer.report.usage));
            let surplus = peer.earlier_usage.len().saturating_sub(INSTANCES_KEPT);
            peer.earlier_usage.drain(..surplus);
        }
        peer.report = report;
        for (service, tokens) in more {
            add_count(&mut state.demand, &service, tokens);
        }
        was_silent.then_some(silence)
    }

    /// Marks peers that fell silent and forgets those long gone; gives the newly silent.
    fn update_silent_peers(&self) -> Vec<(VmName, Duration)> {
        let now = boot_time();
        let limit = SILENCE_MIN.max(self.interval() * REPORTS_MISSED);
        let mut state = self.state.lock();
        state.peers.retain(|peer| peer.silence(now) < REMEMBERED_FOR || peer.heard_at.is_none());
        let mut silent = Vec::new();
        for peer in &mut state.peers {
            if !peer.is_silent && peer.silence(now) > limit {
                peer.is_silent = true;
                silent.push((peer.report.vm.clone(), peer.silence(now)));
            }
        }
        silent
    }

    /// Sums of the peers' calls at servers, sorted by the server's hash.
    fn summed_loads(&self) -> Vec<InFlightLoad> {
        let state = self.state.lock();
        let mut sums: Vec<InFlightLoad> = Vec::new();
        let heard = state.peers.iter().filter(|peer| !peer.is_silent);
        for load in heard.flat_map(|peer| &peer.report.loads) {
            match sums.binary_search_by_key(&load.server, |sum| sum.server) {
                Ok(place) => sums[place].add(load),
                Err(place) => sums.insert(place, *load),
            }
        }
        sums
    }

    /// Lives of the peers that are remembered.
    fn instance_ids(&self) -> Vec<u64> {
        self.state.lock().peers.iter().map(|peer| instance_id(&peer.report)).collect()
    }

    /// Tokens that all other nodes sent to be read by a service, as far as they told; never falls.
    pub fn demand(&self, service: &str) -> u64 {
        let state = self.state.lock();
        let place = state.demand.binary_search_by(|(name, _)| name.as_str().cmp(service));
        place.map_or(0, |place| state.demand[place].1)
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.state.lock().peers.iter().map(|peer| peer.address).collect()
    }
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Peer {
            address,
            heard_at: None,
            is_silent: true,
            report: PeerReport::default(),
            earlier_usage: Vec::new(),
        }
    }

    /// Counts of all its lives.
    fn usage(&self) -> Vec<Vec<WindowCounts>> {
        let mut usage = self.earlier_usage.clone();
        usage.push(self.report.usage.clone());
        usage
    }

    fn silence(&self, now: Duration) -> Duration {
        self.heard_at.map_or(Duration::ZERO, |heard_at| now.saturating_sub(heard_at))
    }

    fn may_admit(&self, now: Duration) -> bool {
        self.heard_at.is_some() && self.report.admits && self.silence(now) < SHARE_HELD_FOR
    }
}
