//! The tasks of an engine: its listener, the timer of its batch, its delayed load reports, and the
//! restart after a crash.

use super::Engine;
use crate::clock::unix_ms;
use crate::http_server;
use fl_protocol::engine::LoadReport;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The pause between two attempts to bind the port again after a crash.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The period at which the load is sampled for the delayed reports.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// The period at which streams past their retention time are removed.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Runs one engine instance after another until one ends and no restart is set.
pub(crate) async fn supervise(
    engine: Arc<Engine>,
    mut listener: TcpListener,
    address: SocketAddr,
    tasks: TaskTracker,
) {
    loop {
        let instance_cancel = engine.instance_cancel.lock().clone();
        let instance_tasks = TaskTracker::new();
        let connections = engine.connections.clone();
        instance_tasks.spawn(http_server::serve(
            listener,
            engine.clone(),
            connections,
            instance_cancel.clone(),
            instance_tasks.clone(),
        ));
        instance_tasks.spawn(run_batch(engine.clone(), instance_cancel.clone()));
        instance_tasks.spawn(sample_load(engine.clone(), instance_cancel.clone()));
        instance_tasks.spawn(remove_expired_streams(engine.clone(), instance_cancel.clone()));
        instance_cancel.cancelled().await;
        instance_tasks.close();
        instance_tasks.wait().await;
        engine.clear_instance();
        let Some(next) = next_listener(&engine, address).await else {
            engine.cancel.cancel();
            tasks.close();
            return;
        };
        listener = next;
    }
}

/// Waits for the restart that the faults ask for, and binds the same port again; returns `None`
/// when there is no restart.
async fn next_listener(engine: &Engine, address: SocketAddr) -> Option<TcpListener> {
    let faults = engine.switches.get();
    let restart_after = Duration::from_millis(faults.restart_after_ms?);
    let wait = tokio::time::sleep(restart_after);
    tokio::select! {
        () = wait => {}
        () = engine.cancel.cancelled() => return None,
    }
    *engine.instance_cancel.lock() = engine.cancel.child_token();
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Some(listener);
        }
        if engine.cancel.is_cancelled() {
            return None;
        }
        tokio::time::sleep(BIND_RETRY_PAUSE).await;
    }
}

/// Advances the batch whenever something is due or has changed.
async fn run_batch(engine: Arc<Engine>, instance_cancel: CancellationToken) {
    loop {
        let wake_at = engine.advance();
        let due = async {
            match wake_at {
                Some(wake_at) => tokio::time::sleep_until(wake_at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = engine.changed.notified() => {}
            () = instance_cancel.cancelled() => return,
        }
    }
}

/// Samples the load for the delayed reports; does nothing when reports have no delay.
async fn sample_load(engine: Arc<Engine>, instance_cancel: CancellationToken) {
    if engine.options.load_lag_ms == 0 {
        return;
    }
    loop {
        engine.record_load_sample();
        tokio::select! {
            () = tokio::time::sleep(SAMPLE_PERIOD) => {}
            () = instance_cancel.cancelled() => return,
        }
    }
}

/// Removes the streams that are past their retention time, period by period.
async fn remove_expired_streams(engine: Arc<Engine>, instance_cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(EXPIRY_PERIOD) => engine.batch.lock().remove_expired(Instant::now()),
            () = instance_cancel.cancelled() => return,
        }
    }
}

/// Ends an engine without a restart once the time of a reclaim notice is over.
pub(crate) async fn stop_after(engine: Arc<Engine>, after: Duration) {
    tokio::time::sleep(after).await;
    engine.cancel.cancel();
}

impl Engine {
    /// Advances the batch to the current time and returns when it has to be advanced next.
    pub(super) fn advance(&self) -> Option<Instant> {
        let advanced = self.batch.lock().advance(Instant::now());
        if advanced.crashed {
            self.crash();
        }
        advanced.wake_at
    }

    /// Resets what a crash loses, and counts the crash.
    fn clear_instance(&self) {
        self.batch.lock().clear();
        *self.state.lock() = self.options.initial_state();
        self.reports.lock().clear();
        self.counters.lock().crashes += 1;
    }

    /// Returns the load at this moment.
    pub(super) fn current_load(&self) -> LoadReport {
        let mut report = self.batch.lock().load_report();
        report.as_of_ms = unix_ms();
        report.leaving_at_ms = self.switches.get().leaving_at_ms;
        report
    }

    /// Returns the load as it is published: delayed, except for the reclaim notice.
    pub(super) fn published_load(&self) -> LoadReport {
        let lag_ms = self.options.load_lag_ms;
        if lag_ms == 0 {
            return self.current_load();
        }
        let published_until_ms = unix_ms().saturating_sub(lag_ms);
        let reports = self.reports.lock();
        let index = reports.partition_point(|report| report.as_of_ms <= published_until_ms);
        let report = reports.get(index.saturating_sub(1)).cloned().unwrap_or_default();
        LoadReport { leaving_at_ms: self.switches.get().leaving_at_ms, ..report }
    }

    fn record_load_sample(&self) {
        let report = self.current_load();
        let oldest_ms = report.as_of_ms.saturating_sub(2 * self.options.load_lag_ms);
        let mut reports = self.reports.lock();
        reports.push_back(report);
        while reports.len() > 2 && reports[1].as_of_ms < oldest_ms {
            reports.pop_front();
        }
    }
}
