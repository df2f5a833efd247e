//! Accepted model requests.
//!
//! A request is owned by the node that carries it to its end. Another node, in another data centre
//! if there is one, is its guardian: it holds a replica of the record and takes the request over if
//! the owner is lost. The alternatives and a measurement are in
//! `docs/design/030-acceptance-and-guardian.md`.

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
    Admission, ConfigurationSource, Directory, EventLog, Membership, PeerRpc, Permit, Quarantine,
    ResponseProgress, Router,
};
use fl_platform::engine::EngineClient;
use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::chat::ChatRequest;
use fl_protocol::event::EventKind;
use fl_protocol::{
    CallClass, Configuration, Problem, RequestId, RequestRecord, VmName, WorkspaceName, hash64,
};
use request_table::RequestTable;
use std::sync::Arc;
use std::time::Duration;

/// A replica of a request's record that this node holds as its guardian.
#[derive(Clone)]
pub struct GuardedRequest {
    /// The record as the owner last sent it.
    pub record: RequestRecord,
    /// The tokens that the owner sent along, from offset 0.
    pub tokens: Vec<String>,
    /// When the replica was stored; it expires if the owner never reports the end of the request.
    pub stored_at: std::time::Instant,
}

/// An admitted call that is not accepted yet.
pub struct AdmittedCall {
    /// The id of the request.
    pub id: RequestId,
    /// The workspace that makes the call.
    pub workspace: WorkspaceName,
    /// The class of the call.
    pub class: CallClass,
    /// The body as the caller sent it.
    pub body_json: String,
    /// The parsed body.
    pub chat: ChatRequest,
    /// The permit that counts the call as in flight until it is dropped.
    pub permit: Box<dyn Permit>,
}

/// The services that model requests use, looked up once all are registered.
pub struct ServiceHandles {
    admission: Arc<dyn Admission>,
    directory: Arc<dyn Directory>,
    events: Arc<dyn EventLog>,
    membership: Arc<dyn Membership>,
    peers: Arc<dyn PeerRpc>,
    quarantine: Arc<dyn Quarantine>,
    router: Arc<dyn Router>,
}

impl ServiceHandles {
    /// Returns the admission service.
    pub fn admission(&self) -> &dyn Admission {
        self.admission.as_ref()
    }
}

/// The service that carries accepted model requests to their end.
pub struct ModelRequests {
    context: ServiceContext,
    engines: EngineClient,
    owned: RequestTable<Arc<OwnedRequest>>,
    guarded: RequestTable<GuardedRequest>,
}

/// The registry name of [`ModelRequests`].
pub const MODEL_REQUESTS: &str = "streams";

/// Creates the service and registers it.
pub fn start(context: &ServiceContext) -> Result<Arc<ModelRequests>, RegistryError> {
    let requests = Arc::new(ModelRequests {
        context: context.clone(),
        engines: EngineClient::new(HttpClient::new(ConnectionReuse::Pooled)),
        owned: RequestTable::default(),
        guarded: RequestTable::default(),
    });
    context.registry.register::<ModelRequests>(MODEL_REQUESTS, requests.clone())?;
    Ok(requests)
}

/// Returns the hash that identifies the content of a model call.
pub fn fingerprint(body_json: &str) -> u64 {
    hash64(&[body_json.as_bytes()])
}

impl ModelRequests {
    /// Starts the tasks that watch the membership and reap abandoned and expired requests.
    pub fn start_watchers(self: &Arc<Self>) -> Result<(), RegistryError> {
        let services = Arc::new(self.find_services()?);
        self.context.spawn(guardian::watch_members(self.clone(), services.clone()));
        self.context.spawn(reaper::reap(self.clone(), services.clone()));
        Ok(())
    }

    /// Looks up the services that model requests use.
    pub fn find_services(&self) -> Result<ServiceHandles, RegistryError> {
        let registry = &self.context.registry;
        Ok(ServiceHandles {
            admission: registry.find::<dyn Admission>(names::ADMISSION)?,
            directory: registry.find::<dyn Directory>(names::DIRECTORY)?,
            events: registry.find::<dyn EventLog>(names::EVENT_LOG)?,
            membership: registry.find::<dyn Membership>(names::MEMBERSHIP)?,
            peers: registry.find::<dyn PeerRpc>(names::PEERS)?,
            quarantine: registry.find::<dyn Quarantine>(names::QUARANTINE)?,
            router: registry.find::<dyn Router>(names::ROUTER)?,
        })
    }

    /// Returns the VM of this node.
    pub fn own_vm(&self) -> &VmName {
        &self.context.settings.node.vm
    }

    /// Accepts a call: chooses its runner, starts its execution and places a replica at a guardian.
    ///
    /// The engine starts while the replica is sent, so that the replica adds latency only if it
    /// takes longer than the connection to the engine.
    ///
    /// # Errors
    ///
    /// An error is a refusal: nothing was accepted.
    pub async fn accept(
        self: &Arc<Self>,
        call: AdmittedCall,
    ) -> Result<Arc<OwnedRequest>, Problem> {
        let services = self.find_services().map_err(internal_problem)?;
        services.directory.record_model_call();
        let record = self.new_record(&call);
        let cancel = self.context.shutdown.child_token();
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

    /// Returns a request that this node owns.
    pub fn owned(&self, id: RequestId) -> Option<Arc<OwnedRequest>> {
        self.owned.get(id)
    }

    /// Returns the number of owned requests that have not ended.
    pub fn count_running(&self) -> usize {
        self.owned.values().iter().filter(|request| request.is_running()).count()
    }

    /// Cancels a request for its caller, who then reads a `cancelled` problem.
    pub fn cancel(&self, request: &OwnedRequest) {
        let body = Problem::Cancelled.body(Some(request.id));
        request.finish(ResponseProgress::Failed(to_json(&body)));
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

    /// Returns the configuration in force; `None` before the configuration service is registered.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let registry = &self.context.registry;
        let source = registry.find::<dyn ConfigurationSource>(names::CONFIGURATION).ok()?;
        Some(source.current())
    }

    fn give_up_after(&self) -> Duration {
        self.context.settings.limits.give_up
    }
}

/// Returns the problem for an error within the node, such as a service that is not registered.
pub(crate) fn internal_problem(error: impl std::fmt::Display) -> Problem {
    Problem::Internal(error.to_string())
}

/// Serializes a value whose serialization cannot fail.
pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
