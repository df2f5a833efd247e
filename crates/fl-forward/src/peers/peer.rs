//! A peer and its last report.

use super::PeerReport;
use crate::usage::WindowCounts;
use fl_routing::rendezvous::name_hash;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a silent peer counts as admitting calls. After that its route table is too old to
/// accept API keys.
const SILENT_ADMITTING_MAX: Duration = Duration::from_secs(6);

/// A peer and its last report.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    /// The hash of the address, by which nodes are ranked for the limits of servers.
    pub(super) address_hash: u64,
    pub(super) reported_at: Option<Duration>,
    pub(super) is_silent: bool,
    /// When it last said that its links to the servers are lost.
    pub(super) links_lost_at: Option<Duration>,
    pub(super) report: PeerReport,
    /// Usage counts of earlier process instances that may not have been reported yet.
    pub(super) earlier_usage: Vec<Vec<WindowCounts>>,
}

impl Peer {
    pub(super) fn new(address: SocketAddr) -> Self {
        Peer {
            address,
            address_hash: name_hash(&address.to_string()),
            reported_at: None,
            is_silent: true,
            links_lost_at: None,
            report: PeerReport::default(),
            earlier_usage: Vec::new(),
        }
    }

    /// Returns the usage counts of all its process instances.
    pub(super) fn usage(&self) -> Vec<Vec<WindowCounts>> {
        let mut usage = self.earlier_usage.clone();
        usage.push(self.report.usage.clone());
        usage
    }

    /// Returns the time since the last report, 0 if there was none.
    pub(super) fn silence(&self, now: Duration) -> Duration {
        self.reported_at.map_or(Duration::ZERO, |reported_at| now.saturating_sub(reported_at))
    }

    /// Returns whether it said within a time that its links to the servers are lost.
    pub(super) fn has_lost_links(&self, now: Duration, within: Duration) -> bool {
        self.links_lost_at.is_some_and(|at| now.saturating_sub(at) < within)
    }

    pub(super) fn may_admit(&self, now: Duration) -> bool {
        self.reported_at.is_some() && self.report.admits && self.silence(now) < SILENT_ADMITTING_MAX
    }
}
