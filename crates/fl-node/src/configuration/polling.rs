//! Polls the platform and the peers for a higher version of the configuration.

use super::ConfigurationService;
use crate::context::ServiceContext;
use crate::membership::{MEMBERSHIP_SERVICE, MembershipService};
use fl_kernel::names;
use fl_kernel::services::{Membership, PeerRpc};
use fl_platform::ConfigurationStore;
use fl_protocol::event::EventKind;
use fl_protocol::rendezvous::sort_by_rank;
use fl_protocol::{Member, MemberState};
use rand::seq::SliceRandom;
use std::sync::Arc;
use std::time::Duration;

/// Nodes of each data centre that poll the head row often.
const FAST_POLLERS_PER_DATA_CENTER: usize = 2;
/// Time between two polls of a node that polls often, before jitter is applied.
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// Time between two polls of any other node, before jitter is applied.
const SLOW_POLL_INTERVAL: Duration = Duration::from_secs(15);
/// Time between two checks of the versions that the heartbeats of peers carry.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Peers that are asked, one after the other, before the next check.
const MAX_PEERS_PER_CHECK: usize = 2;
/// The rendezvous hashing key by which the nodes of a data centre agree on their pollers.
const POLLER_KEY: &[u8] = b"configuration-poller";

/// Polls the head row, with jitter so that the reads of the nodes are spread over time.
pub(super) async fn poll_platform(
    context: ServiceContext,
    service: Arc<ConfigurationService>,
    store: ConfigurationStore,
) {
    let mut reachable = true;
    loop {
        let result = tokio::select! {
            () = context.shutdown.cancelled() => return,
            result = fetch_newer_from_platform(&service, &store) => result,
        };
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            let detail = result.err().unwrap_or_else(|| "the platform answers again".to_string());
            service.record(EventKind::PlatformChanged, detail);
        }
        let interval = poll_interval(&context, &service).mul_f64(rand::random_range(0.75..1.25));
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
    }
}

async fn fetch_newer_from_platform(
    service: &ConfigurationService,
    store: &ConfigurationStore,
) -> Result<(), String> {
    let head = store.read_head().await.map_err(|error| error.to_string())?;
    if head.version > service.version() {
        let configuration = store.read_body(&head).await.map_err(|error| error.to_string())?;
        service.apply(configuration, "the platform");
    }
    Ok(())
}

fn poll_interval(context: &ServiceContext, service: &ConfigurationService) -> Duration {
    let starting = service.version() == 0;
    if starting || is_fast_poller(context) { FAST_POLL_INTERVAL } else { SLOW_POLL_INTERVAL }
}

/// Returns whether this node polls often.
///
/// All nodes of a data centre choose the same pollers from the same members, without messages.
fn is_fast_poller(context: &ServiceContext) -> bool {
    let Ok(membership) = context.registry.find::<dyn Membership>(names::MEMBERSHIP) else {
        return true;
    };
    let own = &context.settings.node;
    let mut local_members: Vec<Member> = membership
        .members()
        .into_iter()
        .filter(|member| member.data_center == own.data_center)
        .filter(|member| member.state == MemberState::Alive || member.vm == own.vm)
        .collect();
    sort_by_rank(&mut local_members, POLLER_KEY, |member| &member.vm);
    local_members.iter().take(FAST_POLLERS_PER_DATA_CENTER).any(|member| member.vm == own.vm)
}

/// Fetches the configuration from a peer as soon as a heartbeat carries a higher version.
pub(super) async fn poll_peers(context: ServiceContext, service: Arc<ConfigurationService>) {
    let mut ticks = tokio::time::interval(PEER_CHECK_INTERVAL);
    loop {
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        fetch_newer_from_peer(&context, &service).await;
    }
}

async fn fetch_newer_from_peer(context: &ServiceContext, service: &ConfigurationService) {
    let Ok(membership) = context.registry.find::<MembershipService>(MEMBERSHIP_SERVICE) else {
        return;
    };
    let Ok(peers) = context.registry.find::<dyn PeerRpc>(names::PEERS) else { return };
    let Some(mut hint) = membership.configuration_hint() else { return };
    let own_data_center = &context.settings.node.data_center;
    hint.members.shuffle(&mut rand::rng());
    hint.members.sort_by_key(|member| member.data_center != *own_data_center);
    for member in hint.members.iter().take(MAX_PEERS_PER_CHECK) {
        let fetch = peers.fetch_configuration(member, service.version());
        let response = tokio::select! {
            () = context.shutdown.cancelled() => return,
            response = fetch => response,
        };
        if let Ok(Some(configuration)) = response {
            service.apply(configuration, &member.vm);
            return;
        }
    }
}
