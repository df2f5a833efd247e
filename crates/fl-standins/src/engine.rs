//! A model engine: continuous batching in real time, a limited prefix cache, resumable streams.
//!
//! Prefill and decoding run side by side: prompts are computed one chunk at a time, the most
//! urgent first, and all streams of the batch get one token a step. A step takes longer the more
//! streams are in the batch.

mod api;
mod batch;
mod cache;
mod driver;
mod options;
mod sse;
mod stream;

pub use options::{EngineCounters, EngineFaults, EngineOptions, FencingMode};

use crate::faults::FaultSwitches;
use crate::http_server::Connections;
use batch::Batch;
use fl_protocol::engine::{EngineState, LoadReport};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The stand-in engine.
pub struct Engine {
    options: EngineOptions,
    switches: FaultSwitches<EngineFaults>,
    batch: Mutex<Batch>,
    state: Mutex<EngineState>,
    counters: Mutex<EngineCounters>,
    /// Samples of the load, oldest first; the published report is an old one.
    reports: Mutex<VecDeque<LoadReport>>,
    connections: Arc<Connections>,
    /// Wakes the driver after a change of the batch.
    changed: Notify,
    /// Ends the engine for good.
    cancel: CancellationToken,
    /// Ends the present life; the next one starts empty.
    life: Mutex<CancellationToken>,
}

/// A running engine; dropping it ends it.
pub struct EngineHandle {
    engine: Arc<Engine>,
    address: SocketAddr,
    tasks: TaskTracker,
}

impl Engine {
    /// Starts an engine with an empty cache; port 0 chooses a free one.
    pub async fn start(address: SocketAddr, options: EngineOptions) -> io::Result<EngineHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let cancel = CancellationToken::new();
        let engine = Arc::new(Engine {
            batch: Mutex::new(Batch::new(&options)),
            state: Mutex::new(options.first_state()),
            options,
            switches: FaultSwitches::default(),
            counters: Mutex::default(),
            reports: Mutex::default(),
            connections: Arc::default(),
            changed: Notify::new(),
            life: Mutex::new(cancel.child_token()),
            cancel,
        });
        let tasks = TaskTracker::new();
        tasks.spawn(driver::supervise(engine.clone(), listener, address, tasks.clone()));
        Ok(EngineHandle { engine, address, tasks })
    }

    /// Applies switches; those that act once act now and are cleared.
    fn set_faults(self: &Arc<Self>, mut faults: EngineFaults, exempt: Option<u64>) {
        let silence = std::mem::take(&mut faults.silence_open);
        let die = std::mem::take(&mut faults.die);
        let reclaim_in_ms = faults.reclaim_in_ms.take();
        if let Some(reclaim_in_ms) = reclaim_in_ms {
            faults.leaving_at_ms = Some(crate::clock::unix_ms() + reclaim_in_ms);
        }
        self.switches.set(faults);
        if silence {
            self.connections.silence_all_but(exempt);
        }
        if let Some(reclaim_in_ms) = reclaim_in_ms {
            tokio::spawn(driver::end_after(self.clone(), Duration::from_millis(reclaim_in_ms)));
        }
        if die {
            self.crash();
        }
    }

    /// Ends the present life: all connections drop and the port closes.
    fn crash(&self) {
        self.life.lock().cancel();
    }
}

impl EngineHandle {
    /// Where it listens; the same in each of its lives.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The VM it runs on.
    pub fn vm(&self) -> &str {
        &self.engine.options.vm
    }

    /// The faults that are on.
    pub fn faults(&self) -> EngineFaults {
        self.engine.switches.get()
    }

    /// Sets the faults whole.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.engine.set_faults(faults, None);
    }

    /// Drops all connections and closes the port at once, as a killed process does.
    pub fn crash(&self) {
        self.engine.crash();
    }

    /// Announces that the VM goes away after the given time, and ends the engine then.
    pub fn reclaim(&self, after: Duration) {
        let reclaim_in_ms = Some(after.as_millis() as u64);
        self.set_faults(EngineFaults { reclaim_in_ms, ..self.faults() });
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.set_faults(EngineFaults { silence_open: true, ..self.faults() });
    }

    /// What it counted.
    pub fn counters(&self) -> EngineCounters {
        self.engine.counted()
    }

    /// The load as it is now, without the lag of the published report.
    pub fn current_load(&self) -> LoadReport {
        self.engine.current_load()
    }

    /// What it holds.
    pub fn state(&self) -> EngineState {
        self.engine.state.lock().clone()
    }

    /// Stops it for good and waits until its port is free.
    pub async fn stop(&self) {
        self.engine.cancel.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Waits until it ended for good.
    pub async fn wait_stopped(&self) {
        self.engine.cancel.cancelled().await;
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.engine.cancel.cancel();
    }
}
