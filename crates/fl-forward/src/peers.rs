//! Reports between nodes of load, quotas, usage and versions, in UDP datagrams.
//!
//! Each node sends its whole report to every other node, so the next report makes up for a lost
//! datagram. The interval grows with the number of nodes to bound the cost. Nodes find each other
//! through rows in the platform's store; the sender of a datagram is also added as a peer.

mod announcements;
mod discovery;
mod exchange;
mod paces;
mod peer;
mod queries;
mod report;
mod sharing;

pub use announcements::{announce_call, announce_slowdown};
pub use discovery::discover;
pub use exchange::{Datagram, receive, send_reports};
pub use report::PeerReport;

use exchange::send_to;
use peer::Peer;
use report::{demand_added, instance_id};

use crate::clock::boot_time;
use crate::usage::add_count;
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::ForwardSettings;
use fl_protocol::{ServiceName, VmName};
use fl_routing::call_announcements::AnnouncementBudget;
use fl_routing::peer_loads::ReportId;
use fl_routing::rendezvous::name_hash;
use fl_routing::report_rounds::ReportRounds;
use fl_routing::stream_origins::OriginHolder;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Missed reports after which a peer counts as silent.
const REPORTS_MISSED: u32 = 4;
/// Least time without a report until a peer counts as silent, however short the interval is.
const SILENCE_MIN: Duration = Duration::from_millis(1000);
/// How long a silent peer is remembered, so that its usage counts are reported and its share of
/// quotas is left to it. Regions may lose each other, not the store, for minutes.
const SILENT_PEER_RETENTION: Duration = Duration::from_secs(300);
/// Earlier process instances of a peer whose usage counts are kept.
const INSTANCES_KEPT: usize = 3;

/// The other nodes, with their last reports.
pub struct Peers {
    own_address: SocketAddr,
    /// This node as one that may remember and write origins of streams.
    own_holder: OriginHolder,
    state: Mutex<State>,
    urgent_report: Notify,
    reader_list_changed: Notify,
    /// The socket of datagrams, once the node listens on it.
    socket: OnceLock<Arc<UdpSocket>>,
}

#[derive(Default)]
struct State {
    /// The known peers, sorted by address.
    peers: Vec<Peer>,
    /// Prompt tokens that all peers sent for prefill, by service, over all their process instances.
    demand: Vec<(ServiceName, u64)>,
    sequence: u64,
    started_ms: u64,
    /// The boot time at which this node started.
    started_at: Duration,
    announcements: AnnouncementBudget,
    slowdown_announcements: AnnouncementBudget,
    /// Whether the list of nodes was read.
    has_read_list: bool,
}

/// What followed from a report that was applied.
struct AppliedReport {
    /// The hash of the peer's address.
    address_hash: u64,
    /// How long the peer was silent before, if it was.
    silence: Option<Duration>,
}

/// A peer that has become silent.
struct SilentPeer {
    address_hash: u64,
    vm: VmName,
    silence: Duration,
}

impl Peers {
    /// Creates the state of a node that knows no peers.
    pub fn new(settings: &ForwardSettings) -> Self {
        let state = State {
            started_ms: unix_ms(),
            started_at: boot_time(),
            slowdown_announcements: AnnouncementBudget::for_slowdowns(),
            ..State::default()
        };
        Peers {
            own_address: settings.peer_address,
            own_holder: OriginHolder {
                zone: settings.zone.clone(),
                name_hash: name_hash(&settings.peer_address.to_string()),
            },
            state: Mutex::new(state),
            urgent_report: Notify::new(),
            reader_list_changed: Notify::new(),
            socket: OnceLock::new(),
        }
    }

    /// Sets the socket that datagrams are sent on. Before, none is sent.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // A node listens on one socket for as long as it runs.
        let _ = self.socket.set(socket);
    }

    /// Sends a datagram to a peer. It may be lost.
    pub fn send(&self, datagram: &Datagram, to: SocketAddr) {
        if let Some(socket) = self.socket.get() {
            datagram.send(socket, to);
        }
    }

    /// Sends a datagram to every known peer. It may be lost.
    pub fn send_to_all(&self, datagram: &Datagram) {
        if let Some(socket) = self.socket.get() {
            send_to(socket, &self.addresses(), datagram);
        }
    }

    /// Takes the announcement of a call from this node's part of the budget. Returns the report
    /// that the call follows, `None` if the budget is used up.
    fn take_announcement(&self, now: Duration) -> Option<ReportId> {
        let mut state = self.state.lock();
        let nodes = state.peers.len() + 1;
        let last_report = (state.started_ms, state.sequence);
        state.announcements.try_take(now, nodes).then_some(last_report)
    }

    /// Takes the announcement of a slowdown from this node's part of the budget. Returns whether
    /// there was one.
    fn take_slowdown_announcement(&self, now: Duration) -> bool {
        let mut state = self.state.lock();
        let nodes = state.peers.len() + 1;
        state.slowdown_announcements.try_take(now, nodes)
    }

    /// Records that a peer has lost its links to the servers.
    pub fn note_links_lost(&self, from: SocketAddr) {
        let mut state = self.state.lock();
        if let Ok(index) = state.peers.binary_search_by_key(&from, |peer| peer.address) {
            state.peers[index].links_lost_at = Some(boot_time());
        }
    }

    /// Wakes the task that queries the reader, the peer that reads the store for this node, since
    /// the reader's list of servers differs from this node's.
    fn notify_reader_list_change(&self) {
        self.reader_list_changed.notify_one();
    }

    /// Waits until a report of the reader shows a list of servers that differs from this node's.
    pub async fn wait_for_reader_list_change(&self) {
        self.reader_list_changed.notified().await;
    }

    /// Returns the longest time between two reports of a peer, for the current number of peers.
    fn interval(&self) -> Duration {
        ReportRounds::interval(self.state.lock().peers.len())
    }

    /// Returns how long a peer may be unheard until what it said no longer holds.
    fn silence_limit(&self) -> Duration {
        SILENCE_MIN.max(self.interval() * REPORTS_MISSED)
    }

    /// Requests a report to the peers as soon as the interval of urgent reports allows.
    pub fn request_urgent_report(&self) {
        self.urgent_report.notify_one();
    }

    /// Records that the list of nodes was read.
    fn note_list_read(&self) {
        self.state.lock().has_read_list = true;
    }

    /// Adds a peer unless it is known or the address is this node's own. Returns whether it was
    /// added.
    fn add_peer(&self, address: SocketAddr) -> bool {
        if address == self.own_address {
            return false;
        }
        let mut state = self.state.lock();
        let found = state.peers.binary_search_by_key(&address, |peer| peer.address);
        if let Err(index) = found {
            state.peers.insert(index, Peer::new(address));
        }
        found.is_err()
    }

    /// Applies a report, unless a newer one was applied before.
    fn apply_report(&self, from: SocketAddr, report: PeerReport) -> Option<AppliedReport> {
        self.add_peer(from);
        let now = boot_time();
        let mut state = self.state.lock();
        let index = state.peers.binary_search_by_key(&from, |peer| peer.address).ok()?;
        let peer = &mut state.peers[index];
        let last_known = (peer.report.started_ms, peer.report.sequence);
        if (report.started_ms, report.sequence) <= last_known {
            return None;
        }
        let counted = match report.started_ms == peer.report.started_ms {
            true => std::mem::take(&mut peer.report.demand),
            false => Vec::new(),
        };
        let added = demand_added(&counted, &report.demand);
        let silence = peer.reported_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let was_silent = peer.is_silent;
        let address_hash = peer.address_hash;
        peer.reported_at = Some(now);
        peer.is_silent = false;
        if report.started_ms > peer.report.started_ms && !peer.report.usage.is_empty() {
            peer.earlier_usage.push(std::mem::take(&mut peer.report.usage));
            let surplus = peer.earlier_usage.len().saturating_sub(INSTANCES_KEPT);
            peer.earlier_usage.drain(..surplus);
        }
        peer.report = report;
        for (service, tokens) in added {
            add_count(&mut state.demand, &service, tokens);
        }
        Some(AppliedReport { address_hash, silence: was_silent.then_some(silence) })
    }

    /// Marks peers that became silent and forgets those that were silent for long. Returns the
    /// newly silent ones.
    fn update_silent_peers(&self) -> Vec<SilentPeer> {
        let now = boot_time();
        let limit = self.silence_limit();
        let mut state = self.state.lock();
        state
            .peers
            .retain(|peer| peer.silence(now) < SILENT_PEER_RETENTION || peer.reported_at.is_none());
        let mut silent = Vec::new();
        for peer in &mut state.peers {
            if !peer.is_silent && peer.silence(now) > limit {
                peer.is_silent = true;
                silent.push(SilentPeer {
                    address_hash: peer.address_hash,
                    vm: peer.report.vm.clone(),
                    silence: peer.silence(now),
                });
            }
        }
        silent
    }

    /// Returns the ids of the process instances that may take units of quotas: those of the
    /// remembered peers, except silent ones that had said that they leave.
    fn quota_instance_ids(&self) -> Vec<u64> {
        let state = self.state.lock();
        let remaining = state.peers.iter().filter(|peer| !peer.is_silent || peer.report.admits);
        remaining.map(|peer| instance_id(&peer.report)).collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.state.lock().peers.iter().map(|peer| peer.address).collect()
    }
}
