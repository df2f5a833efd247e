//! Provisional services.

use crate::context::{ServiceContext, StartError};
use async_trait::async_trait;
use fl_kernel::names;
use fl_kernel::services::*;
use fl_protocol::event::EventKind;
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::*;
use parking_lot::RwLock;
use std::sync::Arc;
use tokio::sync::watch;

struct Interim {
    context: ServiceContext,
    configuration: RwLock<Arc<Configuration>>,
    config_tx: watch::Sender<Arc<Configuration>>,
    members: RwLock<Vec<Member>>,
    members_tx: watch::Sender<u64>,
}

/// Starts them.
pub fn start(context: &ServiceContext) -> Result<(), StartError> {
    let empty = Arc::new(Configuration::default());
    let interim = Arc::new(Interim {
        context: context.clone(),
        configuration: RwLock::new(empty.clone()),
        config_tx: watch::Sender::new(empty),
        members: RwLock::new(Vec::new()),
        members_tx: watch::Sender::new(0),
    });
    let registry = &context.registry;
    registry.register::<dyn EventLog>(names::EVENT_LOG, interim.clone())?;
    registry.register::<dyn ConfigurationSource>(names::CONFIGURATION, interim.clone())?;
    registry.register::<dyn Membership>(names::MEMBERSHIP, interim.clone())?;
    registry.register::<dyn Admission>(names::ADMISSION, interim.clone())?;
    registry.register::<dyn Quarantine>(names::QUARANTINE, interim.clone())?;
    context.spawn(poll(interim));
    Ok(())
}

async fn poll(interim: Arc<Interim>) {
    let http = fl_platform::HttpClient::new(fl_platform::Reuse::Pooled);
    let platform = &interim.context.settings.platform;
    let timeout = platform.request_timeout;
    let mut ticks = tokio::time::interval(std::time::Duration::from_millis(300));
    loop {
        tokio::select! {
            () = interim.context.cancel.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let uri = format!("http://{}/v1/vms", platform.vm_list);
        if let Ok(vms) = http.get_json::<Vec<Vm>>(&uri, timeout).await {
            let members = vms.iter().filter(|vm| vm.kind == VmKind::Entry).filter_map(|vm| {
                let address = vm.address.parse().ok()?;
                Some(Member {
                    vm: vm.name.clone(),
                    data_center: vm.data_center.clone(),
                    peer_address: address,
                    gossip_address: address,
                    admin_address: address,
                    incarnation: 1,
                    state: if vm.leaving { MemberState::Leaving } else { MemberState::Alive },
                })
            });
            let members: Vec<Member> = members.collect();
            if *interim.members.read() != members {
                *interim.members.write() = members;
                interim.members_tx.send_modify(|count| *count += 1);
            }
        }
        let uri = format!("http://{}/v1/objects/configuration-interim", platform.objects);
        if let Ok(configuration) = http.get_json::<Configuration>(&uri, timeout).await {
            interim.offer(configuration);
        }
    }
}

impl EventLog for Interim {
    fn record(&self, event: EventKind, request: Option<RequestId>, detail: String) {
        eprintln!(
            "{} {event:?} {:?} {detail}",
            self.context.settings.node.vm,
            request.map(request_id_text)
        );
    }
}

impl ConfigurationSource for Interim {
    fn current(&self) -> Arc<Configuration> {
        self.configuration.read().clone()
    }
    fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.config_tx.subscribe()
    }
    fn offer(&self, configuration: Configuration) -> bool {
        let mut current = self.configuration.write();
        if configuration.version <= current.version {
            return false;
        }
        *current = Arc::new(configuration);
        self.config_tx.send_replace(current.clone());
        true
    }
}

impl Membership for Interim {
    fn self_member(&self) -> Member {
        let settings = &self.context.settings;
        Member {
            vm: settings.node.vm.clone(),
            data_center: settings.node.data_center.clone(),
            peer_address: settings.listen.peer_advertised,
            gossip_address: settings.listen.gossip_advertised,
            admin_address: settings.listen.admin,
            incarnation: 1,
            state: MemberState::Alive,
        }
    }
    fn members(&self) -> Vec<Member> {
        self.members.read().clone()
    }
    fn subscribe(&self) -> watch::Receiver<u64> {
        self.members_tx.subscribe()
    }
    fn leave(&self) {}
}

struct Free;
impl Permit for Free {
    fn charge(&self, _tokens: u64) {}
}

#[async_trait]
impl Admission for Interim {
    async fn admit(
        &self,
        _workspace: &WorkspaceName,
        _class: &CallClass,
        _prompt_tokens: u64,
        _max_tokens: u64,
    ) -> Result<Box<dyn Permit>, Problem> {
        Ok(Box::new(Free))
    }
    fn try_retry(&self, _back_end: &str) -> bool {
        true
    }
    fn count_first_try(&self, _back_end: &str) {}
}

impl Quarantine for Interim {
    fn verdict(&self, _fingerprint: Fingerprint) -> Verdict {
        Verdict::Clear
    }
    fn server_died(&self, _server: &VmName, _in_flight: &[Fingerprint]) {}
    fn ended_well(&self, _fingerprint: Fingerprint) {}
    fn learn(&self, _fingerprint: Fingerprint, _verdict: Verdict) {}
}
