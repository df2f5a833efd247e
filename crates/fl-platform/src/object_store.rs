//! Client for the object store, which holds immutable bodies under their SHA-256 digest.

use crate::http::{ConnectionReuse, HttpClient, HttpError, build_json_request};
use bytes::Bytes;
use displaydoc::Display;
use fl_protocol::sha256_hex;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Error of reading a body.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ObjectError {
    /// the object store did not answer: {0}; try again when it is available
    Unavailable(HttpError),
    /// the object store has no body {0}; push the configuration again
    Missing(String),
    /// body {0} in the object store does not match its digest; push the configuration again
    DigestMismatch(String),
}

/// Client for immutable bodies; calls are idempotent and not retried.
#[derive(Debug, Clone)]
pub struct ObjectStoreClient {
    http: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl ObjectStoreClient {
    /// Creates a client; `timeout` bounds each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        ObjectStoreClient { http: HttpClient::new(ConnectionReuse::Pooled), address, timeout }
    }

    /// Stores a body and returns its digest in hexadecimal.
    pub async fn put(&self, body: Bytes) -> Result<String, HttpError> {
        let digest = sha256_hex(&body);
        let uri = self.uri(&digest);
        let request = build_json_request(Method::PUT, &uri, body)?;
        let response = self.http.fetch(request, self.timeout).await?;
        if !response.status.is_success() {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            return Err(HttpError::Status(uri, response.status.as_u16(), text));
        }
        Ok(digest)
    }

    /// Reads a body and verifies its digest.
    pub async fn get(&self, digest: &str) -> Result<Bytes, ObjectError> {
        let uri = self.uri(digest);
        let request = build_json_request(Method::GET, &uri, Bytes::new())
            .map_err(ObjectError::Unavailable)?;
        let response =
            self.http.fetch(request, self.timeout).await.map_err(ObjectError::Unavailable)?;
        match response.status {
            StatusCode::OK if sha256_hex(&response.body) == digest => Ok(response.body),
            StatusCode::OK => Err(ObjectError::DigestMismatch(digest.to_string())),
            StatusCode::NOT_FOUND => Err(ObjectError::Missing(digest.to_string())),
            status => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                Err(ObjectError::Unavailable(HttpError::Status(uri, status.as_u16(), text)))
            }
        }
    }

    fn uri(&self, digest: &str) -> String {
        format!("http://{}/v1/objects/configuration-{digest}", self.address)
    }
}
