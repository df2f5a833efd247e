//! The context that every service is started with.

use displaydoc::Display;
use fl_config::Settings;
use fl_kernel::{Registry, RegistryError};
use std::sync::Arc;
use thiserror::Error;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Settings, registry and task handles that are passed to every service.
#[derive(Clone)]
pub struct ServiceContext {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// The registry in which services register themselves and find each other.
    pub registry: Arc<Registry>,
    /// Cancelled when the node stops accepting calls.
    pub draining: CancellationToken,
    /// Cancelled when every task has to end.
    pub shutdown: CancellationToken,
    /// Tracks the tasks that the node waits for when it stops.
    pub tasks: TaskTracker,
    /// The runtime that runs the tasks, also those spawned from threads outside of it.
    pub runtime: Handle,
}

impl ServiceContext {
    /// Spawns a task that the node waits for when it stops.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn_on(task, &self.runtime);
    }
}

/// An error that keeps a service from starting.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// cannot listen on {0}: {1}; free the address or change [listen]
    Listen(String, String),
    /// a service is missing from the registry or registered twice: {0}; report this as a bug
    Registry(RegistryError),
    /// cannot handle signals: {0}; check what the process is allowed to do
    Signal(String),
    /// cannot read the settings: {0}
    Settings(String),
    /// cannot start the runtime: {0}; check the limits of the process
    Runtime(String),
    /// cannot set up logs: {0}; correct [log]
    Log(String),
    /// cannot set up metrics: {0}; start only one node in a process
    Metrics(String),
}

impl From<RegistryError> for StartError {
    fn from(error: RegistryError) -> Self {
        StartError::Registry(error)
    }
}
