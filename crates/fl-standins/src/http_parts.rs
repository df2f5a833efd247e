//! Small parts of HTTP that all stand-ins use.

use crate::faults::{Outage, Switches};
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
pub type Reply = Result<Response<Body>, Closed>;

/// the stand-in closes the connection without an answer; clear its fault switch to get one
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct Closed;

/// Builds a response from parts that are always valid.
pub fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

/// RequestHandler with a JSON value.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => respond(status, "application/json", Bytes::from(body)),
        Err(_) => Err(Closed),
    }
}

/// RequestHandler with an entity tag, or with 304 and no body to a reader that has this very value.
pub fn tagged_json(known_tag: Option<&header::HeaderValue>, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).map_err(|_| Closed)?;
    let tag = header::HeaderValue::from_str(&format!("\"{}\"", fl_protocol::sha256_hex(&body)))
        .map_err(|_| Closed)?;
    let mut response = if known_tag == Some(&tag) {
        respond(StatusCode::NOT_MODIFIED, "application/json", Bytes::new())?
    } else {
        respond(StatusCode::OK, "application/json", Bytes::from(body))?
    };
    response.headers_mut().insert(header::ETAG, tag);
    Ok(response)
}

/// RequestHandler with a text.
pub fn text(status: StatusCode, message: &str) -> Reply {
    respond(status, "text/plain", Bytes::from(message.to_string()))
}

/// RequestHandler 404.
pub fn not_found() -> Reply {
    text(StatusCode::NOT_FOUND, "not known here\n")
}

/// Reads a whole body; a broken or oversized one closes the connection.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Closed> {
    let body = Limited::new(request.into_body(), BODY_LIMIT_BYTES);
    let collected = body.collect().await.map_err(|_| Closed)?;
    Ok(collected.to_bytes())
}

/// Reads a JSON body; the inner error is the answer to a malformed one.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Result<T, Reply>, Closed> {
    let body = read_body(request).await?;
    let parsed = serde_json::from_slice(&body);
    Ok(parsed.map_err(|error| text(StatusCode::BAD_REQUEST, &format!("{error}\n"))))
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
pub async fn outage_reply(outage: Outage) -> Option<Reply> {
    match outage {
        Outage::None => None,
        Outage::Unavailable => Some(text(StatusCode::SERVICE_UNAVAILABLE, "out of service\n")),
        Outage::Closed => Some(Err(Closed)),
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
pub enum Control<F> {
    /// It is no control request.
    None(Request<Incoming>),
    /// It is answered.
    Answered(Reply),
    /// It sets the switches; the stand-in applies them and answers with [`json`].
    Set(F),
}

/// Serves the control paths, which work whatever the faults are.
pub async fn control<F>(
    request: Request<Incoming>,
    switches: &Switches<F>,
    counters: &impl Serialize,
) -> Control<F>
where
    F: Clone + Serialize + DeserializeOwned,
{
    match (request.method(), request.uri().path()) {
        (&Method::GET, FAULTS_PATH) => Control::Answered(json(StatusCode::OK, &switches.get())),
        (&Method::GET, COUNTERS_PATH) => Control::Answered(json(StatusCode::OK, counters)),
        (&Method::PUT, FAULTS_PATH) => match read_json(request).await {
            Ok(Ok(faults)) => Control::Set(faults),
            Ok(Err(reply)) => Control::Answered(reply),
            Err(closed) => Control::Answered(Err(closed)),
        },
        _ => Control::None(request),
    }
}
