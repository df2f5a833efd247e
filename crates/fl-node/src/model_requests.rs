//! Accepted model requests: owned here, or guarded here for an owner in another data centre.
//!
//! The ways weighed and the measurement stand in `docs/design/030-acceptance-and-guardian.md`.

mod attempt;
mod drain;
mod guardian;
mod locate;
pub mod owned_request;
mod peer_requests;
mod reaper;
mod request_table;
mod response_reader;
mod retries;

pub use owned_request::OwnedRequest;
pub use peer_requests::start_peers;
pub use response_reader::{ReadStep, ResponseReader};

use crate::context::ServiceContext;
use fl_kernel::RegistryError;
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{
    Admission, ConfigurationSource, Directory, EventLog, Membership, Peers, Permit, Quarantine,
    Router, TokenState,
};
use fl_platform::engine::EngineClient;
use fl_platform::{HttpClient, Reuse};
use fl_protocol::chat::ChatRequest;
use fl_protocol::event::EventKind;
use fl_protocol::{
    CallClass, Configuration, Problem, RequestId, RequestRecord, VmName, WorkspaceName, hash64,
};
use request_table::RequestTable;
use std::sync::Arc;
use std::time::Duration;

/// A record that this node guards.
#[derive(Clone)]
pub struct GuardedRequest {
    /// The record.
    pub record: RequestRecord,
    /// The text that the owner handed over, from offset 0.
    pub tokens: Vec<String>,
    /// When it came, for records whose owner never says how they ended.
    pub stored_at: std::time::Instant,
}

/// A call that was admitted and waits to be accepted.
pub struct AdmittedCall {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// Its class.
    pub class: CallClass,
    /// The body as it came.
    pub body_json: String,
    /// The body as it was read.
    pub chat: ChatRequest,
    /// Its place in the queue.
    pub permit: Box<dyn Permit>,
}

/// The services that streams use, found once all are registered.
pub struct ServiceHandles {
    admission: Arc<dyn Admission>,
    directory: Arc<dyn Directory>,
    events: Arc<dyn EventLog>,
    membership: Arc<dyn Membership>,
    peers: Arc<dyn Peers>,
    quarantine: Arc<dyn Quarantine>,
    router: Arc<dyn Router>,
}

impl ServiceHandles {
    /// Where calls are admitted.
    pub fn admission(&self) -> &dyn Admission {
        self.admission.as_ref()
    }
}

/// Carries accepted model requests to their end.
pub struct ModelRequests {
    context: ServiceContext,
    engines: EngineClient,
    owned: RequestTable<Arc<OwnedRequest>>,
    guarded: RequestTable<GuardedRequest>,
}

/// The name under which streams are registered.
pub const MODEL_REQUESTS: &str = "streams";

/// Starts the service.
pub fn start(context: &ServiceContext) -> Result<Arc<ModelRequests>, RegistryError> {
    let requests = Arc::new(ModelRequests {
        context: context.clone(),
        engines: EngineClient::new(HttpClient::new(Reuse::Pooled)),
        owned: RequestTable::default(),
        guarded: RequestTable::default(),
    });
    context.registry.register::<ModelRequests>(MODEL_REQUESTS, requests.clone())?;
    Ok(requests)
}

/// Identifies the content of a model call.
pub fn fingerprint(body_json: &str) -> u64 {
    hash64(&[body_json.as_bytes()])
}

impl ModelRequests {
    /// Starts the tasks that watch members, leaving VMs and abandoned requests.
    pub fn start_watchers(self: &Arc<Self>) -> Result<(), RegistryError> {
        let services = Arc::new(self.services()?);
        self.context.spawn(guardian::watch_members(self.clone(), services.clone()));
        self.context.spawn(reaper::reap(self.clone(), services.clone()));
        Ok(())
    }

    /// Finds the services that streams use.
    pub fn services(&self) -> Result<ServiceHandles, RegistryError> {
        let registry = &self.context.registry;
        Ok(ServiceHandles {
            admission: registry.find::<dyn Admission>(names::ADMISSION)?,
            directory: registry.find::<dyn Directory>(names::DIRECTORY)?,
            events: registry.find::<dyn EventLog>(names::EVENT_LOG)?,
            membership: registry.find::<dyn Membership>(names::MEMBERSHIP)?,
            peers: registry.find::<dyn Peers>(names::PEERS)?,
            quarantine: registry.find::<dyn Quarantine>(names::QUARANTINE)?,
            router: registry.find::<dyn Router>(names::ROUTER)?,
        })
    }

    /// The VM of this node.
    pub fn own_vm(&self) -> &VmName {
        &self.context.settings.node.vm
    }

    /// Accepts a call: chooses its runner, places the copy at a guardian, begins to spawn_run_to_completion it.
    ///
    /// The engine starts while the copy travels, so that the copy adds its time only where it
    /// takes longer than the way to the engine. An error is a refusal: nothing was accepted.
    pub async fn accept(
        self: &Arc<Self>,
        call: AdmittedCall,
    ) -> Result<Arc<OwnedRequest>, Problem> {
        let services = self.services().map_err(internal_problem)?;
        services.directory.note_call();
        let record = self.new_record(&call);
        let cancel = self.context.cancel.child_token();
        let request = OwnedRequest::new(record, call.chat, Vec::new(), cancel, Some(call.permit));
        let request = Arc::new(request);
        if let Err(running) = self.owned.put_if_absent(call.id, request.clone()) {
            return Ok(running);
        }
        if let Err(problem) = retries::choose_first_runner(&services, &request, &call.class) {
            self.owned.remove(call.id);
            return Err(problem);
        }
        self.spawn_run_to_completion(request.clone(), call.class);
        guardian::place_replica(&services, &request).await;
        services.events.record(EventKind::Accepted, Some(call.id), call.workspace);
        metrics::counter!("fl_requests_accepted_total").increment(1);
        Ok(request)
    }

    /// Takes an owned request by id.
    pub fn owned(&self, id: RequestId) -> Option<Arc<OwnedRequest>> {
        self.owned.get(id)
    }

    /// Counts the owned requests that still run.
    pub fn count_running(&self) -> usize {
        self.owned.values().iter().filter(|request| request.is_running()).count()
    }

    /// Cancels a request on its caller's word.
    pub fn cancel(&self, request: &OwnedRequest) {
        let body = Problem::Cancelled.body(Some(request.id));
        request.finish(TokenState::Failed(to_json(&body)));
        request.cancel.cancel();
    }

    fn new_record(&self, call: &AdmittedCall) -> RequestRecord {
        let now_ms = unix_ms();
        RequestRecord {
            id: call.id,
            workspace: call.workspace.clone(),
            class: call.class.name.clone(),
            priority: call.class.priority,
            body_json: call.body_json.clone(),
            fingerprint: fingerprint(&call.body_json),
            owner: self.own_vm().clone(),
            guardian: VmName::new(),
            epoch: 0,
            stream: None,
            restarts: Vec::new(),
            accepted_at_ms: now_ms,
            deadline_at_ms: now_ms + call.class.deadline_ms,
        }
    }

    fn spawn_run_to_completion(self: &Arc<Self>, request: Arc<OwnedRequest>, class: CallClass) {
        let requests = self.clone();
        self.context.spawn(retries::run_to_completion(requests, request, class));
    }

    /// The configuration in force, once there is a source of it.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let registry = &self.context.registry;
        let source = registry.find::<dyn ConfigurationSource>(names::CONFIGURATION).ok()?;
        Some(source.current())
    }

    fn give_up_after(&self) -> Duration {
        self.context.settings.limits.give_up
    }
}

/// Wraps a fault of the node's own wiring.
pub(crate) fn internal_problem(error: impl std::fmt::Display) -> Problem {
    Problem::Internal(error.to_string())
}

/// Prints a value that always has a JSON form.
pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
