//! Drains the requests of a node that shuts down.

use super::{ModelRequests, OwnedRequest, ServiceHandles, guardian};
use fl_kernel::services::ResponseProgress;
use fl_protocol::event::EventKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl ModelRequests {
    /// Waits for requests to end until the deadline, then hands over those that have not.
    ///
    /// The text so far is sent to the guardians first, since the VM may vanish before its deadline.
    pub async fn drain(self: &Arc<Self>, deadline: Instant) {
        let Ok(services) = self.find_services() else { return };
        for request in self.running_requests() {
            send_text_to_guardian(&services, &request).await;
        }
        while Instant::now() < deadline && self.count_running() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        for request in self.running_requests() {
            hand_over_ownership(&services, &request).await;
        }
    }

    fn running_requests(&self) -> Vec<Arc<OwnedRequest>> {
        self.owned.values().into_iter().filter(|request| request.is_running()).collect()
    }
}

async fn send_text_to_guardian(services: &ServiceHandles, request: &OwnedRequest) {
    let record = request.record();
    if let Some(member) = guardian::find_live_member(services, &record.guardian) {
        let _ = services.peers.hand_over(&member, &record, &request.tokens()).await;
    }
}

/// Makes a live peer the owner of a request, and ends it here so that the caller is told to
/// reconnect.
async fn hand_over_ownership(services: &ServiceHandles, request: &OwnedRequest) {
    let own = services.membership.self_member();
    let members = services.membership.members();
    for member in guardian::rank_candidates(members, &own, request.id) {
        let mut record = request.record();
        record.epoch += 1;
        record.owner = member.vm.clone();
        record.guardian = String::new();
        let result = services.peers.hand_over(&member, &record, &request.tokens()).await;
        if result.is_ok() {
            request.finish(ResponseProgress::Moved);
            request.cancel.cancel();
            services.events.record(EventKind::HandedOver, Some(request.id), member.vm);
            metrics::counter!("fl_requests_handed_over_total").increment(1);
            return;
        }
    }
}
