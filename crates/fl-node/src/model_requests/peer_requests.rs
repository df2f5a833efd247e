//! Handles the requests of peers with the services of this node.

use super::{ModelRequests, ServiceHandles};
use crate::context::{ServiceContext, StartError};
use async_trait::async_trait;
use fl_kernel::names;
use fl_kernel::services::{
    ClaimStatus, ConfigurationSource, ContentStatus, Directory, EventLog, Ledger, PeerNotice,
    PeerRequestHandler, PeerRpc, Quarantine, RequestHandover, TokenBatch,
};
use fl_peer::PeerOptions;
use fl_protocol::event::{Event, EventKind, HlcTimestamp};
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::{
    ClaimNonce, Configuration, OwnerEpoch, RequestId, RequestRecord, TokenOffset, VmName,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The handler for the requests of peers.
pub struct NodePeerRequestHandler {
    context: ServiceContext,
    requests: Arc<ModelRequests>,
}

/// Starts the RPC server and client between nodes and registers the client.
pub fn start_peers(
    context: &ServiceContext,
    requests: Arc<ModelRequests>,
) -> Result<(), StartError> {
    let settings = &context.settings;
    let address = settings.listen.peer;
    let listen_error =
        |error: std::io::Error| StartError::Listen(address.to_string(), error.to_string());
    let listener = std::net::TcpListener::bind(address).map_err(listen_error)?;
    let options = PeerOptions { listener, key: settings.fleet.key, bind_ip: address.ip() };
    let handler = Arc::new(NodePeerRequestHandler { context: context.clone(), requests });
    let (client, _thread) =
        fl_peer::start(options, handler, context.shutdown.clone()).map_err(listen_error)?;
    context.registry.register::<dyn PeerRpc>(names::PEERS, Arc::new(client))?;
    Ok(())
}

impl NodePeerRequestHandler {
    fn find<T: ?Sized + Send + Sync + 'static>(&self, name: &str) -> Option<Arc<T>> {
        self.context.registry.find::<T>(name).ok()
    }

    fn find_services(&self) -> Option<Arc<ServiceHandles>> {
        self.requests.find_services().ok().map(Arc::new)
    }

    fn record(&self, kind: EventKind, id: Option<RequestId>, detail: String) {
        if let Some(events) = self.find::<dyn EventLog>(names::EVENT_LOG) {
            events.record(kind, id, detail);
        }
    }
}

#[async_trait]
impl PeerRequestHandler for NodePeerRequestHandler {
    fn put_record(&self, record: RequestRecord) {
        self.requests.keep_as_guardian(RequestHandover { record, tokens: Vec::new() });
    }

    fn drop_record(&self, id: RequestId, epoch: OwnerEpoch) {
        let guarded = self.requests.guarded.get(id);
        if guarded.is_some_and(|guarded| guarded.record.epoch <= epoch) {
            self.requests.guarded.remove(id);
        }
    }

    fn find_record(&self, id: RequestId) -> Option<RequestRecord> {
        if let Some(request) = self.requests.owned(id) {
            return Some(request.record());
        }
        self.requests.guarded.get(id).map(|guarded| guarded.record)
    }

    fn hand_over(&self, handover: RequestHandover) {
        if &handover.record.owner != self.requests.own_vm() {
            self.requests.keep_as_guardian(handover);
            return;
        }
        if let Some(services) = self.find_services() {
            let requests = self.requests.clone();
            self.context.spawn(async move {
                requests.become_owner(&services, handover);
            });
        }
    }

    fn take_over(
        &self,
        id: RequestId,
        new_owner: VmName,
        seen_epoch: OwnerEpoch,
    ) -> Option<RequestHandover> {
        super::guardian::take_over_guarded(&self.requests, id, new_owner, seen_epoch)
    }

    async fn read_tokens(
        &self,
        id: RequestId,
        offset: TokenOffset,
        wait: Duration,
    ) -> Option<TokenBatch> {
        let request = self.requests.owned(id)?;
        let chunk = request.read_or_wait(offset, wait).await;
        Some(TokenBatch { tokens: chunk.tokens, state: chunk.progress })
    }

    fn claim_status(&self, nonce: ClaimNonce) -> Option<ClaimStatus> {
        self.find::<dyn Ledger>(names::LEDGER)?.claim_status(nonce)
    }

    fn configuration(&self, above_version: u64) -> Option<Configuration> {
        let source = self.find::<dyn ConfigurationSource>(names::CONFIGURATION)?;
        let current = source.current();
        (current.version > above_version).then(|| current.as_ref().clone())
    }

    fn handle_notices(&self, notices: Vec<PeerNotice>) {
        for notice in notices {
            match notice {
                PeerNotice::Leaving { vm, at_ms } => {
                    if let Some(directory) = self.find::<dyn Directory>(names::DIRECTORY) {
                        directory.mark_leaving(&vm, at_ms);
                    }
                }
                PeerNotice::Judged { fingerprint, quarantined } => {
                    let status = if quarantined {
                        ContentStatus::Quarantined
                    } else {
                        ContentStatus::Suspect
                    };
                    if let Some(quarantine) = self.find::<dyn Quarantine>(names::QUARANTINE) {
                        quarantine.apply_peer_status(fingerprint, status);
                    }
                }
            }
        }
    }

    fn vms(&self) -> Vec<Vm> {
        let Some(directory) = self.find::<dyn Directory>(names::DIRECTORY) else {
            return Vec::new();
        };
        let mut backends = directory.backends(VmKind::Runner);
        backends.extend(directory.backends(VmKind::Application));
        backends.into_iter().map(|backend| backend.vm).collect()
    }

    fn record_unauthenticated_peer(&self, address: SocketAddr, reason: String) {
        metrics::counter!("fl_strangers_refused_total").increment(1);
        self.record(EventKind::StrangerRefused, None, format!("{address}: {reason}"));
    }

    fn stamp(&self) -> HlcTimestamp {
        let events = self.find::<dyn EventLog>(names::EVENT_LOG);
        events.map_or_else(HlcTimestamp::default, |events| events.stamp())
    }

    fn observe(&self, stamp: HlcTimestamp) {
        if let Some(events) = self.find::<dyn EventLog>(names::EVENT_LOG) {
            events.observe(stamp);
        }
    }

    fn keep_events(&self, events: Vec<Event>) {
        if let Some(log) = self.find::<dyn EventLog>(names::EVENT_LOG) {
            log.store_events(events);
        }
    }
}
