//! Configuration that operators write and all nodes enforce.
//!
//! `fl-config` reads it from INI files; `docs/CONFIGURATION.md` describes the format.

use crate::ids::{ConfigurationVersion, ModelName, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};

/// Complete configuration; an accepted one is immutable and stored under its digest.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version that the head row assigned; 0 is the empty configuration before the first push.
    pub version: ConfigurationVersion,
    /// Version that this configuration was derived from.
    pub parent_version: ConfigurationVersion,
    /// Operator who pushed it.
    pub operator: String,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Models, sorted by name.
    pub models: Vec<Model>,
    /// Plain services, sorted by name.
    pub services: Vec<PlainService>,
}

/// Workspace of a customer: the calls it may make, its limits and its latency targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that callers send in `x-workspace`.
    pub name: WorkspaceName,
    /// SHA-256 of the workspace key in hexadecimal; the key itself is never stored.
    pub key_sha256_hex: String,
    /// Share of the tokens under contention, relative to the weights of other workspaces.
    pub weight: u32,
    /// Input and output tokens per second over all nodes; 0 is no limit.
    pub limit_tokens_per_s: u64,
    /// Requests per second over all nodes; 0 is no limit.
    pub limit_requests_per_s: u64,
    /// Models that the workspace may call, sorted, each as `model` or `model:adapter`.
    pub models: Vec<ModelName>,
    /// Plain services that the workspace may call, sorted.
    pub services: Vec<ServiceName>,
    /// Classes of calls, sorted by name.
    pub classes: Vec<CallClass>,
}

/// Class of calls with its priority and latency targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallClass {
    /// Name that callers send in `x-class`.
    pub name: String,
    /// Priority in admission and in the queues of engines.
    pub priority: Priority,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between two tokens, in milliseconds.
    pub between_tokens_target_ms: u64,
    /// Longest time to the first token, in milliseconds; a call that cannot meet it is refused.
    pub deadline_ms: u64,
}

/// Priority of a call; admission and engines use the same order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person at a counter waits for the response.
    Counter,
    /// The response can wait up to the deadline of its class.
    Deferrable,
}

/// Model that engines load from the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Adapters of the model, sorted.
    pub adapters: Vec<String>,
    /// Size of the weights in bytes; with the rate of the weight store it bounds how fast engines
    /// can load the model.
    pub weights_bytes: u64,
    /// Smallest number of engines in each data centre that keep the model loaded.
    pub copies_per_data_center: u32,
}

/// Plain service, which runs on application servers rather than on model engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainService {
    /// Name of the service in the callers' path.
    pub name: ServiceName,
    /// Pool of application servers that runs the service, as named in the VM list.
    pub pool: String,
    /// Whether calls are idempotent, so that a call may run more than once: true of a stock
    /// look-up, false of a booking.
    pub repeatable: bool,
    /// Timeout of one call, in milliseconds.
    pub timeout_ms: u64,
}

impl Configuration {
    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find(&self.workspaces, name, |workspace| &workspace.name)
    }

    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        find(&self.models, name, |model| &model.name)
    }

    /// Returns the plain service with this name.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        find(&self.services, name, |service| &service.name)
    }
}

impl Workspace {
    /// Returns the class of calls with this name.
    pub fn class(&self, name: &str) -> Option<&CallClass> {
        find(&self.classes, name, |class| &class.name)
    }

    /// Returns whether the workspace may call a model, given as `model` or `model:adapter`.
    pub fn may_call_model(&self, model: &str) -> bool {
        find(&self.models, model, |name| name).is_some()
    }

    /// Returns whether the workspace may call a plain service.
    pub fn may_call_service(&self, service: &str) -> bool {
        find(&self.services, service, |name| name).is_some()
    }
}

fn find<'a, T>(sorted: &'a [T], name: &str, name_of: impl Fn(&T) -> &String) -> Option<&'a T> {
    let index = sorted.binary_search_by(|item| name_of(item).as_str().cmp(name)).ok()?;
    sorted.get(index)
}
