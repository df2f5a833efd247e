//! The service that judges requests that were in flight when a server died without notice.
//!
//! The decisions stand in `fl_routing::quarantine`; see `docs/design/045-crashing-requests.md`.

use crate::context::{ServiceContext, StartError};
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Directory, EventLog, Membership, News, Peers, Quarantine, Verdict};
use fl_protocol::event::EventKind;
use fl_protocol::platform::VmKind;
use fl_protocol::{Fingerprint, RequestId, VmName};
use fl_routing::quarantine::{Judgement, Suspicions, reserved_for_others};
use fl_routing::watch::peers_to_tell;
use parking_lot::Mutex;
use std::sync::Arc;

/// Contents kept under suspicion at most; an entry takes about 100 bytes.
const CONTENTS: usize = 4_096;

/// The quarantine of one node.
pub struct NodeQuarantine {
    context: ServiceContext,
    suspicions: Mutex<Suspicions>,
}

/// Starts the service and registers it.
pub fn start(context: &ServiceContext) -> Result<Arc<NodeQuarantine>, StartError> {
    let suspicions = Mutex::new(Suspicions::new(CONTENTS));
    let quarantine = Arc::new(NodeQuarantine { context: context.clone(), suspicions });
    context.registry.register::<dyn Quarantine>(names::QUARANTINE, quarantine.clone())?;
    Ok(quarantine)
}

impl NodeQuarantine {
    fn is_leaving(&self, server: &VmName) -> bool {
        let directory = self.context.registry.find::<dyn Directory>(names::DIRECTORY);
        directory.is_ok_and(|directory| directory.leaving_at_ms(server).is_some())
    }

    /// The runners on which other nodes run their suspects.
    fn reserved_for_others(&self) -> Vec<VmName> {
        let registry = &self.context.registry;
        let (Ok(membership), Ok(directory)) = (
            registry.find::<dyn Membership>(names::MEMBERSHIP),
            registry.find::<dyn Directory>(names::DIRECTORY),
        ) else {
            return Vec::new();
        };
        let members = membership.members().into_iter();
        let nodes: Vec<VmName> = members
            .filter(|member| member.state.takes_new_work())
            .map(|member| member.vm)
            .collect();
        let backends = directory.backends(VmKind::Runner).into_iter();
        let runners: Vec<VmName> = backends.map(|backend| backend.vm.name).collect();
        reserved_for_others(&self.context.settings.node.vm, &nodes, &runners)
    }

    fn announce(&self, fingerprint: Fingerprint, judgement: Judgement, source: &str) {
        if let Ok(events) = self.context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            let detail = format!("content={fingerprint:016x} {judgement:?} {source}");
            events.record(EventKind::Judged, None, detail);
        }
        let quarantined = match judgement {
            Judgement::Clear => return,
            Judgement::Suspect => false,
            Judgement::Quarantined => true,
        };
        self.tell(News::Judged { fingerprint, quarantined }, fingerprint);
    }

    /// Tells some peers, who tell on what is new to them; each learns it within a few steps.
    fn tell(&self, news: News, fingerprint: Fingerprint) {
        let registry = &self.context.registry;
        let (Ok(peers), Ok(membership)) = (
            registry.find::<dyn Peers>(names::PEERS),
            registry.find::<dyn Membership>(names::MEMBERSHIP),
        ) else {
            return;
        };
        let subject = format!("{fingerprint:016x}");
        let own = membership.self_member();
        for member in peers_to_tell(&own, &membership.members(), &subject) {
            let (peers, news) = (peers.clone(), [news.clone()]);
            let cancel = self.context.cancel.clone();
            self.context.spawn(async move {
                // A peer that is not reached learns from another, or from its own servers.
                let _ = cancel.run_until_cancelled(peers.tell(&member, &news)).await;
            });
        }
    }
}

impl Quarantine for NodeQuarantine {
    fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.suspicions.lock().judgement(fingerprint, unix_ms()) {
            Judgement::Clear => Verdict::Clear,
            Judgement::Suspect => Verdict::Suspect,
            Judgement::Quarantined => Verdict::Quarantined,
        }
    }

    fn may_run(&self, fingerprint: Fingerprint, id: RequestId) -> bool {
        self.suspicions.lock().may_run(fingerprint, id, unix_ms())
    }

    fn runs_at(&self, fingerprint: Fingerprint, runner: &VmName) {
        self.suspicions.lock().runs_at(fingerprint, runner);
    }

    fn kept_from(&self, fingerprint: Fingerprint) -> Vec<VmName> {
        let suspicions = self.suspicions.lock();
        let mut kept_from = suspicions.runners_of_others(fingerprint, unix_ms());
        if suspicions.is_fresh(fingerprint, unix_ms()) {
            drop(suspicions);
            kept_from.extend(self.reserved_for_others());
        }
        kept_from
    }

    fn server_died(&self, server: &VmName, in_flight: &[Fingerprint]) {
        let was_leaving = self.is_leaving(server);
        let changes = self.suspicions.lock().server_died(server, was_leaving, in_flight, unix_ms());
        for (fingerprint, judgement) in changes {
            self.announce(fingerprint, judgement, server);
        }
    }

    fn ended_well(&self, fingerprint: Fingerprint) {
        if self.suspicions.lock().ended_well(fingerprint) {
            self.announce(fingerprint, Judgement::Clear, "ended well");
        }
    }

    fn learn(&self, fingerprint: Fingerprint, verdict: Verdict) {
        if verdict == Verdict::Clear {
            return;
        }
        let quarantined = verdict == Verdict::Quarantined;
        if self.suspicions.lock().learn(fingerprint, quarantined, unix_ms()) {
            let judgement = if quarantined { Judgement::Quarantined } else { Judgement::Suspect };
            self.announce(fingerprint, judgement, "told by a peer");
        }
    }
}
