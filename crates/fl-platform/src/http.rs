//! HTTP client that the other clients share; every call has a timeout and none is retried.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
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
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Error of an HTTP call; the first field is the URI of the call.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum HttpError {
    /// {0} refused the connection, so nothing was sent; check the address and whether the server is running
    NotConnected(String),
    /// {0} did not accept the connection in time, so nothing was sent; check the network to it
    ConnectTimedOut(String),
    /// {0} did not answer within {1:?}; the call may have taken effect
    TimedOut(String, Duration),
    /// {0} sent {1} bytes of its response and then nothing for {2:?}; the call may have taken effect
    Stalled(String, usize, Duration),
    /// the response of {0} is larger than {1} bytes, the most that is read; ask for less at once
    TooLarge(String, usize),
    /// the connection to {0} was lost: {1}; the call may have taken effect
    ConnectionLost(String, String),
    /// {0} answered with status {1}: {2}
    Status(String, u16, String),
    /// {0} answered with a body that cannot be read: {1}
    Unreadable(String, String),
}

impl HttpError {
    /// Returns whether the call failed before any byte of it was sent.
    pub fn is_before_send(&self) -> bool {
        matches!(self, HttpError::NotConnected(_) | HttpError::ConnectTimedOut(_))
    }
}

/// Whether a connection serves more than one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Connections are pooled; one is reused after its last response was read to the end.
    Pooled,
    /// Each call opens a new connection, so that none is lost on a connection that the server has
    /// closed meanwhile.
    Never,
}

/// An HTTP response with its whole body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Whole body, at most 16 MiB.
    pub body: Bytes,
}

/// HTTP/1 client for backend servers and the platform.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client with a connection pool of its own.
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

    /// Sends a request and returns the response with its body unread.
    ///
    /// `timeout` ends with the head of the response; the caller bounds the reading of the body.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let uri = request.uri().to_string();
        let result = tokio::time::timeout(timeout, self.client.request(request)).await;
        match result {
            Err(_) => Err(HttpError::TimedOut(uri, timeout)),
            Ok(Err(error)) if error.is_connect() && is_timeout(&error) => {
                Err(HttpError::ConnectTimedOut(uri))
            }
            Ok(Err(error)) if error.is_connect() => Err(HttpError::NotConnected(uri)),
            Ok(Err(error)) => Err(HttpError::ConnectionLost(uri, error.to_string())),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a request and reads the whole response, however long it takes while bytes arrive.
    ///
    /// `timeout` bounds the wait for the head and then each wait for more of the body. A bound on
    /// the whole would grow with the size of the response and with how slow the link is; a response
    /// that exceeds it would be abandoned at each retry.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let uri = request.uri().to_string();
        read_whole(uri, self.send(request, timeout).await?, timeout).await
    }

    /// Sends a request and reads the whole response before a deadline, for calls that are of no use
    /// afterwards.
    pub async fn fetch_within(
        &self,
        request: Request<Full<Bytes>>,
        time_left: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let uri = request.uri().to_string();
        match tokio::time::timeout(time_left, self.fetch(request, time_left)).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::TimedOut(uri, time_left)),
        }
    }

    /// Gets a JSON value; any status other than 200 is an error.
    ///
    /// `timeout` is that of [`HttpClient::fetch`], since lists grow with the fleet.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        uri: &str,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let request = build_json_request(Method::GET, uri, Bytes::new())?;
        read_json(uri, self.fetch(request, timeout).await?)
    }

    /// Sends a JSON value and reads one back within `timeout`; any status other than 200 is an
    /// error.
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
        read_json(uri, self.fetch_within(request, timeout).await?)
    }
}

/// Reads the body of a response; `timeout` bounds each wait for more of it.
pub async fn read_whole(
    uri: String,
    response: Response<Incoming>,
    timeout: Duration,
) -> Result<HttpResponse, HttpError> {
    let (head, mut body) = response.into_parts();
    let mut received = BytesMut::new();
    loop {
        let Ok(frame) = tokio::time::timeout(timeout, body.frame()).await else {
            return Err(HttpError::Stalled(uri, received.len(), timeout));
        };
        match frame {
            None => break,
            Some(Err(error)) => return Err(HttpError::ConnectionLost(uri, error.to_string())),
            Some(Ok(frame)) => {
                received.extend_from_slice(frame.data_ref().map_or(&[], |data| data))
            }
        }
        if received.len() > MAX_RESPONSE_BYTES {
            return Err(HttpError::TooLarge(uri, MAX_RESPONSE_BYTES));
        }
    }
    Ok(HttpResponse { status: head.status, headers: head.headers, body: received.freeze() })
}

/// Returns whether an error or one of its sources is a timeout of the operating system.
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

/// Builds a request with a JSON content type; `body` is sent as it is.
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

/// Parses the body of a response as JSON; any status other than 200 is an error.
pub(crate) fn read_json<T: DeserializeOwned>(
    uri: &str,
    response: HttpResponse,
) -> Result<T, HttpError> {
    if response.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        return Err(HttpError::Status(uri.to_string(), response.status.as_u16(), text));
    }
    serde_json::from_slice(&response.body)
        .map_err(|error| HttpError::Unreadable(uri.to_string(), error.to_string()))
}
