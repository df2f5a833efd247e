//! The HTTP client that sends calls to the nodes and reads the counters of the stand-ins.

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

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection could be opened, so no byte of the request was sent.
    NotSent,
    /// The connection was lost and the request may have arrived. Holds the cause.
    Disconnected(String),
}

/// The workspace and the key with which a caller authenticates.
pub(crate) struct Credentials<'a> {
    pub(crate) workspace: &'a str,
    pub(crate) key: &'a str,
}

/// A request that has not been sent yet, without its credentials.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

/// A client with a connection pool, shared by all calls of a run.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // Only the caller may decide to retry a request that may have arrived, so the automatic
        // retries of the client are off.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    pub(crate) async fn send(
        &self,
        node: SocketAddr,
        credentials: &Credentials<'_>,
        outgoing: OutgoingRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = Request::builder()
            .method(outgoing.method)
            .uri(format!("http://{node}{}", outgoing.path))
            .header(WORKSPACE_HEADER, credentials.workspace)
            .header(header::AUTHORIZATION, format!("Bearer {}", credentials.key))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in outgoing.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(outgoing.body));
        let request = request.map_err(|error| SendError::Disconnected(error.to_string()))?;
        self.client.request(request).await.map_err(|error| match error.is_connect() {
            true => SendError::NotSent,
            false => SendError::Disconnected(error.to_string()),
        })
    }

    /// Fetches a page and returns its body, or `None` on any error or unsuccessful status.
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
