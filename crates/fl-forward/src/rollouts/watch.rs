//! Judges the answers of rollouts, and reads the rows on them when this node hears too few peers.

use super::{Rollouts, State};
use crate::clock::boot_time;
use crate::log::Log;
use crate::log::event::RolloutStopped;
use fl_kernel::forward::PlatformStore;
use fl_protocol::forward::Route;
use fl_protocol::{ServiceName, hash64};
use fl_routing::rollout::{BadSign, Phase, RolloutBounds, RouteHash, Tally};
use std::sync::Arc;
use std::time::Duration;

/// How often answers are judged.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two reads of the rows on rollouts, as a part of the time for which a read counts.
const READ_DIVISOR: u32 = 3;
/// Pause between two urgent reports of a node that has moved; the end is decided only by recent
/// ones.
const MOVED_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A version that this node found to be bad.
struct FoundBad {
    service: ServiceName,
    software_version: String,
    elapsed: Duration,
    sign: BadSign,
}

/// Judges answers and reads what has to be read, until dropped. `routes` returns the routes in
/// force, `count_read` counts a read of the store by whether it succeeded.
pub async fn watch(
    rollouts: &Rollouts,
    store: &dyn PlatformStore,
    log: &Log,
    routes: impl Fn() -> Vec<Arc<Route>>,
    count_read: impl Fn(bool),
) {
    if !rollouts.is_enabled {
        return;
    }
    let mut read_at: Option<Duration> = None;
    let mut incarnation = store.incarnation();
    let mut reported_at = Duration::ZERO;
    loop {
        let now = boot_time();
        let routes = routes();
        let route_name = |route: RouteHash| {
            let found = routes.iter().find(|known| hash64(&[known.name.as_bytes()]) == route);
            found.map_or_else(String::new, |route| route.name.clone())
        };
        for found in rollouts.judge(now, &routes) {
            log_stopped(log, &found, route_name);
        }
        if rollouts.has_moved() && now.saturating_sub(reported_at) >= MOVED_REPORT_INTERVAL {
            reported_at = now;
            rollouts.urgent.notify_one();
        }
        if store.incarnation() > incarnation {
            incarnation = store.incarnation();
            rollouts.request_all();
        }
        let pause = rollouts.bounds.informed_within() / READ_DIVISOR;
        let is_due = read_at.is_none_or(|at| now.saturating_sub(at) >= pause);
        if is_due && rollouts.needs_status() {
            read_at = Some(now);
            let statuses = store.read_rollouts().await;
            count_read(statuses.is_ok());
            if let Ok(statuses) = statuses {
                rollouts.apply_statuses(&statuses);
            }
        }
        tokio::time::sleep(JUDGE_INTERVAL).await;
    }
}

fn log_stopped(log: &Log, found: &FoundBad, route_name: impl Fn(RouteHash) -> String) {
    let Tally { good, bad } = found.sign.new;
    log.write(&RolloutStopped {
        service: &found.service,
        software_version: &found.software_version,
        route: &found.sign.route.map_or_else(String::new, route_name),
        check: found.sign.check.name(),
        bad,
        answers: good + bad,
        old_share: found.sign.old_share,
        elapsed_ms: found.elapsed.as_millis() as u64,
    });
}

impl Rollouts {
    /// Judges the answers so far. Returns the versions that are bad, each once.
    fn judge(&self, now: Duration, routes: &[Arc<Route>]) -> Vec<FoundBad> {
        let mut state = self.state.lock();
        let found = state.judge(now, routes, &self.bounds);
        drop(state);
        if !found.is_empty() {
            self.urgent.notify_one();
        }
        found
    }

    /// Returns whether the rows on rollouts have to be read: once, and while a rollout is under way
    /// and this node hears too few peers to know how far it is.
    fn needs_status(&self) -> bool {
        let state = self.state.lock();
        let is_unread = !state.has_read_status && state.has_read_orders;
        is_unread
            || state
                .orders
                .iter()
                .any(|known| known.needs_reread() || !known.phase.is_final() && !known.hears_half)
    }

    /// Has the rows read again, since the store came back from an older copy.
    fn request_all(&self) {
        self.state.lock().orders.iter_mut().for_each(super::KnownOrder::request_reread);
    }

    fn has_moved(&self) -> bool {
        let state = self.state.lock();
        state.orders.iter().any(|known| known.phase == Phase::Moving && known.is_informed)
    }
}

impl State {
    fn judge(
        &mut self,
        now: Duration,
        routes: &[Arc<Route>],
        bounds: &RolloutBounds,
    ) -> Vec<FoundBad> {
        let has_read_status = self.has_read_status;
        let mut found = Vec::new();
        for known in &mut self.orders {
            let service = &known.order.service;
            let of_service = routes.iter().filter(|route| {
                route.services.iter().any(|(name, weight)| name == service && *weight > 0)
            });
            let longest_call = of_service.map(|route| route.timeout).max();
            known.longest_call = longest_call.unwrap_or(known.longest_call);
            known.update(now, bounds);
            known.is_informed &= has_read_status;
            known.hears_half &= has_read_status;
            let sign = known.evidence.bad_sign().filter(|_| known.phase < Phase::Stopped);
            if let Some(sign) = sign {
                known.advance(Phase::Stopped, now);
                found.push(FoundBad {
                    service: known.order.service.clone(),
                    software_version: known.order.software_version.clone(),
                    elapsed: known.elapsed(now),
                    sign,
                });
            }
            let labels = [("service", known.order.service.clone())];
            metrics::gauge!("fl_rollout_suspicion", &labels).set(known.evidence.suspicion());
            metrics::gauge!("fl_rollout_phase", &labels).set(f64::from(known.phase as u8));
        }
        found
    }
}
