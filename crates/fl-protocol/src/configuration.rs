//! What operators declare and the system enforces.
//!
//! The INI form is described in `docs/CONFIGURATION.md` and read by `fl-config`.

use crate::ids::{ConfigurationVersion, ModelName, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize};

/// One accepted configuration, whole; bodies are immutable and named by their digest.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version the head row gave it; 0 is the empty configuration before the first push.
    pub version: ConfigurationVersion,
    /// The version it was built on.
    pub parent_version: ConfigurationVersion,
    /// Who pushed it.
    pub operator: String,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Models, sorted by name.
    pub models: Vec<Model>,
    /// Plain services, sorted by name.
    pub services: Vec<PlainService>,
}

/// A customer's workspace: who may call what, how much, and how fast it must be answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name callers send in `x-workspace`.
    pub name: WorkspaceName,
    /// SHA-256 of the workspace key in hexadecimal; the key itself is never stored.
    pub key_sha256_hex: String,
    /// Share of the tokens under contention, relative to the other workspaces.
    pub weight: u32,
    /// Tokens a second over all nodes, input and output; 0 is no limit.
    pub limit_tokens_per_s: u64,
    /// Requests a second over all nodes; 0 is no limit.
    pub limit_requests_per_s: u64,
    /// Models it may call, sorted, each as `model` or `model:adapter`.
    pub models: Vec<ModelName>,
    /// Plain services it may call, sorted.
    pub services: Vec<ServiceName>,
    /// Its classes of calls, sorted by name.
    pub classes: Vec<CallClass>,
}

/// A class of calls with its latency target and priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallClass {
    /// The name callers send in `x-class`.
    pub name: String,
    /// Which calls go first at the door and in the engines.
    pub priority: Priority,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between two tokens, in milliseconds.
    pub between_tokens_target_ms: u64,
    /// Latest time to the first token, in milliseconds; a call that cannot meet it is refused.
    pub deadline_ms: u64,
}

/// Priorities of calls; engines honour the same order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Somebody stands at the counter and waits for the answer.
    Counter,
    /// The answer can wait up to the deadline of its class.
    Deferrable,
}

/// A model that engines load from the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// Its adapters, sorted.
    pub adapters: Vec<String>,
    /// Size of the weights, in bytes; the weight store's rate bounds how fast they spread.
    pub weights_bytes: u64,
    /// Copies each data centre keeps at least.
    pub copies_per_data_center: u32,
}

/// A plain service beside the model engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainService {
    /// The name in the callers' path.
    pub name: ServiceName,
    /// The pool of application servers that runs it, as the VM list names it.
    pub pool: String,
    /// Whether a call may run more than once (a stock look-up may, a booking may not).
    pub repeatable: bool,
    /// How long one call may take, in milliseconds.
    pub timeout_ms: u64,
}

impl Configuration {
    /// Finds a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find(&self.workspaces, name, |workspace| &workspace.name)
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        find(&self.models, name, |model| &model.name)
    }

    /// Finds a plain service by name.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        find(&self.services, name, |service| &service.name)
    }
}

impl Workspace {
    /// Finds a class of calls by name.
    pub fn class(&self, name: &str) -> Option<&CallClass> {
        find(&self.classes, name, |class| &class.name)
    }

    /// Says whether the workspace may call a model.
    pub fn may_call_model(&self, model: &str) -> bool {
        find(&self.models, model, |name| name).is_some()
    }

    /// Says whether the workspace may call a plain service.
    pub fn may_call_service(&self, service: &str) -> bool {
        find(&self.services, service, |name| name).is_some()
    }
}

fn find<'a, T>(sorted: &'a [T], name: &str, name_of: impl Fn(&T) -> &String) -> Option<&'a T> {
    let index = sorted.binary_search_by(|item| name_of(item).as_str().cmp(name)).ok()?;
    sorted.get(index)
}
