//! Isolates request contents that were in flight when a server crashed, and quarantines those with
//! which servers crash repeatedly.
//!
//! The decision logic is in `fl_routing::quarantine`; see `docs/design/045-crashing-requests.md`.

use crate::context::{ServiceContext, StartError};
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{
    ContentStatus, Directory, EventLog, Membership, PeerNotice, PeerRpc, Quarantine,
};
use fl_protocol::event::EventKind;
use fl_protocol::platform::VmKind;
use fl_protocol::{Fingerprint, Member, MemberState, RequestId, VmName};
use fl_routing::quarantine::{
    QuarantineStatus, QuarantineTable, StatusChange, runners_reserved_for_others,
};
use parking_lot::Mutex;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Suspect contents that are tracked at most; an entry takes about 100 bytes.
const MAX_TRACKED_CONTENTS: usize = 4_096;

/// How long a new quarantine waits for the peers to be notified before it is reported to callers.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);

/// The quarantine service of one node.
pub struct NodeQuarantine {
    /// A reference to the service itself for the tasks that notify peers.
    weak_self: Weak<NodeQuarantine>,
    context: ServiceContext,
    table: Mutex<QuarantineTable>,
    /// Contents of which the peers are being notified.
    unannounced: Mutex<Vec<Fingerprint>>,
}

/// Starts the quarantine service and registers it.
pub fn start(context: &ServiceContext) -> Result<Arc<NodeQuarantine>, StartError> {
    let quarantine = Arc::new_cyclic(|weak_self: &Weak<NodeQuarantine>| NodeQuarantine {
        weak_self: weak_self.clone(),
        context: context.clone(),
        table: Mutex::new(QuarantineTable::new(MAX_TRACKED_CONTENTS)),
        unannounced: Mutex::default(),
    });
    context.registry.register::<dyn Quarantine>(names::QUARANTINE, quarantine.clone())?;
    Ok(quarantine)
}

impl NodeQuarantine {
    fn is_leaving(&self, server: &VmName) -> bool {
        let directory = self.context.registry.find::<dyn Directory>(names::DIRECTORY);
        directory.is_ok_and(|directory| directory.leaving_at_ms(server).is_some())
    }

    /// Returns the runners on which other nodes run their suspect contents.
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
        runners_reserved_for_others(&self.context.settings.node.vm, &nodes, &runners)
    }

    fn record(&self, fingerprint: Fingerprint, status: QuarantineStatus, source: &str) {
        if let Ok(events) = self.context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            let detail = format!("content={fingerprint:016x} {status:?} {source}");
            events.record(EventKind::Judged, None, detail);
        }
    }

    /// Notifies all peers at the same time, since the caller may send the content to any of them
    /// next.
    fn notify_peers(&self, changes: &[StatusChange]) {
        let registry = &self.context.registry;
        let (Ok(peers), Ok(membership)) = (
            registry.find::<dyn PeerRpc>(names::PEERS),
            registry.find::<dyn Membership>(names::MEMBERSHIP),
        ) else {
            return;
        };
        let to_notice = |change: &StatusChange| PeerNotice::Judged {
            fingerprint: change.0,
            quarantined: change.1 == QuarantineStatus::Quarantined,
        };
        let notices: Vec<PeerNotice> = changes.iter().map(to_notice).collect();
        let own_vm = &self.context.settings.node.vm;
        let is_live_peer =
            |member: &Member| member.state != MemberState::Dead && member.vm != *own_vm;
        let notifications = membership.members().into_iter().filter(is_live_peer).map(|member| {
            let (peers, notices) = (peers.clone(), notices.clone());
            // A peer that is not reached learns of the content from its own crashed servers.
            async move { peers.notify(&member, &notices).await.is_ok() }
        });
        let notifications = futures::future::join_all(notifications.collect::<Vec<_>>());
        let Some(quarantine) = self.weak_self.upgrade() else {
            return;
        };
        let announced: Vec<Fingerprint> = changes.iter().map(|change| change.0).collect();
        self.unannounced.lock().extend(&announced);
        self.context.spawn(async move {
            tokio::pin!(notifications);
            let in_time = tokio::time::timeout(NOTIFY_TIMEOUT, &mut notifications).await;
            quarantine.unannounced.lock().retain(|content| !announced.contains(content));
            if in_time.is_err() {
                let _ = quarantine.context.shutdown.run_until_cancelled(notifications).await;
            }
        });
    }
}

impl Quarantine for NodeQuarantine {
    fn status(&self, fingerprint: Fingerprint) -> ContentStatus {
        match self.table.lock().status(fingerprint, unix_ms()) {
            QuarantineStatus::Clear => ContentStatus::Clear,
            QuarantineStatus::Suspect => ContentStatus::Suspect,
            // Not reported yet: the caller would send the content to another node at once, which
            // may not know of the quarantine.
            QuarantineStatus::Quarantined if self.unannounced.lock().contains(&fingerprint) => {
                ContentStatus::Suspect
            }
            QuarantineStatus::Quarantined => ContentStatus::Quarantined,
        }
    }

    fn may_run(&self, fingerprint: Fingerprint, id: RequestId) -> bool {
        self.table.lock().try_start(fingerprint, id, unix_ms())
    }

    fn record_run(&self, fingerprint: Fingerprint, runner: &VmName) {
        self.table.lock().set_probe_runner(fingerprint, runner);
    }

    fn excluded_runners(&self, fingerprint: Fingerprint) -> Vec<VmName> {
        let table = self.table.lock();
        let mut excluded = table.other_probe_runners(fingerprint, unix_ms());
        if table.changed_recently(fingerprint, unix_ms()) {
            drop(table);
            excluded.extend(self.reserved_for_others());
        }
        excluded
    }

    fn record_server_death(&self, server: &VmName, in_flight: &[Fingerprint]) {
        let was_leaving = self.is_leaving(server);
        let changes =
            self.table.lock().record_server_death(server, was_leaving, in_flight, unix_ms());
        if changes.is_empty() {
            return;
        }
        self.notify_peers(&changes);
        for (fingerprint, status) in changes {
            self.record(fingerprint, status, server);
        }
    }

    fn record_success(&self, fingerprint: Fingerprint) {
        if self.table.lock().record_success(fingerprint) {
            self.record(fingerprint, QuarantineStatus::Clear, "completed without a crash");
        }
    }

    fn apply_peer_status(&self, fingerprint: Fingerprint, status: ContentStatus) {
        if status == ContentStatus::Clear {
            return;
        }
        let quarantined = status == ContentStatus::Quarantined;
        if self.table.lock().apply_peer_status(fingerprint, quarantined, unix_ms()) {
            let status =
                if quarantined { QuarantineStatus::Quarantined } else { QuarantineStatus::Suspect };
            self.record(fingerprint, status, "reported by a peer");
        }
    }
}
