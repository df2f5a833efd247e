//! Sends one model call and follows its response to the end, reconnecting as often as necessary.

use crate::http_client::{Credentials, HttpClient, OutgoingRequest, SendError};
use crate::response_checker::{ResponseChecker, ResponseEvent};
use crate::sse::SseParser;
use bytes::Bytes;
use fl_protocol::ProblemBody;
use fl_protocol::chat::{
    CHAT_PATH, CLASS_HEADER, ChatRequest, LAST_EVENT_ID_HEADER, REQUEST_ID_HEADER, REQUESTS_PATH,
};
use http::{Method, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Pause before a caller reconnects after its connection was lost.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// A connection that delivers no data for this long is abandoned and another one opened.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of `unknown-request` responses after which the caller accepts that its request is lost;
/// one response alone is not conclusive.
const MAX_UNKNOWN_REQUEST_RESPONSES: usize = 6;

/// How a model call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ModelCallOutcome {
    /// The response was complete and every token matched the prompt.
    Complete,
    /// The call was not accepted. Holds the kind of problem.
    Refused(String),
    /// The call was accepted and its response never completed. Holds the cause.
    Failed(String),
    /// An event arrived that does not belong to the response. Holds a description.
    Mismatch(String),
}

/// What the caller observed of one model call.
#[derive(Debug, Clone)]
pub(crate) struct ModelCallResult {
    pub(crate) outcome: ModelCallOutcome,
    /// Time from the planned arrival to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Times between consecutive tokens, in order.
    pub(crate) token_intervals: Vec<Duration>,
    pub(crate) tokens: u64,
    pub(crate) reconnects: u64,
    pub(crate) restarts: u64,
}

/// A model call with everything needed to send it.
pub(crate) struct ModelCall<'a> {
    pub(crate) client: &'a HttpClient,
    pub(crate) nodes: &'a [SocketAddr],
    /// Index of the node to which the load balancer sends the call first; may exceed the number of
    /// nodes.
    pub(crate) first_node: usize,
    pub(crate) credentials: Credentials<'a>,
    pub(crate) class: &'a str,
    pub(crate) request: &'a ChatRequest,
    /// The planned arrival, from which latency is measured.
    pub(crate) planned_at: Instant,
}

/// Sends the call and returns its result when it has ended or timed out.
pub(crate) async fn send_model_call(call: &ModelCall<'_>, timeout: Duration) -> ModelCallResult {
    let mut run = ModelCallRun::new(call);
    let deadline = tokio::time::Instant::from_std(call.planned_at) + timeout;
    let outcome = match tokio::time::timeout_at(deadline, run.run_to_end()).await {
        Ok(outcome) => outcome,
        Err(_) if run.id.is_none() => ModelCallOutcome::Refused("no-answer".to_string()),
        Err(_) => ModelCallOutcome::Failed("timeout".to_string()),
    };
    run.into_result(outcome)
}

/// How one connection ended.
enum ConnectionOutcome {
    Ended(ModelCallOutcome),
    /// The connection was lost, or the node asked the caller to reconnect.
    Disconnected,
}

/// The state of a call in flight.
struct ModelCallRun<'a> {
    call: &'a ModelCall<'a>,
    checker: ResponseChecker,
    id: Option<String>,
    node: usize,
    first_token: Option<Duration>,
    last_token_at: Option<Instant>,
    token_intervals: Vec<Duration>,
    reconnects: u64,
    restarts: u64,
}

impl<'a> ModelCallRun<'a> {
    fn new(call: &'a ModelCall<'a>) -> ModelCallRun<'a> {
        ModelCallRun {
            call,
            checker: ResponseChecker::new(call.request),
            id: None,
            node: call.first_node,
            first_token: None,
            last_token_at: None,
            token_intervals: Vec::new(),
            reconnects: 0,
            restarts: 0,
        }
    }

    fn into_result(self, outcome: ModelCallOutcome) -> ModelCallResult {
        ModelCallResult {
            outcome,
            first_token: self.first_token,
            token_intervals: self.token_intervals,
            tokens: self.checker.next_offset(),
            reconnects: self.reconnects,
            restarts: self.restarts,
        }
    }

    async fn run_to_end(&mut self) -> ModelCallOutcome {
        let mut response = match self.send_first().await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        loop {
            match self.read_events(response).await {
                ConnectionOutcome::Ended(outcome) => return outcome,
                ConnectionOutcome::Disconnected => {}
            }
            response = match self.reconnect().await {
                Ok(response) => response,
                Err(outcome) => return outcome,
            };
        }
    }

    /// Sends the call to one node after another until one accepts or refuses it.
    async fn send_first(&mut self) -> Result<Response<Incoming>, ModelCallOutcome> {
        let body = serde_json::to_vec(self.call.request).unwrap_or_default();
        let body = Bytes::from(body);
        let mut kind = "no-node".to_string();
        for _ in 0..self.call.nodes.len() {
            let outgoing = OutgoingRequest {
                method: Method::POST,
                path: CHAT_PATH.to_string(),
                headers: vec![(CLASS_HEADER, self.call.class.to_string())],
                body: body.clone(),
            };
            match self.send(outgoing).await {
                Ok(response) if response.status().is_success() => {
                    self.id = request_id(&response);
                    return Ok(response);
                }
                Ok(response) => {
                    kind = read_problem_kind(response).await;
                    // A load balancer takes a node that is not ready out of rotation.
                    if kind != "not-ready" {
                        return Err(ModelCallOutcome::Refused(kind));
                    }
                }
                Err(SendError::NotSent) => kind = "no-node".to_string(),
                Err(SendError::Disconnected(_)) => kind = "cut-before-acceptance".to_string(),
            }
            self.node += 1;
        }
        Err(ModelCallOutcome::Refused(kind))
    }

    /// Requests the rest of the response from one node after another until one returns it.
    async fn reconnect(&mut self) -> Result<Response<Incoming>, ModelCallOutcome> {
        let Some(id) = self.id.clone() else {
            return Err(ModelCallOutcome::Failed("cut without a request id".to_string()));
        };
        let path = format!("{REQUESTS_PATH}{id}");
        let mut unknown_request_responses = 0;
        loop {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            self.node += 1;
            self.reconnects += 1;
            let last_event = self.checker.next_offset().checked_sub(1);
            let last_event = last_event.map(|id| (LAST_EVENT_ID_HEADER, id.to_string()));
            let outgoing = OutgoingRequest {
                method: Method::GET,
                path: path.clone(),
                headers: last_event.into_iter().collect(),
                body: Bytes::new(),
            };
            let Ok(response) = self.send(outgoing).await else { continue };
            if response.status().is_success() {
                return Ok(response);
            }
            let kind = read_problem_kind(response).await;
            unknown_request_responses += usize::from(kind == "unknown-request");
            if unknown_request_responses >= MAX_UNKNOWN_REQUEST_RESPONSES {
                return Err(ModelCallOutcome::Failed(kind));
            }
        }
    }

    async fn send(&self, outgoing: OutgoingRequest) -> Result<Response<Incoming>, SendError> {
        let node = self.call.nodes[self.node % self.call.nodes.len()];
        self.call.client.send(node, &self.call.credentials, outgoing).await
    }

    /// Reads the events of one connection until the response or the connection ends.
    async fn read_events(&mut self, response: Response<Incoming>) -> ConnectionOutcome {
        let mut body = response.into_body();
        let mut parser = SseParser::default();
        loop {
            let frame = match tokio::time::timeout(STALL_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                _ => return ConnectionOutcome::Disconnected,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            for event in parser.parse(&bytes) {
                let event = self.checker.check_event(&event);
                if let Some(connection_outcome) = self.apply_event(event) {
                    return connection_outcome;
                }
            }
        }
    }

    fn apply_event(&mut self, event: ResponseEvent) -> Option<ConnectionOutcome> {
        match event {
            ResponseEvent::Ignored => None,
            ResponseEvent::Token => {
                self.record_token(Instant::now());
                None
            }
            ResponseEvent::Restart => {
                self.restarts += 1;
                None
            }
            ResponseEvent::Moved => Some(ConnectionOutcome::Disconnected),
            ResponseEvent::Complete => Some(ConnectionOutcome::Ended(ModelCallOutcome::Complete)),
            ResponseEvent::Problem(body) => Some(ConnectionOutcome::Ended(
                ModelCallOutcome::Failed(parse_problem_kind(body.as_bytes())),
            )),
            ResponseEvent::Mismatch(description) => {
                Some(ConnectionOutcome::Ended(ModelCallOutcome::Mismatch(description)))
            }
        }
    }

    fn record_token(&mut self, now: Instant) {
        match self.last_token_at {
            Some(last) => self.token_intervals.push(now.duration_since(last)),
            None => self.first_token = Some(now.duration_since(self.call.planned_at)),
        }
        self.last_token_at = Some(now);
    }
}

fn request_id(response: &Response<Incoming>) -> Option<String> {
    response.headers().get(REQUEST_ID_HEADER)?.to_str().ok().map(str::to_string)
}

/// Returns the kind of problem that a refusal names, or its status when the body is unreadable.
pub(crate) async fn read_problem_kind(response: Response<Incoming>) -> String {
    let status = response.status();
    match response.into_body().collect().await {
        Ok(body) => parse_problem_kind(&body.to_bytes()),
        Err(_) => format!("status-{}", status.as_u16()),
    }
}

fn parse_problem_kind(body: &[u8]) -> String {
    let parsed: Result<ProblemBody, _> = serde_json::from_slice(body);
    match parsed {
        Ok(problem) => problem.kind.rsplit(':').next().unwrap_or_default().to_string(),
        Err(_) => "no-problem-body".to_string(),
    }
}
