//! A caller's side of HTTP, towards any of the nodes.

use bytes::Bytes;
use fl_protocol::chat::WORKSPACE_HEADER;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Latest time for a TCP connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a node gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the request left: no connection came about.
    NotSent,
    /// The request may have arrived.
    Cut(String),
}

/// What identifies a caller.
pub(crate) struct Credentials<'a> {
    pub(crate) workspace: &'a str,
    pub(crate) key: &'a str,
}

/// One request before it is sent.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

/// Sends requests to nodes.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A call that may have arrived is sent again by its caller's own decision only.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and gives the response once its head arrived.
    pub(crate) async fn send(
        &self,
        node: SocketAddr,
        identity: &Credentials<'_>,
        outgoing: OutgoingRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = Request::builder()
            .method(outgoing.method)
            .uri(format!("http://{node}{}", outgoing.path))
            .header(WORKSPACE_HEADER, identity.workspace)
            .header(header::AUTHORIZATION, format!("Bearer {}", identity.key))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in outgoing.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(outgoing.body));
        let request = request.map_err(|error| SendError::Cut(error.to_string()))?;
        self.client.request(request).await.map_err(|error| match error.is_connect() {
            true => SendError::NotSent,
            false => SendError::Cut(error.to_string()),
        })
    }

    /// Gets a page of a stand-in or a node whole; `None` if it cannot be had.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let uri = format!("http://{address}{path}");
        let request = Request::builder().uri(uri).body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        Some(response.into_body().collect().await.ok()?.to_bytes())
    }
}
