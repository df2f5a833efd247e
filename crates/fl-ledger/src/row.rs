//! The row in the table service that decides which node may run a call.

use displaydoc::Display;
use fl_protocol::call::ServiceResponse;
use fl_protocol::{Fingerprint, ServiceName, UnixMs, VmName};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use thiserror::Error;

pub use fl_protocol::ClaimNonce;
/// ID of one run of a node's process, drawn at random when it starts.
pub type InstanceId = u64;

/// State of a call as recorded in its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowState {
    /// The owner may dispatch the call or has dispatched it; only the owner knows which.
    Claimed,
    /// The owner gave up the right to dispatch the call.
    Released,
    /// The call ran and its response is recorded.
    Answered,
    /// The call may have run; no node runs it again.
    Unknown,
}

/// Value of the row of one call, stored as JSON.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// State of the call.
    pub state: RowState,
    /// Entry VM that claimed the call.
    pub owner: VmName,
    /// ID of the owner's process instance; a later instance does not know about the claim.
    pub life: InstanceId,
    /// Nonce that identifies the claim.
    #[serde_as(as = "serde_with::DisplayFromStr")]
    pub nonce: ClaimNonce,
    /// Fingerprint of the call's service and content; a reused key with other content differs here.
    pub fingerprint: Fingerprint,
    /// Service that is called; for operators who read the table.
    pub service: ServiceName,
    /// Time at which the state was set, in Unix milliseconds on the owner's wall clock.
    pub decided_at_ms: UnixMs,
    /// HTTP status of the response; 0 if there is none.
    pub answer_status: u16,
    /// Content type of the response; empty if there is none.
    pub answer_content_type: String,
    /// Body of the response; empty if there is none.
    #[serde_as(as = "Base64")]
    pub answer_body: Vec<u8>,
}

/// A row and the revision at which it was read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct VersionedRow {
    /// Revision of the row; of all writes conditional on one revision at most one succeeds.
    pub revision: u64,
    /// Value of the row.
    pub row: ClaimRow,
}

/// cannot parse or encode a row of the ledger table: {0}; check what else writes to this table
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub struct RowError(String);

impl ClaimRow {
    /// Parses the JSON value of a row.
    pub fn from_json(text: &str) -> Result<Self, RowError> {
        serde_json::from_str(text).map_err(|error| RowError(error.to_string()))
    }

    /// Returns the JSON value of the row.
    pub fn to_json(&self) -> Result<String, RowError> {
        serde_json::to_string(self).map_err(|error| RowError(error.to_string()))
    }

    /// Returns the recorded response, or `None` if the call has none.
    pub fn response(&self) -> Option<ServiceResponse> {
        (self.state == RowState::Answered).then(|| ServiceResponse {
            status: self.answer_status,
            content_type: self.answer_content_type.clone(),
            body: self.answer_body.clone(),
        })
    }
}
