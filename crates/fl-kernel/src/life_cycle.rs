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
    accepting: CancellationToken,
    cancel: CancellationToken,
    tasks: TaskTracker,
    _state: S,
}

impl Node<Starting> {
    /// Makes a node without services.
    pub fn new() -> Self {
        let cancel = CancellationToken::new();
        Node {
            registry: Arc::new(Registry::default()),
            accepting: cancel.child_token(),
            cancel,
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
        self.accepting.cancel();
        self.into_state(Stopping)
    }
}

impl Node<Stopping> {
    /// Ends all tasks and waits for them.
    pub async fn finish(self) {
        self.cancel.cancel();
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
    pub fn accepting(&self) -> CancellationToken {
        self.accepting.clone()
    }

    /// Is cancelled when every task has to end.
    pub fn cancel(&self) -> CancellationToken {
        self.cancel.clone()
    }

    /// Where tasks are spawned that [`Node::finish`] waits for.
    pub fn tasks(&self) -> TaskTracker {
        self.tasks.clone()
    }

    fn into_state<N>(self, state: N) -> Node<N> {
        Node {
            registry: self.registry,
            accepting: self.accepting,
            cancel: self.cancel,
            tasks: self.tasks,
            _state: state,
        }
    }
}
