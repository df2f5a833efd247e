//! What it costs to place a call at a server, in milliseconds.

use super::{Candidate, PlacementRequest};

/// Additional cost of a call to another data centre, in milliseconds.
const REMOTE_ZONE_MS: f64 = 3.0;
/// Cost of a server whose failure score is 1, in milliseconds.
const FAILURE_MS: f64 = 400.0;
/// Share of the target within which a first token is predicted to be in time. The rest covers calls
/// of other nodes that are not known yet.
const IN_TIME_SHARE: f64 = 0.75;
/// Cost of each predicted millisecond beyond that share.
const LATE_FACTOR: f64 = 8.0;
/// Share of the target that a prompt may take on a server of mean pace to count as short: it is in
/// time on a slow server too.
const SHORT_PROMPT_SHARE: f64 = 0.5;
/// Charge of a short prompt for the time of a server faster than the mean, for each millisecond
/// there and each multiple of the mean that the server is faster.
const FAST_SERVER_CHARGE: f64 = 2.0;
/// Share of the predicted time of a call by which its cost varies at random. Many nodes that know
/// of each other's calls late would otherwise all choose the same server.
const RANDOM_SHARE: f64 = 0.2;

const MS_PER_S: f64 = 1000.0;

/// The predicted times of a call at a server, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct PredictedTimes {
    /// Time until the first token of a model call or the start of any other call.
    pub wait_ms: f64,
    /// Time to prefill the call's own prompt at the server.
    pub own_ms: f64,
    /// Time to prefill it on a server of mean pace.
    pub mean_ms: f64,
}

/// Returns the cost of placing a call at a server; `random` is between 0 and 1. `differ` says
/// whether the servers differ in pace: if not, the target does not count.
pub(super) fn cost_ms(
    request: &PlacementRequest,
    candidate: &Candidate,
    times: PredictedTimes,
    differ: bool,
    random: f64,
) -> f64 {
    let remote_ms = if candidate.entry.zone == request.own_zone { 0.0 } else { REMOTE_ZONE_MS };
    // A server that fails calls counts as one with a longer wait, so that it is not preferred to one
    // whose first token would be a little late.
    let wait_ms = times.wait_ms + remote_ms + FAILURE_MS * candidate.load.failure_score;
    match request.target.filter(|_| differ && request.call.is_some()) {
        Some(target) => {
            let target_ms = target.as_secs_f64() * MS_PER_S;
            let late_ms = (wait_ms - target_ms * IN_TIME_SHARE).max(0.0);
            let random_ms = random * (RANDOM_SHARE * times.own_ms).max(1.0);
            wait_ms + LATE_FACTOR * late_ms + charge_ms(target_ms, candidate, times) + random_ms
        }
        None => wait_ms + random,
    }
}

/// Returns the charge for the time of a fast server that a short prompt does not need.
fn charge_ms(target_ms: f64, candidate: &Candidate, times: PredictedTimes) -> f64 {
    let is_short = times.mean_ms <= target_ms * SHORT_PROMPT_SHARE;
    let faster_by = if is_short { (candidate.speed.pace - 1.0).max(0.0) } else { 0.0 };
    FAST_SERVER_CHARGE * faster_by * times.own_ms
}
