//! Drives an engine's lives: its listener, the clock of its batch, its lagging load reports.

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

/// Pause between two tries to bind the port of an earlier life.
const BIND_RETRY: Duration = Duration::from_millis(20);
/// Pause between two samples of the load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// Pause between two rounds of forgetting ended streams.
const FORGET_PERIOD: Duration = Duration::from_secs(1);

/// Runs life after life until one ends without a successor.
pub(crate) async fn supervise(
    engine: Arc<Engine>,
    mut listener: TcpListener,
    address: SocketAddr,
    tasks: TaskTracker,
) {
    loop {
        let life = engine.life.lock().clone();
        let lived = TaskTracker::new();
        let connections = engine.connections.clone();
        lived.spawn(http_server::serve(
            listener,
            engine.clone(),
            connections,
            life.clone(),
            lived.clone(),
        ));
        lived.spawn(drive(engine.clone(), life.clone()));
        lived.spawn(sample_load(engine.clone(), life.clone()));
        lived.spawn(forget(engine.clone(), life.clone()));
        life.cancelled().await;
        lived.close();
        lived.wait().await;
        engine.end_life();
        let Some(next) = next_listener(&engine, address).await else {
            engine.cancel.cancel();
            tasks.close();
            return;
        };
        listener = next;
    }
}

/// Waits for the restart that the faults ask for, and binds the same port again.
async fn next_listener(engine: &Engine, address: SocketAddr) -> Option<TcpListener> {
    let faults = engine.switches.get();
    let restart_after = Duration::from_millis(faults.restart_after_ms?);
    let wait = tokio::time::sleep(restart_after);
    tokio::select! {
        () = wait => {}
        () = engine.cancel.cancelled() => return None,
    }
    *engine.life.lock() = engine.cancel.child_token();
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Some(listener);
        }
        if engine.cancel.is_cancelled() {
            return None;
        }
        tokio::time::sleep(BIND_RETRY).await;
    }
}

/// Advances the batch whenever something is due.
async fn drive(engine: Arc<Engine>, life: CancellationToken) {
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
            () = life.cancelled() => return,
        }
    }
}

/// Samples the load for reports that lag.
async fn sample_load(engine: Arc<Engine>, life: CancellationToken) {
    if engine.options.load_lag_ms == 0 {
        return;
    }
    loop {
        engine.sample();
        tokio::select! {
            () = tokio::time::sleep(SAMPLE_PERIOD) => {}
            () = life.cancelled() => return,
        }
    }
}

async fn forget(engine: Arc<Engine>, life: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(FORGET_PERIOD) => engine.batch.lock().forget(Instant::now()),
            () = life.cancelled() => return,
        }
    }
}

/// Ends an engine for good after a reclaim notice.
pub(crate) async fn end_after(engine: Arc<Engine>, after: Duration) {
    tokio::time::sleep(after).await;
    engine.cancel.cancel();
}

impl Engine {
    /// Lets the batch go on to now and tells when it has to go on next.
    pub(super) fn advance(&self) -> Option<Instant> {
        let advance = self.batch.lock().advance(Instant::now());
        if advance.crashed {
            self.crash();
        }
        advance.wake_at
    }

    fn end_life(&self) {
        self.batch.lock().clear();
        *self.state.lock() = self.options.first_state();
        self.reports.lock().clear();
        self.counters.lock().crashes += 1;
    }

    /// The load as it is now.
    pub(super) fn current_load(&self) -> LoadReport {
        let mut report = self.batch.lock().report();
        report.as_of_ms = unix_ms();
        report.leaving_at_ms = self.switches.get().leaving_at_ms;
        report
    }

    /// The load as it is published: some time old, but for the reclaim notice.
    pub(super) fn load_published(&self) -> LoadReport {
        let lag_ms = self.options.load_lag_ms;
        if lag_ms == 0 {
            return self.current_load();
        }
        let shown_until_ms = unix_ms().saturating_sub(lag_ms);
        let reports = self.reports.lock();
        let index = reports.partition_point(|report| report.as_of_ms <= shown_until_ms);
        let report = reports.get(index.saturating_sub(1)).cloned().unwrap_or_default();
        LoadReport { leaving_at_ms: self.switches.get().leaving_at_ms, ..report }
    }

    fn sample(&self) {
        let report = self.current_load();
        let oldest_ms = report.as_of_ms.saturating_sub(2 * self.options.load_lag_ms);
        let mut reports = self.reports.lock();
        reports.push_back(report);
        while reports.len() > 2 && reports[1].as_of_ms < oldest_ms {
            reports.pop_front();
        }
    }
}
