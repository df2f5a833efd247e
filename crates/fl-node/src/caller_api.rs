//! The HTTP/1.1 API for callers.
//!
//! Every connection is limited in the size of its head and body and in the time that they may take.
//! Callers find the API described in `docs/API.md`.

mod accepted_requests;
mod auth;
mod event_stream;
mod model_calls;
pub mod response;
pub mod service_calls;

use crate::context::{ServiceContext, StartError};
use crate::model_requests::{ModelRequests, ServiceHandles};
use crate::readiness::Readiness;
use bytes::Bytes;
use fl_clients::{
    ActiveRequest, AnsweredBody, BodyError, BodyReader, ClientLimits, ClientResources,
    ConnectionSlot, TimedConnection, limit_buffers, serve_until_closed,
};
use fl_kernel::RegistryError;
use fl_kernel::services::EventLog;
use fl_protocol::chat::{CHAT_PATH, REQUESTS_PATH, SERVICES_PATH};
use fl_protocol::event::EventKind;
use fl_protocol::{ExecutionState, Problem};
use http::{Method, Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use response::ResponseBody;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The smallest buffer that hyper accepts; it panics on less.
const HYPER_MIN_BUFFER_BYTES: usize = 8192;
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bodies that do not go on have made room by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The services that the API for callers uses.
pub struct CallerApi {
    context: ServiceContext,
    requests: Arc<ModelRequests>,
    services: Arc<ServiceHandles>,
    events: Arc<dyn EventLog>,
    readiness: Arc<Readiness>,
    clients: ClientResources,
}

/// Starts to listen for callers.
pub async fn start(
    context: &ServiceContext,
    requests: Arc<ModelRequests>,
    readiness: Arc<Readiness>,
) -> Result<(), StartError> {
    let address = context.settings.listen.callers;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen(address.to_string(), error.to_string()))?;
    limit_buffers(&listener);
    let services = Arc::new(requests.find_services()?);
    let events = context.registry.find::<dyn EventLog>(fl_kernel::names::EVENT_LOG)?;
    let clients = ClientResources::new(ClientLimits::of(context.settings.limits.vm));
    let api =
        CallerApi { context: context.clone(), requests, services, events, readiness, clients };
    context.spawn(listen(Arc::new(api), listener));
    Ok(())
}

async fn listen(api: Arc<CallerApi>, listener: TcpListener) {
    let shutdown = api.context.shutdown.clone();
    let limits = &api.context.settings.limits;
    loop {
        // A caller that does not read its answer is given as long as a request without tokens.
        let callers = api.clients.callers();
        let accepting = callers.accept(&listener, limits.header_timeout, limits.give_up);
        let Some((stream, _, slot)) = shutdown.run_until_cancelled(accepting).await else {
            return;
        };
        api.context.spawn(serve(api.clone(), stream, slot));
    }
}

/// Serves one connection; when the node stops, the response in progress is finished first.
async fn serve(api: Arc<CallerApi>, stream: TcpStream, slot: ConnectionSlot) {
    let _ = stream.set_nodelay(true);
    let limits = &api.context.settings.limits;
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(HYPER_MIN_BUFFER_BYTES));
    let draining = api.context.draining.clone();
    let shutdown = api.context.shutdown.clone();
    let timer = slot.timer().clone();
    let body_reader = BodyReader::new(&api.clients, &slot);
    let timed = TimedConnection::new(stream, timer.clone()).with_resources(api.clients.clone());
    let service = service_fn(move |request| {
        let (api, body_reader) = (api.clone(), body_reader.clone());
        let active_request: ActiveRequest = timer.on_head_read();
        async move {
            let response = handle_request(api, request, body_reader).await;
            Ok::<_, Infallible>(response.map(|body| AnsweredBody::new(body, active_request)))
        }
    });
    let connection = builder.serve_connection(TokioIo::new(timed), service);
    serve_until_closed(connection, slot, &draining, &shutdown).await;
}

async fn handle_request(
    api: Arc<CallerApi>,
    request: Request<Incoming>,
    body_reader: BodyReader,
) -> Response<ResponseBody> {
    let may_have_run = service_calls::may_have_run(&request);
    match route(&api, request, &body_reader).await {
        Ok(response) => response,
        Err(refusal) => {
            let kind = refusal.problem.kind();
            metrics::counter!("fl_requests_refused_total", "kind" => kind).increment(1);
            api.events.record(EventKind::Refused, refusal.id, kind.to_string());
            let mut body = refusal.problem.body(refusal.id);
            if may_have_run && !refusal.from_ledger {
                body.what_was_done = ExecutionState::Unknown;
            }
            response::from_problem_body(&body, refusal.id)
        }
    }
}

/// A refused call: the problem and the request that it concerns.
pub struct Refusal {
    /// The problem that is reported to the caller.
    pub problem: Problem,
    /// The request's id; `None` if the call was refused before it had one.
    pub id: Option<fl_protocol::RequestId>,
    /// Whether the ledger refused the call; only the ledger knows of earlier attempts of its key.
    pub from_ledger: bool,
}

impl Refusal {
    /// Creates a refusal of a request that did not reach the ledger.
    pub fn for_request(problem: Problem, id: fl_protocol::RequestId) -> Self {
        Refusal { problem, id: Some(id), from_ledger: false }
    }
}

impl From<Problem> for Refusal {
    fn from(problem: Problem) -> Self {
        Refusal { problem, id: None, from_ledger: false }
    }
}

async fn route(
    api: &Arc<CallerApi>,
    request: Request<Incoming>,
    body_reader: &BodyReader,
) -> Result<Response<ResponseBody>, Refusal> {
    if api.context.draining.is_cancelled() {
        let reason = "it is shutting down".to_string();
        return Err(Problem::NotReady { reason, retry_after: NOT_READY_RETRY_AFTER }.into());
    }
    if let Some(reason) = api.readiness.missing_requirement() {
        return Err(Problem::NotReady { reason, retry_after: NOT_READY_RETRY_AFTER }.into());
    }
    let (head, body) = request.into_parts();
    let caller = auth::authenticate(api, &head.headers)?;
    let path = head.uri.path().to_string();
    if path == CHAT_PATH {
        if head.method != Method::POST {
            return Err(malformed_request("use POST for model calls").into());
        }
        let body = read_body(api, body_reader, body).await?;
        return model_calls::handle(api, &caller, &head.headers, body).await;
    }
    if let Some(id_text) = path.strip_prefix(REQUESTS_PATH) {
        return accepted_requests::handle(api, &caller, &head, id_text).await;
    }
    if path.starts_with(SERVICES_PATH) {
        let body = read_body(api, body_reader, body).await?;
        return service_calls::handle(api, &caller, &head, body).await;
    }
    Err(malformed_request(&format!("unknown path {path}")).into())
}

/// Returns the problem for a malformed request; `what` names the error.
pub fn malformed_request(what: &str) -> Problem {
    Problem::Malformed(what.to_string())
}

async fn read_body(
    api: &CallerApi,
    body_reader: &BodyReader,
    body: Incoming,
) -> Result<Bytes, Problem> {
    let limits = &api.context.settings.limits;
    let reading = body_reader.read(body, limits.body_bytes);
    let Ok(read) = tokio::time::timeout(limits.body_timeout, reading).await else {
        return Err(malformed_request("the body did not arrive in time"));
    };
    read.map_err(|error| match error {
        BodyError::TooLarge => Problem::BodyTooLarge { limit_bytes: limits.body_bytes as u64 },
        BodyError::Broken => {
            malformed_request("the connection broke before the whole body arrived")
        }
        BodyError::NoMemory | BodyError::Stopped => {
            Problem::NoMemory { retry_after: NO_MEMORY_RETRY_AFTER }
        }
    })
}

impl CallerApi {
    /// Returns the configuration in force; it is looked up for each call.
    pub fn configuration(&self) -> Option<Arc<fl_protocol::Configuration>> {
        self.requests.configuration()
    }

    /// Returns the registry, to find services by name.
    pub fn registry(&self) -> &fl_kernel::Registry {
        &self.context.registry
    }
}

impl From<RegistryError> for Refusal {
    fn from(error: RegistryError) -> Self {
        Problem::Internal(error.to_string()).into()
    }
}
