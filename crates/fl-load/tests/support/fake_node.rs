//! A fake node with one scripted behaviour.

use bytes::Bytes;
use fl_protocol::Problem;
use fl_protocol::chat::*;
use fl_protocol::engine::stand_in_token;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// How the node responds to model calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    Complete,
    /// Complete, after [`FIRST_TOKEN_DELAY`].
    Late,
    /// The first connection ends after some tokens without the end marker.
    Disconnect,
    /// The first connection asks the caller to reconnect.
    Move,
    /// The response starts again in the middle.
    Restart,
    /// The second half of the tokens belongs to another response.
    ForeignToken,
    Refuse,
    /// Accepts the call, then gives up on it.
    GiveUp,
    /// Accepts the call, closes the connection, and no longer knows the request.
    Forget,
}

/// Delay before the first token with [`Behavior::Late`].
pub const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(30);

struct Node {
    behavior: Behavior,
    /// The accepted requests; the index is the request id.
    requests: Mutex<Vec<(ChatRequest, usize)>>,
}

type HandlerResult = Result<Response<Full<Bytes>>, std::convert::Infallible>;

/// Starts the node and returns its address.
pub async fn start(behavior: Behavior) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = Arc::new(Node { behavior, requests: Mutex::default() });
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            let node = node.clone();
            let service = service_fn(move |request| handle_request(node.clone(), request));
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(socket), service));
        }
    });
    address
}

async fn handle_request(node: Arc<Node>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_string();
    if path == "/runs" {
        return build_response(StatusCode::OK, "[]".to_string(), "");
    }
    if path.starts_with(SERVICES_PATH) {
        let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
        let key = key.map(|key| key.to_str().unwrap()).unwrap_or_default();
        return build_response(StatusCode::OK, format!("{{\"key\":\"{key}\"}}"), "");
    }
    if request.method() == Method::POST {
        let body = request.into_body().collect().await.unwrap().to_bytes();
        let chat: ChatRequest = serde_json::from_slice(&body).unwrap();
        if node.behavior == Behavior::Late {
            tokio::time::sleep(FIRST_TOKEN_DELAY).await;
        }
        let mut requests = node.requests.lock().unwrap();
        requests.push((chat.clone(), 0));
        return node.first_response(&chat, requests.len() - 1);
    }
    let index: usize = path.strip_prefix(REQUESTS_PATH).unwrap().parse().unwrap();
    let last = request.headers().get(LAST_EVENT_ID_HEADER);
    let next = last.map_or(0, |last| last.to_str().unwrap().parse::<u64>().unwrap() + 1);
    if node.behavior == Behavior::Forget {
        return build_problem_response(&Problem::UnknownRequest(index.to_string()));
    }
    let chat = node.requests.lock().unwrap()[index].0.clone();
    build_response(
        StatusCode::OK,
        token_events(&chat, next, chat.max_tokens) + END,
        &index.to_string(),
    )
}

const END: &str = "data: [DONE]\n\n";

impl Node {
    fn first_response(&self, chat: &ChatRequest, index: usize) -> HandlerResult {
        let half = token_events(chat, 0, chat.max_tokens / 2);
        let body = match self.behavior {
            Behavior::Complete | Behavior::Late => token_events(chat, 0, chat.max_tokens) + END,
            Behavior::Disconnect | Behavior::Forget => half,
            Behavior::Move => format!("{half}event: {MOVED_EVENT}\ndata: x\n\n"),
            Behavior::Restart => {
                let again = token_events(chat, 0, chat.max_tokens);
                format!("{half}event: {RESTART_EVENT}\ndata: x\n\n{again}{END}")
            }
            Behavior::ForeignToken => {
                let mut other = chat.clone();
                other.messages[0].content.push_str(" of another desk");
                half + &token_events(&other, chat.max_tokens / 2, chat.max_tokens) + END
            }
            Behavior::Refuse => {
                let retry_after = Duration::from_secs(1);
                return build_problem_response(&Problem::Overloaded { retry_after });
            }
            Behavior::GiveUp => {
                let given_up = Problem::GivenUp { retry_after: Duration::from_secs(1) };
                let body = serde_json::to_string(&given_up.body(None)).unwrap();
                format!("{half}event: {PROBLEM_EVENT}\ndata: {body}\n\n")
            }
        };
        build_response(StatusCode::OK, body, &index.to_string())
    }
}

fn token_events(chat: &ChatRequest, from: u64, end: u64) -> String {
    let prompt = chat.prompt_text();
    // All tokens share their suffix, so a long prompt is hashed only once.
    let first_token = stand_in_token(&prompt, 0);
    let mut text = String::new();
    for offset in from..end {
        let content = format!("{offset}{}", &first_token[1..]);
        let choices = vec![ChunkChoice { index: 0, delta: ChunkDelta { content } }];
        let chunk = ChatChunk { id: String::new(), choices };
        let data = serde_json::to_string(&chunk).unwrap();
        write!(text, "id: {offset}\ndata: {data}\n\n").unwrap();
    }
    text
}

fn build_problem_response(problem: &Problem) -> HandlerResult {
    let status = StatusCode::from_u16(problem.status()).unwrap();
    build_response(status, serde_json::to_string(&problem.body(None)).unwrap(), "")
}

fn build_response(status: StatusCode, body: String, id: &str) -> HandlerResult {
    let response = Response::builder().status(status).header(REQUEST_ID_HEADER, id);
    Ok(response.body(Full::new(Bytes::from(body))).unwrap())
}
