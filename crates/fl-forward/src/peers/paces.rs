//! Shares observations of servers' speed with the peers, in some of the rounds of reports.

use super::Datagram;
use super::exchange::send_to;
use crate::clock::boot_time;
use crate::node::Node;
use fl_routing::server_pace::share_interval;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// The rounds in which observations are sent.
#[derive(Debug, Default)]
pub(super) struct PaceRounds {
    /// The datagram of the current round, if it carries observations.
    datagram: Option<Datagram>,
    /// The boot time from which the next round carries some.
    next_at: Duration,
}

impl PaceRounds {
    /// Decides whether the round that begins carries observations.
    pub(super) fn begin_round(&mut self, node: &Node) {
        self.datagram = None;
        let now = boot_time();
        if now < self.next_at {
            return;
        }
        let shared = node.servers.take_shared_paces();
        if shared.expected.is_empty() {
            return;
        }
        let datagram = Datagram::ServerPaces(shared);
        let bytes = postcard::to_stdvec(&datagram).map_or(0, |bytes| bytes.len());
        let peers = node.peers.addresses().len();
        self.next_at = now + share_interval(peers, bytes);
        self.datagram = Some(datagram);
    }

    /// Sends the observations of the current round to some peers.
    pub(super) fn send(&self, socket: &UdpSocket, receivers: &[SocketAddr]) {
        if let Some(datagram) = &self.datagram {
            send_to(socket, receivers, datagram);
        }
    }
}
