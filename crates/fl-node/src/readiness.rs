//! Whether the node can serve calls, and the reasons why not.

use crate::context::ServiceContext;
use fl_kernel::names;
use fl_kernel::services::ConfigurationSource;
use std::sync::atomic::{AtomicBool, Ordering};

/// The readiness that the platform's load balancer and the caller API ask for.
pub struct Readiness {
    context: ServiceContext,
    leaving: AtomicBool,
}

/// The registry name of [`Readiness`].
pub const READINESS: &str = "readiness";

impl Readiness {
    /// Creates the readiness of a node that is not leaving.
    pub fn new(context: &ServiceContext) -> Self {
        Readiness { context: context.clone(), leaving: AtomicBool::new(false) }
    }

    /// Marks the node as not ready, so that the load balancer sends new callers elsewhere.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the node is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns what the node lacks to serve calls; `None` when calls can be served.
    pub fn missing_requirement(&self) -> Option<String> {
        let source = self.context.registry.find::<dyn ConfigurationSource>(names::CONFIGURATION);
        match source {
            Ok(source) if source.current().version > 0 => None,
            _ => Some("no configuration was learned from the platform or a peer".to_string()),
        }
    }

    /// Returns the reasons why the load balancer must not choose this node; empty when it may.
    pub fn not_ready_reasons(&self) -> Vec<String> {
        let mut reasons: Vec<String> = self.missing_requirement().into_iter().collect();
        if self.is_leaving() {
            reasons.push("the node is leaving".to_string());
        }
        reasons
    }
}
