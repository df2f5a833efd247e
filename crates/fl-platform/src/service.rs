//! Client for plain services on application servers.

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

/// Error of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ServiceError {
    /// the call was not sent: {0}
    NotSent(HttpError),
    /// the call may have run: {0}
    OutcomeUnknown(HttpError),
}

/// Client for plain services; calls are not retried.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    http: HttpClient,
}

impl ServiceClient {
    /// Creates a client; calls that are not retryable need [`ConnectionReuse::Never`].
    pub fn new(reuse: ConnectionReuse) -> Self {
        ServiceClient { http: HttpClient::new(reuse) }
    }

    /// Sends a call to the application server at `address` (`ip:port`).
    ///
    /// The request id is sent as the idempotency key.
    pub async fn call(
        &self,
        address: &str,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, ServiceError> {
        let request = build_request(address, call).map_err(ServiceError::NotSent)?;
        match self.http.fetch_within(request, timeout).await {
            Ok(response) => Ok(ServiceResponse {
                status: response.status.as_u16(),
                content_type: read_content_type(&response.headers),
                body: response.body.to_vec(),
            }),
            Err(error) if error.is_before_send() => Err(ServiceError::NotSent(error)),
            Err(error) => Err(ServiceError::OutcomeUnknown(error)),
        }
    }
}

fn build_request(address: &str, call: &ServiceCall) -> Result<Request<Full<Bytes>>, HttpError> {
    let uri = format!("http://{address}{}", call.path);
    Request::builder()
        .method(call.method.as_str())
        .uri(&uri)
        .header(header::CONTENT_TYPE, &call.content_type)
        .header(IDEMPOTENCY_KEY_HEADER, format_request_id(call.id))
        .body(Full::new(Bytes::from(call.body.clone())))
        .map_err(|error| HttpError::Unreadable(uri, error.to_string()))
}

fn read_content_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_string()
}
