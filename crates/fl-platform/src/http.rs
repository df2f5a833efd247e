//! The HTTP client below all others: timeouts everywhere, no hidden retries.

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use thiserror::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const REPLY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Why a call brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum HttpError {
    /// {0} refused the connection, so nothing was sent; check the address and whether it runs
    NotConnected(String),
    /// {0} did not take the connection in time, so nothing was sent; check the network to it
    ConnectTimedOut(String),
    /// {0} did not answer within {1:?}; the call may have taken effect
    TimedOut(String, Duration),
    /// the connection to {0} broke: {1}; the call may have taken effect
    ConnectionLost(String, String),
    /// {0} answered with status {1}: {2}
    Status(String, u16, String),
    /// {0} answered with a body that cannot be read: {1}
    Unreadable(String, String),
}

impl HttpError {
    /// Says whether it is certain that no byte of the call left.
    pub fn is_before_send(&self) -> bool {
        matches!(self, HttpError::NotConnected(_) | HttpError::ConnectTimedOut(_))
    }
}

/// Whether connections are used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// A connection whose last answer ended cleanly may serve the next call.
    Pooled,
    /// Each call has a connection of its own, so that no stale one can swallow it.
    Never,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Sends calls to backend servers and the platform.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Makes a client.
    pub fn new(reuse: ConnectionReuse) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let idle_per_host = match reuse {
            ConnectionReuse::Pooled => usize::MAX,
            ConnectionReuse::Never => 0,
        };
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_per_host)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a call and returns with the head of its answer; the body is the caller's to read.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let place = request.uri().to_string();
        let answer = tokio::time::timeout(timeout, self.client.request(request)).await;
        match answer {
            Err(_) => Err(HttpError::TimedOut(place, timeout)),
            Ok(Err(error)) if error.is_connect() && is_timeout(&error) => {
                Err(HttpError::ConnectTimedOut(place))
            }
            Ok(Err(error)) if error.is_connect() => Err(HttpError::NotConnected(place)),
            Ok(Err(error)) => Err(HttpError::ConnectionLost(place, error.to_string())),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a call and reads its whole answer.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let place = request.uri().to_string();
        let whole = async {
            let response = self.send(request, timeout).await?;
            let (head, body) = response.into_parts();
            let collected = Limited::new(body, REPLY_LIMIT_BYTES).collect().await;
            let body = collected
                .map_err(|error| HttpError::ConnectionLost(place.clone(), error.to_string()))?
                .to_bytes();
            Ok(HttpResponse { status: head.status, headers: head.headers, body })
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::TimedOut(place, timeout)),
        }
    }

    /// Gets a JSON value; any status but 200 is an error.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        uri: &str,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let request = build_json_request(Method::GET, uri, Bytes::new())?;
        read_json(uri, self.fetch(request, timeout).await?)
    }

    /// Sends a JSON value and reads one; any status but 200 is an error.
    pub async fn send_json<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        uri: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| HttpError::Unreadable(uri.to_string(), error.to_string()))?;
        let request = build_json_request(method, uri, Bytes::from(body))?;
        read_json(uri, self.fetch(request, timeout).await?)
    }
}

/// Says whether a time ran out somewhere below an error.
fn is_timeout(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io_error = error.downcast_ref::<std::io::Error>();
        if io_error.is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Builds a call with a JSON body.
pub fn build_json_request(
    method: Method,
    uri: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| HttpError::Unreadable(uri.to_string(), error.to_string()))
}

/// Reads a whole answer as JSON; any status but 200 is an error.
pub(crate) fn read_json<T: DeserializeOwned>(
    uri: &str,
    reply: HttpResponse,
) -> Result<T, HttpError> {
    if reply.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        return Err(HttpError::Status(uri.to_string(), reply.status.as_u16(), text));
    }
    serde_json::from_slice(&reply.body)
        .map_err(|error| HttpError::Unreadable(uri.to_string(), error.to_string()))
}
