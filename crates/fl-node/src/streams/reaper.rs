//! Ends requests whose callers stay away, and forgets answers that nobody asks for any more.

use super::{Guarded, Links, OwnedRequest, Streams, attempt, drive, guardian};
use fl_kernel::services::TokenState;
use fl_protocol::Problem;
use fl_protocol::event::EventKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PERIOD: Duration = Duration::from_millis(500);
/// Parts of the resume window after which a guardian's copy is renewed, so that one lost message
/// does not let it expire.
const RENEWALS_PER_WINDOW: u32 = 3;

/// Runs until the node ends.
pub async fn reap(streams: Arc<Streams>, links: Arc<Links>) {
    let cancel = streams.context.cancel.clone();
    let mut ticks = tokio::time::interval(PERIOD);
    let mut renewed_at = Instant::now();
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let window = streams.context.settings.limits.resume_window;
        for request in streams.owned.all() {
            if request.is_running() && request.is_abandoned(window) {
                abandon(&streams, &links, &request).await;
            }
        }
        if renewed_at.elapsed() >= window / RENEWALS_PER_WINDOW {
            renewed_at = Instant::now();
            renew_copies(&streams, &links).await;
        }
        streams.owned.retain(|request| !request.is_expired(window));
        let kept_for = window + streams.give_up_after();
        streams.guarded.retain(|guarded: &Guarded| guarded.since.elapsed() <= kept_for);
        metrics::gauge!("fl_requests_owned").set(streams.owned.count() as f64);
        metrics::gauge!("fl_requests_guarded").set(streams.guarded.count() as f64);
    }
}

async fn renew_copies(streams: &Streams, links: &Links) {
    for request in streams.owned.all() {
        if request.is_running() {
            guardian::refresh(links, &request).await;
        }
    }
}

/// Frees the slot of a request that nobody reads, unless another node carries it on.
///
/// A node that was paused finds its callers gone; the stream then belongs to the new owner.
async fn abandon(streams: &Arc<Streams>, links: &Links, request: &OwnedRequest) {
    let record = request.record();
    if let Some(guardian) = guardian::find_member(links, &record.guardian) {
        let answer = links.peers.find_record(&guardian, request.id).await;
        let taken = matches!(answer, Ok(Some(other)) if other.epoch > record.epoch);
        if taken {
            request.end(TokenState::Moved);
            request.cancel.cancel();
            return;
        }
    }
    if let Some(place) = request.place() {
        attempt::cancel_in_background(streams, &place);
    }
    drive::fail(request, Problem::Cancelled);
    request.cancel.cancel();
    links.events.record(EventKind::Cancelled, Some(request.id), "caller stayed away".to_string());
}
