//! Calls of plain services, and what is known of their outcome.

use crate::ids::*;
use serde::{Deserialize, Serialize};

/// A call of a plain service, as its caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The request, derived from the workspace and the idempotency key.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path below the service's name, with its leading slash.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The body's content type.
    pub content_type: String,
    /// Whether the caller vouches that it sent the key never before.
    ///
    /// While the ledger cannot be read, *not run* is said only of such calls.
    pub is_first_try: bool,
}

/// A plain service's answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

impl ServiceCall {
    /// Identifies what is called with what, so that a key used with another body is noticed.
    pub fn fingerprint(&self) -> Fingerprint {
        hash64(&[self.service.as_bytes(), self.method.as_bytes(), self.path.as_bytes(), &self.body])
    }
}
