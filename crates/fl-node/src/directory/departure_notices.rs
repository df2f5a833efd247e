//! Notifies peers at once of VMs that are leaving; each peer relays the notices that are new to it.

use super::NodeDirectory;
use fl_kernel::names;
use fl_kernel::services::{Membership, PeerNotice, PeerRpc};
use fl_protocol::Member;
use fl_protocol::platform::ReclaimNotice;
use fl_routing::runner_watch::peers_to_notify;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Notices sent to a peer in one call at most.
const MAX_NOTICES_PER_CALL: usize = 128;

/// Spawns the task that notifies peers.
pub fn spawn(directory: &Arc<NodeDirectory>, mut notices_rx: mpsc::Receiver<ReclaimNotice>) {
    let directory = directory.clone();
    let shutdown = directory.context.shutdown.clone();
    let tasks = directory.context.tasks.clone();
    tasks.clone().spawn(async move {
        loop {
            let mut batch = Vec::new();
            let received = tokio::select! {
                received = notices_rx.recv_many(&mut batch, MAX_NOTICES_PER_CALL) => received,
                () = shutdown.cancelled() => return,
            };
            if received == 0 {
                return;
            }
            notify_peers(&directory, &batch);
        }
    });
}

fn notify_peers(directory: &NodeDirectory, batch: &[ReclaimNotice]) {
    let registry = &directory.context.registry;
    let Ok(peers) = registry.find::<dyn PeerRpc>(names::PEERS) else {
        return;
    };
    let Some(membership) = directory.membership() else {
        return;
    };
    for member in notice_recipients(membership.as_ref(), batch) {
        let notices: Vec<PeerNotice> = batch.iter().map(to_notice).collect();
        let peers = peers.clone();
        let shutdown = directory.context.shutdown.clone();
        directory.context.tasks.spawn(async move {
            tokio::select! {
                // A peer that is not reached learns of the departure from its own polls.
                _ = peers.notify(&member, &notices) => {}
                () = shutdown.cancelled() => {}
            }
        });
    }
}

fn notice_recipients(membership: &dyn Membership, batch: &[ReclaimNotice]) -> Vec<Member> {
    let Some(first) = batch.first() else {
        return Vec::new();
    };
    peers_to_notify(&membership.self_member(), &membership.members(), &first.vm)
}

fn to_notice(notice: &ReclaimNotice) -> PeerNotice {
    PeerNotice::Leaving { vm: notice.vm.clone(), at_ms: notice.leaving_at_ms }
}
