//! Follows the answer to one call, and counts it for or against its version.

use super::Rollouts;
use crate::clock::boot_time;
use crate::log::Log;
use crate::log::event::RolloutAnswerBad;
use fl_protocol::forward::{ServerEntry, StoreVersion};
use fl_protocol::hash64;
use fl_routing::rollout::{AnswerTimes, Check, RouteHash};
use std::sync::Arc;
use std::time::Duration;

/// Event at which the pace of a stream is judged, or its end if it has fewer.
const PACE_EVENTS: u32 = 8;

/// The call that an answer belongs to.
#[derive(Debug, Clone, Copy)]
pub struct WatchedCall<'a> {
    /// Id of the caller's attempt.
    pub request_id: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Tokens of its prompt; 0 if it is no model call.
    pub prompt_tokens: u64,
    /// Server that it was sent to.
    pub server: &'a ServerEntry,
}

/// Follows the answer to a call until it is dropped; does nothing where no rollout is under way.
#[derive(Default)]
pub struct AnswerWatch(Option<Watched>);

struct Watched {
    rollouts: Arc<Rollouts>,
    service: String,
    order: StoreVersion,
    route: RouteHash,
    is_new: bool,
    units: f64,
    sent_at: Duration,
    first_at: Option<Duration>,
    events: u32,
    start_check: Option<u64>,
    pace_check: Option<u64>,
    line: BadAnswerLine,
}

/// What is logged of a bad answer of a new version.
struct BadAnswerLine {
    request_id: String,
    route: String,
    server: String,
    software_version: String,
}

impl AnswerWatch {
    /// Begins to follow the answer to a call that is sent now.
    pub fn begin(rollouts: &Arc<Rollouts>, call: &WatchedCall) -> Self {
        if !rollouts.is_enabled {
            return AnswerWatch(None);
        }
        let now = boot_time();
        let mut state = rollouts.state.lock();
        let Some(known) = state.find(&call.server.service).filter(|known| !known.phase.is_final())
        else {
            return AnswerWatch(None);
        };
        let is_new = call.server.software_version == known.order.software_version;
        let route = hash64(&[call.route.as_bytes()]);
        let units = AnswerTimes::prompt_units(call.prompt_tokens);
        let limit_s = known.times.limit_s(route).map(|limit_s| limit_s * units);
        let start_check = limit_s.and_then(|limit_s| {
            known.pending.begin(route, is_new, Check::Start, now + Duration::from_secs_f64(limit_s))
        });
        let line = BadAnswerLine {
            request_id: call.request_id.to_string(),
            route: call.route.to_string(),
            server: call.server.name.clone(),
            software_version: call.server.software_version.clone(),
        };
        AnswerWatch(Some(Watched {
            rollouts: rollouts.clone(),
            service: call.server.service.clone(),
            order: known.order.written_at,
            route,
            is_new,
            units,
            sent_at: now,
            first_at: None,
            events: 0,
            start_check,
            pace_check: None,
            line,
        }))
    }

    /// Notes the first event of a stream.
    pub fn on_first_event(&mut self, log: &Log) {
        self.on_begun(true, log);
    }

    /// Notes an answer that came whole.
    pub fn on_whole(&mut self, log: &Log) {
        self.on_begun(false, log);
    }

    fn on_begun(&mut self, is_stream: bool, log: &Log) {
        let Some(watched) = &mut self.0 else { return };
        let now = boot_time();
        watched.first_at = Some(now);
        let (route, is_new) = (watched.route, watched.is_new);
        let time_s = (now.saturating_sub(watched.sent_at)).as_secs_f64() / watched.units;
        let start_check = watched.start_check.take();
        let (pace_check, is_late) = watched.with_order(|known| {
            known.record(route, is_new, Check::Failure, false);
            if !is_new {
                known.times.keep(route, time_s);
            }
            let is_late = start_check.is_some_and(|check| !known.pending.meet(check, now));
            let pace_s = known.times.limit_s(pace_key(route)).filter(|_| is_stream);
            let due_at = pace_s.map(|pace_s| now + Duration::from_secs_f64(pace_s) * PACE_EVENTS);
            let check = due_at.and_then(|due| known.pending.begin(route, is_new, Check::Pace, due));
            (check, is_late)
        });
        watched.pace_check = pace_check;
        if is_late {
            watched.log(log, Check::Start);
        }
    }

    /// Notes one more event of a stream.
    pub fn on_event(&mut self, log: &Log) {
        let Some(watched) = &mut self.0 else { return };
        watched.events += 1;
        if watched.events == PACE_EVENTS {
            watched.end_pace(log);
        }
    }

    /// Notes the end of a stream.
    pub fn on_end(&mut self, log: &Log) {
        if let Some(watched) = &mut self.0 {
            watched.end_pace(log);
        }
    }

    /// Notes that the answer failed; `is_break` says whether its connection broke.
    pub fn on_failure(&mut self, is_break: bool, log: &Log) {
        let Some(mut watched) = self.0.take() else { return };
        watched.cancel_checks();
        let (route, is_new, server) = (watched.route, watched.is_new, watched.line.server.clone());
        let counts = watched.with_order(|known| {
            let counts = !is_break || known.is_first_break(&server, boot_time());
            if counts {
                known.record(route, is_new, Check::Failure, true);
            }
            counts
        });
        if counts {
            watched.log(log, Check::Failure);
        }
    }
}

impl Watched {
    /// Calls `update` on the order, unless another one has taken its place.
    fn with_order<T: Default>(&self, update: impl FnOnce(&mut super::KnownOrder) -> T) -> T {
        let mut state = self.rollouts.state.lock();
        let known = state.find(&self.service);
        let known = known.filter(|known| known.order.written_at == self.order);
        known.map(update).unwrap_or_default()
    }

    fn end_pace(&mut self, log: &Log) {
        let (Some(first_at), events) = (self.first_at, self.events) else { return };
        let now = boot_time();
        let (route, is_new) = (self.route, self.is_new);
        let check = self.pace_check.take();
        let is_slow = self.with_order(|known| {
            if !is_new && (1..=PACE_EVENTS).contains(&events) {
                let time_s = now.saturating_sub(first_at).as_secs_f64() / f64::from(events);
                known.times.keep(pace_key(route), time_s);
            }
            check.is_some_and(|check| !known.pending.meet(check, now))
        });
        self.first_at = None;
        if is_slow {
            self.log(log, Check::Pace);
        }
    }

    /// Gives up the checks of an answer that are not due yet.
    fn cancel_checks(&mut self) {
        let now = boot_time();
        let checks = [self.start_check.take(), self.pace_check.take()];
        self.with_order(|known| {
            checks.into_iter().flatten().for_each(|check| known.pending.cancel(check, now));
        });
    }

    fn log(&self, log: &Log, check: Check) {
        if !self.is_new {
            return;
        }
        log.write(&RolloutAnswerBad {
            request_id: &self.line.request_id,
            service: &self.service,
            route: &self.line.route,
            server: &self.line.server,
            software_version: &self.line.software_version,
            check: check.name(),
            after_ms: boot_time().saturating_sub(self.sent_at).as_millis() as u64,
        });
    }
}

impl Drop for AnswerWatch {
    /// A caller that leaves before an answer is due says nothing of it.
    fn drop(&mut self) {
        if let Some(watched) = &mut self.0 {
            watched.cancel_checks();
        }
    }
}

/// Returns the key of a route's times between events. It differs from the route's hash, under which
/// the times to the first event are kept.
fn pace_key(route: RouteHash) -> RouteHash {
    !route
}
