//! One model call, from its first send to the end of its answer over however many connections.

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

/// Pause before a caller comes back after a cut.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// A connection without a byte for this long is given up and another one opened.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Nodes that must deny knowing a request before its caller believes it.
const DENIALS: usize = 6;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ModelCallOutcome {
    /// Whole and its own.
    Whole,
    /// Not accepted; the kind of problem.
    Refused(String),
    /// Accepted and never whole; why.
    Failed(String),
    /// Something arrived that is not of this answer.
    Wrong(String),
}

/// What was seen of one call.
#[derive(Debug, Clone)]
pub(crate) struct ModelCallResult {
    pub(crate) ending: ModelCallOutcome,
    /// From the planned arrival to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Between tokens, in order.
    pub(crate) gaps: Vec<Duration>,
    pub(crate) tokens: u64,
    pub(crate) reconnects: u64,
    pub(crate) restarts: u64,
}

/// One call with what its caller needs.
pub(crate) struct ModelCall<'a> {
    pub(crate) caller: &'a HttpClient,
    pub(crate) nodes: &'a [SocketAddr],
    /// The node that the balancer chose first.
    pub(crate) first_node: usize,
    pub(crate) identity: Credentials<'a>,
    pub(crate) class: &'a str,
    pub(crate) request: &'a ChatRequest,
    /// When the schedule planned the call.
    pub(crate) planned_at: Instant,
}

/// Runs the call until its ending or its deadline.
pub(crate) async fn ask(ask: &ModelCall<'_>, timeout: Duration) -> ModelCallResult {
    let mut course = ModelCallRun::new(ask);
    let deadline = tokio::time::Instant::from_std(ask.planned_at) + timeout;
    let ending = match tokio::time::timeout_at(deadline, course.follow()).await {
        Ok(ending) => ending,
        Err(_) if course.id.is_none() => ModelCallOutcome::Refused("no-answer".to_string()),
        Err(_) => ModelCallOutcome::Failed("timeout".to_string()),
    };
    course.seen(ending)
}

/// What one connection came to.
enum ConnectionOutcome {
    Ended(ModelCallOutcome),
    /// It broke off or the node asked to come back.
    Cut,
}

struct ModelCallRun<'a> {
    ask: &'a ModelCall<'a>,
    check: ResponseChecker,
    id: Option<String>,
    node: usize,
    first_token: Option<Duration>,
    last_token_at: Option<Instant>,
    gaps: Vec<Duration>,
    reconnects: u64,
    restarts: u64,
}

impl<'a> ModelCallRun<'a> {
    fn new(ask: &'a ModelCall<'a>) -> ModelCallRun<'a> {
        ModelCallRun {
            ask,
            check: ResponseChecker::new(ask.request),
            id: None,
            node: ask.first_node,
            first_token: None,
            last_token_at: None,
            gaps: Vec::new(),
            reconnects: 0,
            restarts: 0,
        }
    }

    fn seen(self, ending: ModelCallOutcome) -> ModelCallResult {
        ModelCallResult {
            ending,
            first_token: self.first_token,
            gaps: self.gaps,
            tokens: self.check.next_offset(),
            reconnects: self.reconnects,
            restarts: self.restarts,
        }
    }

    async fn follow(&mut self) -> ModelCallOutcome {
        let mut response = match self.send_first().await {
            Ok(response) => response,
            Err(ending) => return ending,
        };
        loop {
            match self.read(response).await {
                ConnectionOutcome::Ended(ending) => return ending,
                ConnectionOutcome::Cut => {}
            }
            response = match self.reconnect().await {
                Ok(response) => response,
                Err(ending) => return ending,
            };
        }
    }

    /// Sends the call to node after node until one accepts or refuses it.
    async fn send_first(&mut self) -> Result<Response<Incoming>, ModelCallOutcome> {
        let body = serde_json::to_vec(self.ask.request).unwrap_or_default();
        let body = Bytes::from(body);
        let mut kind = "no-node".to_string();
        for _ in 0..self.ask.nodes.len() {
            let outgoing = OutgoingRequest {
                method: Method::POST,
                path: CHAT_PATH.to_string(),
                headers: vec![(CLASS_HEADER, self.ask.class.to_string())],
                body: body.clone(),
            };
            match self.send(outgoing).await {
                Ok(response) if response.status().is_success() => {
                    self.id = request_id(&response);
                    return Ok(response);
                }
                Ok(response) => {
                    kind = problem_kind(response).await;
                    // The balancer takes a node that is not ready out of its rotation.
                    if kind != "not-ready" {
                        return Err(ModelCallOutcome::Refused(kind));
                    }
                }
                Err(SendError::NotSent) => kind = "no-node".to_string(),
                Err(SendError::Cut(_)) => kind = "cut-before-acceptance".to_string(),
            }
            self.node += 1;
        }
        Err(ModelCallOutcome::Refused(kind))
    }

    /// Asks other nodes for the rest until one gives it.
    async fn reconnect(&mut self) -> Result<Response<Incoming>, ModelCallOutcome> {
        let Some(id) = self.id.clone() else {
            return Err(ModelCallOutcome::Failed("cut without a request id".to_string()));
        };
        let path = format!("{REQUESTS_PATH}{id}");
        let mut denials = 0;
        loop {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            self.node += 1;
            self.reconnects += 1;
            let last_event = self.check.next_offset().checked_sub(1);
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
            let kind = problem_kind(response).await;
            denials += usize::from(kind == "unknown-request");
            if denials >= DENIALS {
                return Err(ModelCallOutcome::Failed(kind));
            }
        }
    }

    async fn send(&self, outgoing: OutgoingRequest) -> Result<Response<Incoming>, SendError> {
        let node = self.ask.nodes[self.node % self.ask.nodes.len()];
        self.ask.caller.send(node, &self.ask.identity, outgoing).await
    }

    /// Reads one connection to its end.
    async fn read(&mut self, response: Response<Incoming>) -> ConnectionOutcome {
        let mut body = response.into_body();
        let mut events = SseParser::default();
        loop {
            let frame = match tokio::time::timeout(STALL_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                _ => return ConnectionOutcome::Cut,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            for event in events.parse(&bytes) {
                let step = self.check.check_event(&event);
                if let Some(link) = self.apply(step) {
                    return link;
                }
            }
        }
    }

    fn apply(&mut self, step: ResponseEvent) -> Option<ConnectionOutcome> {
        match step {
            ResponseEvent::Ignored => None,
            ResponseEvent::Token => {
                self.note_token(Instant::now());
                None
            }
            ResponseEvent::Restart => {
                self.restarts += 1;
                None
            }
            ResponseEvent::Moved => Some(ConnectionOutcome::Cut),
            ResponseEvent::Complete => Some(ConnectionOutcome::Ended(ModelCallOutcome::Whole)),
            ResponseEvent::Problem(body) => {
                Some(ConnectionOutcome::Ended(ModelCallOutcome::Failed(kind_of(body.as_bytes()))))
            }
            ResponseEvent::Mismatch(what) => {
                Some(ConnectionOutcome::Ended(ModelCallOutcome::Wrong(what)))
            }
        }
    }

    fn note_token(&mut self, now: Instant) {
        match self.last_token_at {
            Some(last) => self.gaps.push(now.duration_since(last)),
            None => self.first_token = Some(now.duration_since(self.ask.planned_at)),
        }
        self.last_token_at = Some(now);
    }
}

fn request_id(response: &Response<Incoming>) -> Option<String> {
    response.headers().get(REQUEST_ID_HEADER)?.to_str().ok().map(str::to_string)
}

/// Reads the kind out of a problem answer.
pub(crate) async fn problem_kind(response: Response<Incoming>) -> String {
    let status = response.status();
    match response.into_body().collect().await {
        Ok(body) => kind_of(&body.to_bytes()),
        Err(_) => format!("status-{}", status.as_u16()),
    }
}

fn kind_of(body: &[u8]) -> String {
    let parsed: Result<ProblemBody, _> = serde_json::from_slice(body);
    match parsed {
        Ok(problem) => problem.kind.rsplit(':').next().unwrap_or_default().to_string(),
        Err(_) => "no-problem-body".to_string(),
    }
}
