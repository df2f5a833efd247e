//! Calls of plain services and their responses.

use crate::ids::*;
use serde::{Deserialize, Serialize};

/// A call of a plain service, as its caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Request id, derived from the workspace and the idempotency key.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Name of the called service.
    pub service: ServiceName,
    /// HTTP method of the request.
    pub method: String,
    /// Path below the service's name, with its leading slash.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: String,
    /// Whether the caller states that it never sent this idempotency key before.
    ///
    /// While the ledger cannot be read, only such calls are reported as not run.
    pub is_first_try: bool,
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl ServiceCall {
    /// Returns a hash of the service, method, path and body, which reveals that an idempotency key
    /// is reused for another call.
    pub fn fingerprint(&self) -> Fingerprint {
        hash64(&[self.service.as_bytes(), self.method.as_bytes(), self.path.as_bytes(), &self.body])
    }
}
