//! The object store, for bodies that never change and are named by their digest.

use crate::http::{ConnectionReuse, HttpClient, HttpError, build_json_request};
use bytes::Bytes;
use displaydoc::Display;
use fl_protocol::sha256_hex;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ObjectError {
    /// the object store did not answer: {0}; try again when it does
    Unavailable(HttpError),
    /// the object store has no body {0}; push the configuration again
    Missing(String),
    /// body {0} was changed in the object store; push the configuration again
    DigestMismatch(String),
}

/// Reads and writes immutable bodies; each call is one try and idempotent.
#[derive(Debug, Clone)]
pub struct ObjectStoreClient {
    http: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl ObjectStoreClient {
    /// Makes a client; `timeout` bounds each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        ObjectStoreClient { http: HttpClient::new(ConnectionReuse::Pooled), address, timeout }
    }

    /// Stores a body under its digest.
    pub async fn put(&self, body: Bytes) -> Result<String, HttpError> {
        let digest = sha256_hex(&body);
        let uri = self.uri(&digest);
        let request = build_json_request(Method::PUT, &uri, body)?;
        let reply = self.http.fetch(request, self.timeout).await?;
        if !reply.status.is_success() {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(HttpError::Status(uri, reply.status.as_u16(), text));
        }
        Ok(digest)
    }

    /// Reads a body and checks it against its digest.
    pub async fn get(&self, digest: &str) -> Result<Bytes, ObjectError> {
        let uri = self.uri(digest);
        let request = build_json_request(Method::GET, &uri, Bytes::new())
            .map_err(ObjectError::Unavailable)?;
        let reply =
            self.http.fetch(request, self.timeout).await.map_err(ObjectError::Unavailable)?;
        match reply.status {
            StatusCode::OK if sha256_hex(&reply.body) == digest => Ok(reply.body),
            StatusCode::OK => Err(ObjectError::DigestMismatch(digest.to_string())),
            StatusCode::NOT_FOUND => Err(ObjectError::Missing(digest.to_string())),
            status => {
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                Err(ObjectError::Unavailable(HttpError::Status(uri, status.as_u16(), text)))
            }
        }
    }

    fn uri(&self, digest: &str) -> String {
        format!("http://{}/v1/objects/configuration-{digest}", self.address)
    }
}
