//! Small parts of HTTP that all stand-ins use.

use crate::faults::{FaultSwitches, Outage};
use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::time::Duration;
use thiserror::Error;

/// The path of the fault switches.
pub const FAULTS_PATH: &str = "/faults";
/// The path of the counters.
pub const COUNTERS_PATH: &str = "/counters";
/// The largest body a stand-in reads, in bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// A response body.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// An answer, or the order to close the connection without one.
pub type HandlerResult = Result<Response<Body>, CloseConnection>;

/// the stand-in closes the connection without an answer; clear its fault switch to get one
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct CloseConnection;

/// Builds a response from parts that are always valid.
pub fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> HandlerResult {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

/// RequestHandler with a JSON value.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> HandlerResult {
    match serde_json::to_vec(value) {
        Ok(body) => build_response(status, "application/json", Bytes::from(body)),
        Err(_) => Err(CloseConnection),
    }
}

/// RequestHandler with an entity tag, or with 304 and no body to a reader that has this very value.
pub fn json_with_etag(
    known_tag: Option<&header::HeaderValue>,
    value: &impl Serialize,
) -> HandlerResult {
    let body = serde_json::to_vec(value).map_err(|_| CloseConnection)?;
    let tag = header::HeaderValue::from_str(&format!("\"{}\"", fl_protocol::sha256_hex(&body)))
        .map_err(|_| CloseConnection)?;
    let mut response = if known_tag == Some(&tag) {
        build_response(StatusCode::NOT_MODIFIED, "application/json", Bytes::new())?
    } else {
        build_response(StatusCode::OK, "application/json", Bytes::from(body))?
    };
    response.headers_mut().insert(header::ETAG, tag);
    Ok(response)
}

/// RequestHandler with a text.
pub fn text_response(status: StatusCode, message: &str) -> HandlerResult {
    build_response(status, "text/plain", Bytes::from(message.to_string()))
}

/// RequestHandler 404.
pub fn not_found() -> HandlerResult {
    text_response(StatusCode::NOT_FOUND, "not known here\n")
}

/// Reads a whole body; a broken or oversized one closes the connection.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, CloseConnection> {
    let body = Limited::new(request.into_body(), BODY_LIMIT_BYTES);
    let collected = body.collect().await.map_err(|_| CloseConnection)?;
    Ok(collected.to_bytes())
}

/// Reads a JSON body; the inner error is the answer to a malformed one.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, HandlerResult>, CloseConnection> {
    let body = read_body(request).await?;
    let parsed = serde_json::from_slice(&body);
    Ok(parsed.map_err(|error| text_response(StatusCode::BAD_REQUEST, &format!("{error}\n"))))
}

/// Finds a parameter of the query string.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value));
    values.next()
}

/// Decodes `%XX`; what is no such code stays as it is.
pub fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let code = tail.get(..2).filter(|_| first == b'%').and_then(hex_byte);
        bytes.push(code.unwrap_or(first));
        rest = if code.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

/// RequestHandler for an outage: `None` when the service works.
pub async fn outage_response(outage: Outage) -> Option<HandlerResult> {
    match outage {
        Outage::None => None,
        Outage::Unavailable => {
            Some(text_response(StatusCode::SERVICE_UNAVAILABLE, "out of service\n"))
        }
        Outage::Closed => Some(Err(CloseConnection)),
        Outage::Frozen => std::future::pending().await,
    }
}

/// Waits out a fault of slowness.
pub async fn delay_ms(duration_ms: u64) {
    if duration_ms > 0 {
        tokio::time::sleep(Duration::from_millis(duration_ms)).await;
    }
}

/// What a request of the control paths asks for.
pub enum ControlOutcome<F> {
    /// It is no control request.
    NotControl(Request<Incoming>),
    /// It has been answered with this response.
    Responded(HandlerResult),
    /// It sets the switches; the stand-in applies them and answers with [`json_response`].
    SetFaults(F),
}

/// Serves the control paths, which work whatever the faults are.
pub async fn handle_control_request<F>(
    request: Request<Incoming>,
    switches: &FaultSwitches<F>,
    counters: &impl Serialize,
) -> ControlOutcome<F>
where
    F: Clone + Serialize + DeserializeOwned,
{
    match (request.method(), request.uri().path()) {
        (&Method::GET, FAULTS_PATH) => {
            ControlOutcome::Responded(json_response(StatusCode::OK, &switches.get()))
        }
        (&Method::GET, COUNTERS_PATH) => {
            ControlOutcome::Responded(json_response(StatusCode::OK, counters))
        }
        (&Method::PUT, FAULTS_PATH) => match read_json(request).await {
            Ok(Ok(faults)) => ControlOutcome::SetFaults(faults),
            Ok(Err(reply)) => ControlOutcome::Responded(reply),
            Err(closed) => ControlOutcome::Responded(Err(closed)),
        },
        _ => ControlOutcome::NotControl(request),
    }
}
