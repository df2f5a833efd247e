//! Chooses the software version of a call, and a server of it.

use super::Rollouts;
use crate::clock::boot_time;
use crate::servers::{ChosenServer, NoServer, ServerRequest, Servers};
use fl_routing::rollout::{Phase, Side, Situation, VersionFilter, choose_side, filters};
use std::time::Duration;

/// Chooses a server for a call as [`Servers::choose`] does, of a version that the service's rollout
/// allows, if there is one.
///
/// # Errors
///
/// Returns why no server of the versions that were tried last can be chosen.
pub fn choose_server(
    rollouts: &Rollouts,
    servers: &Servers,
    request: &ServerRequest,
) -> Result<ChosenServer, NoServer> {
    let now = boot_time();
    let allowed = rollouts.filters(request, now);
    let Some((first, second)) = allowed.split_first() else { return servers.choose(request) };
    let chosen = servers.choose(&ServerRequest { versions: Some(first), ..*request });
    let chosen = match (chosen, second.first()) {
        // New servers stand in for old ones only if there are none of these at all.
        (Err(error), Some(second))
            if matches!(first, VersionFilter::Only(_))
                || error == NoServer::NoneUsable && !servers.offers(request.service, first) =>
        {
            servers.choose(&ServerRequest { versions: Some(second), ..*request })
        }
        (chosen, _) => chosen,
    };
    let chosen = chosen?;
    let is_first_attempt = request.excluded_servers.is_empty();
    rollouts.count_call(request.service, &chosen.entry.software_version, is_first_attempt, now);
    Ok(chosen)
}

impl Rollouts {
    /// Returns the versions that a call may go to, best first; none if the service has no order.
    fn filters(&self, request: &ServerRequest, now: Duration) -> Vec<VersionFilter> {
        if !self.is_enabled {
            return Vec::new();
        }
        let mut state = self.state.lock();
        let Some(known) = state.find(request.service) else { return Vec::new() };
        let is_promised = known.phase == Phase::Moving && now < known.promised_until;
        let situation = Situation {
            phase: known.phase,
            elapsed: known.elapsed(now),
            is_good: known.evidence.is_good(),
            is_informed: known.is_informed || is_promised,
            calls: &known.calls,
            exposure_share: self.bounds.exposure_share,
            budget: &known.budget,
        };
        let side = match request.excluded_servers.is_empty() {
            true => choose_side(&known.schedule(), &situation, rand::random()),
            // A call that failed is not used to find out more.
            false if known.phase == Phase::Watching => Side::Old,
            false => choose_side(&known.schedule(), &situation, 0.0),
        };
        let to = &known.order.software_version;
        if is_promised && request.origin.is_none() {
            // A call that began at an old server now could be cut off when these stop.
            return vec![VersionFilter::Only(to.clone())];
        }
        filters(known.phase, side, to, &known.excluded, request.origin.is_some())
    }

    fn count_call(&self, service: &str, version: &str, is_first_attempt: bool, now: Duration) {
        if let Some(known) = self.state.lock().find(service) {
            let is_new = known.order.software_version == version;
            known.count_call(is_new, is_first_attempt, now);
            let version = if is_new { "new" } else { "old" };
            metrics::counter!("fl_rollout_calls_total", "version" => version).increment(1);
        }
    }
}
