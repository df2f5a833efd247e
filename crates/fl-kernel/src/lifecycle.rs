//! Life cycle of a node as a typestate: operations that a state does not allow do not compile.

use crate::registry::{Registry, RegistryError};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// State of a node that registers its services and accepts no requests yet.
pub struct Starting;
/// State of a node that accepts requests.
pub struct Running;
/// State of a node that accepts no new requests, while those in flight end or are handed over.
pub struct Stopping;

/// Node in the life cycle state `S`.
pub struct Node<S> {
    registry: Arc<Registry>,
    draining: CancellationToken,
    shutdown: CancellationToken,
    tasks: TaskTracker,
    _state: S,
}

impl Node<Starting> {
    /// Creates a node without services.
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

    /// Registers a service under a name; see [`Registry::register`].
    pub fn register<T>(&self, name: &str, service: Arc<T>) -> Result<(), RegistryError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        self.registry.register(name, service)
    }

    /// Starts to accept requests.
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
    /// Cancels [`Node::draining_token`], so that no new requests are accepted; those in flight
    /// continue.
    pub fn stop(self) -> Node<Stopping> {
        self.draining.cancel();
        self.into_state(Stopping)
    }
}

impl Node<Stopping> {
    /// Cancels [`Node::shutdown_token`] and waits until all tasks have ended.
    pub async fn finish(self) {
        self.shutdown.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl<S> Node<S> {
    /// Returns the registry of the node's services.
    pub fn registry(&self) -> Arc<Registry> {
        self.registry.clone()
    }

    /// Returns the token that is cancelled when the node stops accepting requests.
    pub fn draining_token(&self) -> CancellationToken {
        self.draining.clone()
    }

    /// Returns the token that is cancelled when every task must end.
    pub fn shutdown_token(&self) -> CancellationToken {
        self.shutdown.clone()
    }

    /// Returns the tracker for tasks that [`Node::finish`] waits for.
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
