//! Cancels requests whose callers do not return, and removes responses and replicas that have
//! expired.

use super::{
    GuardedRequest, ModelRequests, OwnedRequest, ServiceHandles, attempt, guardian, retries,
};
use fl_kernel::services::ResponseProgress;
use fl_protocol::Problem;
use fl_protocol::event::EventKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REAP_INTERVAL: Duration = Duration::from_millis(500);
/// How often a replica is refreshed within the resume window, so that it does not expire because of
/// one lost message.
const RENEWALS_PER_WINDOW: u32 = 3;

/// Reaps requests periodically until the node stops.
pub async fn reap(requests: Arc<ModelRequests>, services: Arc<ServiceHandles>) {
    let shutdown = requests.context.shutdown.clone();
    let mut ticks = tokio::time::interval(REAP_INTERVAL);
    let mut renewed_at = Instant::now();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let window = requests.context.settings.limits.resume_window;
        for request in requests.owned.values() {
            if request.is_running() && request.is_abandoned(window) {
                cancel_abandoned(&requests, &services, &request).await;
            }
        }
        if renewed_at.elapsed() >= window / RENEWALS_PER_WINDOW {
            renewed_at = Instant::now();
            renew_replicas(&requests, &services).await;
        }
        requests.owned.retain(|request| !request.is_expired(window));
        let max_age = window + requests.give_up_after();
        requests.guarded.retain(|guarded: &GuardedRequest| guarded.stored_at.elapsed() <= max_age);
        metrics::gauge!("fl_requests_owned").set(requests.owned.count() as f64);
        metrics::gauge!("fl_requests_guarded").set(requests.guarded.count() as f64);
    }
}

async fn renew_replicas(requests: &ModelRequests, services: &ServiceHandles) {
    for request in requests.owned.values() {
        if request.is_running() {
            guardian::refresh_replica(services, &request).await;
        }
    }
}

/// Cancels a request that nobody reads, unless another node has taken it over.
///
/// A node that was paused finds its callers gone; the engine's stream then belongs to the new owner
/// and must not be cancelled.
async fn cancel_abandoned(
    requests: &Arc<ModelRequests>,
    services: &ServiceHandles,
    request: &OwnedRequest,
) {
    let record = request.record();
    if let Some(guardian) = guardian::find_live_member(services, &record.guardian) {
        let response = services.peers.find_record(&guardian, request.id).await;
        let is_taken_over = matches!(response, Ok(Some(other)) if other.epoch > record.epoch);
        if is_taken_over {
            request.finish(ResponseProgress::Moved);
            request.cancel.cancel();
            return;
        }
    }
    if let Some(location) = request.stream_location() {
        attempt::cancel_in_background(requests, &location);
    }
    retries::fail_request(request, Problem::Cancelled);
    request.cancel.cancel();
    services.events.record(
        EventKind::Cancelled,
        Some(request.id),
        "the caller did not return".to_string(),
    );
}
