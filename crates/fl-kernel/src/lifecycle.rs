//! The life cycle of a node, by typestate: what is not allowed in a state does not compile.

use crate::registry::{Registry, RegistryError};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Services are being registered; nothing is served yet.
pub struct Starting;
/// Requests are served.
pub struct Running;
/// No new request is accepted; those in flight end or are handed over.
pub struct Stopping;

/// A node in one state of its life.
pub struct Node<S> {
    registry: Arc<Registry>,
    draining: CancellationToken,
    shutdown: CancellationToken,
    tasks: TaskTracker,
    _state: S,
}

impl Node<Starting> {
    /// Makes a node without services.
    pub fn new() -> Self {
        let shutdown = CancellationToken::new();
        Node {
            registry: Arc::new(Registry::default()),
            draining: shutdown.child_token(),
            shutdown,
            tasks: TaskTracker::new(),
            _state: Starting,
        }
    }

    /// Registers a service; see [`Registry::register`].
    pub fn register<T>(&self, name: &str, service: Arc<T>) -> Result<(), RegistryError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        self.registry.register(name, service)
    }

    /// Begins to serve.
    pub fn run(self) -> Node<Running> {
        self.into_state(Running)
    }
}

impl Default for Node<Starting> {
    fn default() -> Self {
        Self::new()
    }
}

impl Node<Running> {
    /// Stops accepting; what is in flight goes on.
    pub fn stop(self) -> Node<Stopping> {
        self.draining.cancel();
        self.into_state(Stopping)
    }
}

impl Node<Stopping> {
    /// Ends all tasks and waits for them.
    pub async fn finish(self) {
        self.shutdown.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl<S> Node<S> {
    /// The services.
    pub fn registry(&self) -> Arc<Registry> {
        self.registry.clone()
    }

    /// Is cancelled when the node accepts nothing more.
    pub fn draining_token(&self) -> CancellationToken {
        self.draining.clone()
    }

    /// Is cancelled when every task has to end.
    pub fn shutdown_token(&self) -> CancellationToken {
        self.shutdown.clone()
    }

    /// Where tasks are spawned that [`Node::finish`] waits for.
    pub fn tasks(&self) -> TaskTracker {
        self.tasks.clone()
    }

    fn into_state<N>(self, state: N) -> Node<N> {
        Node {
            registry: self.registry,
            draining: self.draining,
            shutdown: self.shutdown,
            tasks: self.tasks,
            _state: state,
        }
    }
}
