//! What every service is started with.

use displaydoc::Display;
use fl_config::Settings;
use fl_kernel::{Registry, RegistryError};
use std::sync::Arc;
use thiserror::Error;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// What every service is started with.
#[derive(Clone)]
pub struct ServiceContext {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// Where services register themselves and find each other.
    pub registry: Arc<Registry>,
    /// Is cancelled when the node accepts nothing more.
    pub accepting: CancellationToken,
    /// Is cancelled when every task has to end.
    pub cancel: CancellationToken,
    /// Where tasks are spawned that the node waits for at its end.
    pub tasks: TaskTracker,
    /// Where tasks run, whichever thread spawns them.
    pub runtime: Handle,
}

impl ServiceContext {
    /// Spawns a task that the node waits for at its end.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn_on(task, &self.runtime);
    }
}

/// Why a service did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// cannot listen on {0}: {1}; free the address or change [listen]
    Listen(String, String),
    /// a service is wired wrongly: {0}
    Registry(RegistryError),
    /// cannot handle signals: {0}; check what the process is allowed to do
    Signal(String),
    /// cannot read the settings: {0}
    Settings(String),
    /// cannot start the runtime: {0}; check the limits of the process
    Runtime(String),
    /// cannot set up logs: {0}; correct [log]
    Log(String),
    /// cannot set up metrics: {0}; start one node a process
    Metrics(String),
}

impl From<RegistryError> for StartError {
    fn from(error: RegistryError) -> Self {
        StartError::Registry(error)
    }
}
