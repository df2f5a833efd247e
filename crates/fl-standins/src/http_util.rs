//! HTTP helpers that all stand-ins share.

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

/// The path under which the faults are read and replaced.
pub const FAULTS_PATH: &str = "/faults";
/// The path under which the counters are read.
pub const COUNTERS_PATH: &str = "/counters";
/// The largest request body that a stand-in reads, in bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// The response body of a stand-in, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// A response, or the instruction to close the connection without one.
pub type HandlerResult = Result<Response<Body>, CloseConnection>;

/// the stand-in closes the connection without a response; switch its fault off to get one
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct CloseConnection;

/// Returns a response whose body is known in full.
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

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> HandlerResult {
    match serde_json::to_vec(value) {
        Ok(body) => build_response(status, "application/json", Bytes::from(body)),
        Err(_) => Err(CloseConnection),
    }
}

/// Returns a JSON response with an entity tag, or status 304 without a body if the reader already
/// has the value with this tag.
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

/// Returns a response with a plain text.
pub fn text_response(status: StatusCode, message: &str) -> HandlerResult {
    build_response(status, "text/plain", Bytes::from(message.to_string()))
}

/// Returns a response with status 404.
pub fn not_found() -> HandlerResult {
    text_response(StatusCode::NOT_FOUND, "not found; check the path and the name\n")
}

/// Reads a request body in full. A body that breaks off or is too large closes the connection.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, CloseConnection> {
    let body = Limited::new(request.into_body(), BODY_LIMIT_BYTES);
    let collected = body.collect().await.map_err(|_| CloseConnection)?;
    Ok(collected.to_bytes())
}

/// Reads a JSON body. The inner error is the response to a malformed one.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, HandlerResult>, CloseConnection> {
    let body = read_body(request).await?;
    let parsed = serde_json::from_slice(&body);
    Ok(parsed.map_err(|error| text_response(StatusCode::BAD_REQUEST, &format!("{error}\n"))))
}

/// Returns the first value of a query parameter, percent-decoded.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value));
    values.next()
}

/// Decodes `%XX` sequences; malformed ones stay as they are.
pub fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut remaining = text.as_bytes();
    while let Some((&first, tail)) = remaining.split_first() {
        let decoded = tail.get(..2).filter(|_| first == b'%').and_then(decode_hex_byte);
        bytes.push(decoded.unwrap_or(first));
        remaining = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Decodes two hexadecimal digits; `None` if they are none.
fn decode_hex_byte(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

/// Returns the response of a service that is out, or `None` when it works. Never returns for a
/// frozen service.
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

/// Sleeps for the given time; 0 returns without yielding.
pub async fn delay_ms(duration_ms: u64) {
    if duration_ms > 0 {
        tokio::time::sleep(Duration::from_millis(duration_ms)).await;
    }
}

/// What a request means to the control paths.
pub enum ControlOutcome<F> {
    /// The request is for another path; the stand-in serves it.
    NotControl(Request<Incoming>),
    /// The request has been handled with this result.
    Responded(HandlerResult),
    /// The request replaces the faults. The stand-in applies them and responds with
    /// [`json_response`].
    SetFaults(F),
}

/// Handles the control paths, which work regardless of the faults.
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
            Ok(Err(response)) => ControlOutcome::Responded(response),
            Err(close) => ControlOutcome::Responded(Err(close)),
        },
        _ => ControlOutcome::NotControl(request),
    }
}
