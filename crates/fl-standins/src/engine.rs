//! A model engine with continuous batching in real time, a prefix cache of limited size and
//! resumable streams.
//!
//! Prefill and decoding run concurrently and do not slow each other. Prompts are computed one chunk
//! at a time, the most urgent first. All streams of the batch get one token per decoding step, and
//! a step takes longer the more streams are in the batch.

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

/// A stand-in for a model engine. A crash ends one engine instance; with the restart fault an empty
/// one follows on the same address.
pub struct Engine {
    options: EngineOptions,
    switches: FaultSwitches<EngineFaults>,
    batch: Mutex<Batch>,
    state: Mutex<EngineState>,
    counters: Mutex<EngineCounters>,
    /// Samples of the load, oldest first, from which the delayed report is taken.
    reports: Mutex<VecDeque<LoadReport>>,
    connections: Arc<Connections>,
    /// Wakes the task that advances the batch, after a change of the batch.
    changed: Notify,
    /// Ends the engine without a restart.
    cancel: CancellationToken,
    /// Ends the current engine instance; the next one starts empty.
    instance_cancel: Mutex<CancellationToken>,
}

/// A handle to a running engine. Dropping it stops the engine.
pub struct EngineHandle {
    engine: Arc<Engine>,
    address: SocketAddr,
    tasks: TaskTracker,
}

impl Engine {
    /// Starts an engine with an empty cache; port 0 binds a free port.
    pub async fn start(address: SocketAddr, options: EngineOptions) -> io::Result<EngineHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let cancel = CancellationToken::new();
        let engine = Arc::new(Engine {
            batch: Mutex::new(Batch::new(&options)),
            state: Mutex::new(options.initial_state()),
            options,
            switches: FaultSwitches::default(),
            counters: Mutex::default(),
            reports: Mutex::default(),
            connections: Arc::default(),
            changed: Notify::new(),
            instance_cancel: Mutex::new(cancel.child_token()),
            cancel,
        });
        let tasks = TaskTracker::new();
        tasks.spawn(driver::supervise(engine.clone(), listener, address, tasks.clone()));
        Ok(EngineHandle { engine, address, tasks })
    }

    /// Sets all faults. Those that act once take effect now and are cleared. The connection
    /// `exempt` is never silenced, so that it can carry the response.
    fn set_faults(self: &Arc<Self>, mut faults: EngineFaults, exempt: Option<u64>) {
        let silence_open = std::mem::take(&mut faults.silence_open);
        let die = std::mem::take(&mut faults.die);
        let reclaim_in_ms = faults.reclaim_in_ms.take();
        if let Some(reclaim_in_ms) = reclaim_in_ms {
            faults.leaving_at_ms = Some(crate::clock::unix_ms() + reclaim_in_ms);
        }
        self.switches.set(faults);
        if silence_open {
            self.connections.silence_all_but(exempt);
        }
        if let Some(reclaim_in_ms) = reclaim_in_ms {
            tokio::spawn(driver::stop_after(self.clone(), Duration::from_millis(reclaim_in_ms)));
        }
        if die {
            self.crash();
        }
    }

    /// Ends the current engine instance: all connections drop and the port closes.
    fn crash(&self) {
        self.instance_cancel.lock().cancel();
    }
}

impl EngineHandle {
    /// Returns the address that the engine listens on; it stays the same over restarts.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name of the VM that the engine claims to run on.
    pub fn vm(&self) -> &str {
        &self.engine.options.vm
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> EngineFaults {
        self.engine.switches.get()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.engine.set_faults(faults, None);
    }

    /// Drops all connections and closes the port at once, as a killed process does. The engine
    /// restarts if that fault is set.
    pub fn crash(&self) {
        self.engine.crash();
    }

    /// Announces that the VM goes away after the given time, and stops the engine then.
    pub fn reclaim(&self, after: Duration) {
        let reclaim_in_ms = Some(after.as_millis() as u64);
        self.set_faults(EngineFaults { reclaim_in_ms, ..self.faults() });
    }

    /// Silences all connections that are open now, permanently; new ones work.
    pub fn silence_open_connections(&self) {
        self.set_faults(EngineFaults { silence_open: true, ..self.faults() });
    }

    /// Returns the counters, summed over all restarts.
    pub fn counters(&self) -> EngineCounters {
        self.engine.all_counters()
    }

    /// Returns the load at this moment, without the delay of the published report.
    pub fn current_load(&self) -> LoadReport {
        self.engine.current_load()
    }

    /// Returns the loaded models, the role and the greatest fencing token accepted.
    pub fn state(&self) -> EngineState {
        self.engine.state.lock().clone()
    }

    /// Stops the engine without a restart and waits until its port is free.
    pub async fn stop(&self) {
        self.engine.cancel.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Waits until the engine has stopped and will not restart.
    pub async fn wait_stopped(&self) {
        self.engine.cancel.cancelled().await;
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.engine.cancel.cancel();
    }
}
