//! The client of plain services.

use crate::http::{ConnectionReuse, HttpClient, HttpError};
use bytes::Bytes;
use displaydoc::Display;
use fl_protocol::call::{ServiceCall, ServiceResponse};
use fl_protocol::chat::IDEMPOTENCY_KEY_HEADER;
use fl_protocol::format_request_id;
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use std::time::Duration;
use thiserror::Error;

/// Why a call of a plain service brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ServiceError {
    /// nothing was sent: {0}
    NotSent(HttpError),
    /// the call may have run: {0}
    OutcomeUnknown(HttpError),
}

/// Calls plain services; each call is one try.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    http: HttpClient,
}

impl ServiceClient {
    /// Makes a client; calls that may not be repeated need [`ConnectionReuse::Never`].
    pub fn new(reuse: ConnectionReuse) -> Self {
        ServiceClient { http: HttpClient::new(reuse) }
    }

    /// Sends a call to an application server, with the request id as its idempotency key.
    pub async fn call(
        &self,
        address: &str,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, ServiceError> {
        let request = build(address, call).map_err(ServiceError::NotSent)?;
        match self.http.fetch(request, timeout).await {
            Ok(reply) => Ok(ServiceResponse {
                status: reply.status.as_u16(),
                content_type: content_type(&reply.headers),
                body: reply.body.to_vec(),
            }),
            Err(error) if error.is_before_send() => Err(ServiceError::NotSent(error)),
            Err(error) => Err(ServiceError::OutcomeUnknown(error)),
        }
    }
}

fn build(address: &str, call: &ServiceCall) -> Result<Request<Full<Bytes>>, HttpError> {
    let uri = format!("http://{address}{}", call.path);
    Request::builder()
        .method(call.method.as_str())
        .uri(&uri)
        .header(header::CONTENT_TYPE, &call.content_type)
        .header(IDEMPOTENCY_KEY_HEADER, format_request_id(call.id))
        .body(Full::new(Bytes::from(call.body.clone())))
        .map_err(|error| HttpError::Unreadable(uri, error.to_string()))
}

fn content_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_string()
}
