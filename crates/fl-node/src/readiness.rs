//! Whether the node may be given calls, and what is missing otherwise.

use crate::context::ServiceContext;
use fl_kernel::names;
use fl_kernel::services::ConfigurationSource;
use std::sync::atomic::{AtomicBool, Ordering};

/// Answers the platform's balancer.
pub struct Readiness {
    context: ServiceContext,
    leaving: AtomicBool,
}

/// The name under which readiness is registered.
pub const READINESS: &str = "readiness";

impl Readiness {
    /// Makes it for a node.
    pub fn new(context: &ServiceContext) -> Self {
        Readiness { context: context.clone(), leaving: AtomicBool::new(false) }
    }

    /// Makes the node not ready, so that the balancer sends new callers elsewhere.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Says whether the node is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// What a caller's request needs and the node lacks; `None` when calls can be served.
    pub fn missing_requirement(&self) -> Option<String> {
        let source = self.context.registry.find::<dyn ConfigurationSource>(names::CONFIGURATION);
        match source {
            Ok(source) if source.current().version > 0 => None,
            _ => Some("no configuration was learned from the platform or a peer".to_string()),
        }
    }

    /// Why the balancer shall not choose this node; empty when it may.
    pub fn not_ready_reasons(&self) -> Vec<String> {
        let mut reasons: Vec<String> = self.missing_requirement().into_iter().collect();
        if self.is_leaving() {
            reasons.push("the node is leaving".to_string());
        }
        reasons
    }
}
