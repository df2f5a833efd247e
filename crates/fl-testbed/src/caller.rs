//! Callers for tests, which read streams event by event and reconnect to the nodes that a test
//! names.

use crate::testbed::{Testbed, WORKSPACE, WORKSPACE_KEY};
use bytes::Bytes;
use fl_platform::http::HttpResponse;
use fl_platform::{ConnectionReuse, HttpClient, HttpError};
use fl_protocol::chat::{
    CHAT_PATH, ChatChunk, ChatMessage, ChatRequest, END_MARKER, IDEMPOTENCY_KEY_HEADER,
    LAST_EVENT_ID_HEADER, MOVED_EVENT, PROBLEM_EVENT, REQUEST_ID_HEADER, REQUESTS_PATH,
    RESTART_EVENT, SERVICES_PATH,
};
use fl_protocol::engine::stand_in_token;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// A node sends a keep-alive comment every 5 s; a caller that receives nothing for longer
/// reconnects.
const IDLE_TIMEOUT: Duration = Duration::from_secs(7);
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// The limit for polling a condition and for reconnecting. Only a test that hangs reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(90);

/// An event of a stream, as its caller receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// A token with its event id.
    Token {
        /// The id to send as `Last-Event-ID` when reconnecting.
        event_id: String,
        /// The text of the token.
        text: String,
    },
    /// The answer starts again; the caller drops the text received so far.
    Restart,
    /// The request continues at another node.
    Moved,
    /// The request failed for good, with this problem body in JSON.
    Problem(String),
    /// The end marker: the answer is complete.
    End,
    /// The connection ended, failed or stayed silent for too long before any final event.
    Disconnected,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallOutcome {
    /// The id of the request.
    pub request_id: String,
    /// The text received since the last restart.
    pub text: String,
    /// Whether the end marker was received.
    pub is_complete: bool,
    /// The problem body in JSON, if the request failed for good.
    pub problem_json: Option<String>,
    /// Connections opened for the call.
    pub connections: u32,
    /// How often the answer started again.
    pub restarts: u32,
}

/// A connection on which a caller reads a streamed answer.
#[derive(Debug)]
pub struct ChatStream {
    /// The request id in the response header.
    pub request_id: String,
    /// The event id of the last token received.
    pub last_event_id: Option<String>,
    body: Incoming,
    buffer: Vec<u8>,
}

impl ChatStream {
    /// Waits for the next event; keep-alive comments are skipped.
    pub async fn next(&mut self) -> CallerEvent {
        loop {
            if let Some(event) = self.pop_event() {
                if let CallerEvent::Token { event_id, .. } = &event {
                    self.last_event_id = Some(event_id.clone());
                }
                return event;
            }
            match tokio::time::timeout(IDLE_TIMEOUT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                _ => return CallerEvent::Disconnected,
            }
        }
    }

    /// Reads to the end of the connection without parsing events and returns the bytes of the body,
    /// for benchmarks.
    pub async fn count_bytes(mut self) -> usize {
        let mut size_bytes = self.buffer.len();
        while let Some(Ok(frame)) = self.body.frame().await {
            size_bytes += frame.data_ref().map_or(0, Bytes::len);
        }
        size_bytes
    }

    /// Removes the first event from the buffer; `None` if none is complete.
    fn pop_event(&mut self) -> Option<CallerEvent> {
        loop {
            let end = self.buffer.windows(2).position(|window| window == b"\n\n")?;
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8(event).unwrap();
            if !text.starts_with(':') {
                return Some(parse_event(&text));
            }
        }
    }
}

fn parse_event(text: &str) -> CallerEvent {
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let data = field("data: ").unwrap_or_default();
    match field("event: ") {
        Some(RESTART_EVENT) => return CallerEvent::Restart,
        Some(MOVED_EVENT) => return CallerEvent::Moved,
        Some(PROBLEM_EVENT) => return CallerEvent::Problem(data.to_string()),
        _ => {}
    }
    if data == END_MARKER {
        return CallerEvent::End;
    }
    let chunk: ChatChunk = serde_json::from_str(data).unwrap();
    let event_id = field("id: ").unwrap().to_string();
    CallerEvent::Token { event_id, text: chunk.choices[0].delta.content.clone() }
}

/// Returns the streamed chat request that tests send, for the model of the default configuration.
pub fn chat_request(prompt: &str, max_tokens: u64) -> ChatRequest {
    ChatRequest {
        model: "fit".to_string(),
        messages: vec![ChatMessage { role: "user".to_string(), content: prompt.to_string() }],
        stream: true,
        max_tokens,
    }
}

/// Returns the answer of the stand-in engines to [`chat_request`].
pub fn expected_answer(prompt: &str, max_tokens: u64) -> String {
    let text = chat_request(prompt, max_tokens).prompt_text();
    (0..max_tokens).map(|offset| stand_in_token(&text, offset)).collect()
}

/// Starts to build a request of the default workspace, with its key.
pub fn request_builder(method: Method, address: SocketAddr, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("x-workspace", WORKSPACE)
        .header("authorization", format!("Bearer {WORKSPACE_KEY}"))
}

impl Testbed {
    /// Sends a streamed call to a node. The inner `Ok` of an error is the response that refused it.
    pub async fn open_chat(
        &self,
        node: usize,
        chat: &ChatRequest,
        class: &str,
        key: Option<&str>,
    ) -> Result<ChatStream, Result<HttpResponse, HttpError>> {
        let mut builder = request_builder(Method::POST, self.nodes[node].caller_address, CHAT_PATH);
        builder = builder.header("x-class", class);
        if let Some(key) = key {
            builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        let body = Bytes::from(serde_json::to_vec(chat).unwrap());
        open_stream(builder.body(Full::new(body)).unwrap(), CALL_TIMEOUT).await
    }

    /// Reconnects to a request at a node, which may not be the one that accepted it.
    pub async fn reconnect(
        &self,
        node: usize,
        request_id: &str,
        last_event_id: Option<&str>,
    ) -> Result<ChatStream, Result<HttpResponse, HttpError>> {
        let path = format!("{REQUESTS_PATH}{request_id}");
        let mut builder = request_builder(Method::GET, self.nodes[node].caller_address, &path);
        if let Some(event_id) = last_event_id {
            builder = builder.header(LAST_EVENT_ID_HEADER, event_id);
        }
        open_stream(builder.body(Full::new(Bytes::new())).unwrap(), RECONNECT_TIMEOUT).await
    }

    /// Reads a stream to its end. After a disconnect it reconnects to the given nodes in turn, for
    /// up to 90 s.
    pub async fn finish(&self, first: ChatStream, nodes: &[usize]) -> CallOutcome {
        let mut outcome = CallOutcome {
            request_id: first.request_id.clone(),
            connections: 1,
            ..CallOutcome::default()
        };
        let mut stream = first;
        let mut last_event_id = stream.last_event_id.clone();
        let started_at = Instant::now();
        let mut attempt = 0;
        loop {
            match stream.next().await {
                CallerEvent::Token { event_id, text } => {
                    outcome.text.push_str(&text);
                    last_event_id = Some(event_id);
                    continue;
                }
                CallerEvent::Restart => {
                    outcome.text.clear();
                    outcome.restarts += 1;
                    continue;
                }
                CallerEvent::End => {
                    outcome.is_complete = true;
                    return outcome;
                }
                CallerEvent::Problem(problem_json) => {
                    outcome.problem_json = Some(problem_json);
                    return outcome;
                }
                CallerEvent::Moved | CallerEvent::Disconnected => {}
            }
            stream = loop {
                if started_at.elapsed() > HANG_TIMEOUT {
                    return outcome;
                }
                let node = nodes[attempt % nodes.len()];
                attempt += 1;
                let event_id = last_event_id.as_deref();
                match self.reconnect(node, &outcome.request_id, event_id).await {
                    Ok(stream) => break stream,
                    Err(_) => tokio::time::sleep(RECONNECT_PAUSE).await,
                }
            };
            outcome.connections += 1;
        }
    }

    /// Calls a plain service through a node; `path` begins with the name of the service.
    pub async fn call_service(
        &self,
        node: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<HttpResponse, HttpError> {
        let path = format!("{SERVICES_PATH}{path}");
        let mut builder = request_builder(method, self.nodes[node].caller_address, &path);
        if let Some(key) = key {
            builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        let request = builder.body(Full::new(Bytes::from(body.to_string()))).unwrap();
        HttpClient::new(ConnectionReuse::Never).fetch(request, CALL_TIMEOUT).await
    }
}

/// Sends a request and returns the stream. Any status but 200 is an error with the response.
pub async fn open_stream(
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<ChatStream, Result<HttpResponse, HttpError>> {
    let http = HttpClient::new(ConnectionReuse::Never);
    let response = http.send(request, timeout).await.map_err(Err)?;
    let (head, body) = response.into_parts();
    if head.status != StatusCode::OK {
        let body = body.collect().await.map(|collected| collected.to_bytes()).unwrap_or_default();
        return Err(Ok(HttpResponse { status: head.status, headers: head.headers, body }));
    }
    let id = head.headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let request_id = id.unwrap_or_default().to_string();
    Ok(ChatStream { request_id, last_event_id: None, body, buffer: Vec::new() })
}

/// Polls a condition until it holds. Panics with the description `what` after 90 s,
/// which only a test that hangs reaches.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < HANG_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
