//! Records that the node is ready, and hands its events over when it stops.

use super::{NODE_EVENT_LOG, NodeEventLog};
use crate::context::ServiceContext;
use fl_kernel::services::{ConfigurationSource, EventLog, Membership, PeerRpc};
use fl_kernel::{RegistryError, names};
use fl_protocol::event::EventKind;
use fl_protocol::{Member, hash64};

/// Events that a node hands over to a peer when it stops.
const LAST_EVENTS: usize = 2_048;
/// Peers that are tried one after the other; few, since little time is left.
const HANDOVER_ATTEMPTS: usize = 3;

/// Records that the node is ready, once it has a configuration.
pub async fn record_node_ready(context: ServiceContext) {
    let Ok(source) = context.registry.find::<dyn ConfigurationSource>(names::CONFIGURATION) else {
        return;
    };
    let mut changes = source.subscribe();
    while source.current().version == 0 {
        let change = context.shutdown.run_until_cancelled(changes.changed()).await;
        if !matches!(change, Some(Ok(()))) {
            return;
        }
    }
    if let Ok(log) = context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
        log.record(EventKind::NodeReady, None, format!("version {}", source.current().version));
    }
}

/// Hands the newest events over to a peer, so that the time line still shows them after the process
/// has ended.
pub async fn hand_over_events(context: &ServiceContext) -> Result<(), RegistryError> {
    let log = context.registry.find::<NodeEventLog>(NODE_EVENT_LOG)?;
    let peers = context.registry.find::<dyn PeerRpc>(names::PEERS)?;
    let membership = context.registry.find::<dyn Membership>(names::MEMBERSHIP)?;
    let events = log.newest(LAST_EVENTS);
    for member in choose_handover_peers(&membership.self_member(), membership.members()) {
        if peers.keep_events(&member, &events).await.is_ok() {
            return Ok(());
        }
    }
    Ok(())
}

/// Chooses the peers that may keep the events of a node, best first.
///
/// Peers in another data centre come first, since the node's own may go down as a whole. Rendezvous
/// hashing spreads the events over the peers.
pub fn choose_handover_peers(own: &Member, members: Vec<Member>) -> Vec<Member> {
    let mut peers = members;
    peers.retain(|member| member.vm != own.vm && member.state.takes_new_work());
    peers.sort_by_key(|member| {
        let rank = hash64(&[own.vm.as_bytes(), member.vm.as_bytes()]);
        (member.data_center == own.data_center, rank)
    });
    peers.truncate(HANDOVER_ATTEMPTS);
    peers
}
