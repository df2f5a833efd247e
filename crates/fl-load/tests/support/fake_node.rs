//! A node that answers in one scripted manner.

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

/// How the node treats model calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    Whole,
    /// Whole, after [`LATE`].
    Late,
    /// The first connection ends after some tokens without the end marker.
    Cut,
    /// The first connection asks the caller to come back.
    Moved,
    /// The answer starts again in the middle.
    Restart,
    /// One token is of another answer.
    Foreign,
    Refused,
    /// Accepted, then given up.
    GivenUp,
    /// Accepted, cut and never known again.
    Forgotten,
}

/// How late a late answer begins at least.
pub const LATE: Duration = Duration::from_millis(30);

struct Node {
    manner: Manner,
    /// Prompts by request id.
    prompts: Mutex<Vec<(ChatRequest, usize)>>,
}

type Reply = Result<Response<Full<Bytes>>, std::convert::Infallible>;

/// Starts the node.
pub async fn start(manner: Manner) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = Arc::new(Node { manner, prompts: Mutex::default() });
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            let node = node.clone();
            let service = service_fn(move |request| answer(node.clone(), request));
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(socket), service));
        }
    });
    address
}

async fn answer(node: Arc<Node>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_string();
    if path == "/runs" {
        return reply(StatusCode::OK, "[]".to_string(), "");
    }
    if path.starts_with(SERVICES_PATH) {
        let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
        let key = key.map(|key| key.to_str().unwrap()).unwrap_or_default();
        return reply(StatusCode::OK, format!("{{\"key\":\"{key}\"}}"), "");
    }
    if request.method() == Method::POST {
        let body = request.into_body().collect().await.unwrap().to_bytes();
        let chat: ChatRequest = serde_json::from_slice(&body).unwrap();
        if node.manner == Manner::Late {
            tokio::time::sleep(LATE).await;
        }
        let mut prompts = node.prompts.lock().unwrap();
        prompts.push((chat.clone(), 0));
        return node.first(&chat, prompts.len() - 1);
    }
    let index: usize = path.strip_prefix(REQUESTS_PATH).unwrap().parse().unwrap();
    let last = request.headers().get(LAST_EVENT_ID_HEADER);
    let next = last.map_or(0, |last| last.to_str().unwrap().parse::<u64>().unwrap() + 1);
    if node.manner == Manner::Forgotten {
        return problem(&Problem::UnknownRequest(index.to_string()));
    }
    let chat = node.prompts.lock().unwrap()[index].0.clone();
    reply(StatusCode::OK, tokens(&chat, next, chat.max_tokens) + END, &index.to_string())
}

const END: &str = "data: [DONE]\n\n";

impl Node {
    fn first(&self, chat: &ChatRequest, index: usize) -> Reply {
        let half = tokens(chat, 0, chat.max_tokens / 2);
        let body = match self.manner {
            Manner::Whole | Manner::Late => tokens(chat, 0, chat.max_tokens) + END,
            Manner::Cut | Manner::Forgotten => half,
            Manner::Moved => format!("{half}event: {MOVED_EVENT}\ndata: x\n\n"),
            Manner::Restart => {
                let again = tokens(chat, 0, chat.max_tokens);
                format!("{half}event: {RESTART_EVENT}\ndata: x\n\n{again}{END}")
            }
            Manner::Foreign => {
                let mut other = chat.clone();
                other.messages[0].content.push_str(" of another desk");
                half + &tokens(&other, chat.max_tokens / 2, chat.max_tokens) + END
            }
            Manner::Refused => {
                let retry_after = Duration::from_secs(1);
                return problem(&Problem::Overloaded { retry_after });
            }
            Manner::GivenUp => {
                let given_up = Problem::GivenUp { retry_after: Duration::from_secs(1) };
                let body = serde_json::to_string(&given_up.body(None)).unwrap();
                format!("{half}event: {PROBLEM_EVENT}\ndata: {body}\n\n")
            }
        };
        reply(StatusCode::OK, body, &index.to_string())
    }
}

fn tokens(chat: &ChatRequest, from: u64, end: u64) -> String {
    let prompt = chat.prompt_text();
    // A long prompt is hashed once and not for each token.
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

fn problem(problem: &Problem) -> Reply {
    let status = StatusCode::from_u16(problem.status()).unwrap();
    reply(status, serde_json::to_string(&problem.body(None)).unwrap(), "")
}

fn reply(status: StatusCode, body: String, id: &str) -> Reply {
    let response = Response::builder().status(status).header(REQUEST_ID_HEADER, id);
    Ok(response.body(Full::new(Bytes::from(body))).unwrap())
}
