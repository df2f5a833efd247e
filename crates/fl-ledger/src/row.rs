//! The row of the table service that decides who may run a call.

use displaydoc::Display;
use fl_protocol::call::ServiceAnswer;
use fl_protocol::{Fingerprint, ServiceName, UnixMs, VmName};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use thiserror::Error;

pub use fl_protocol::ClaimNonce;
/// Names one life of a node's process; drawn at random when it starts.
pub type InstanceId = u64;

/// Where a call stands, as the row says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowState {
    /// Its owner may dispatch it, or has done so; only the owner knows.
    Claimed,
    /// Its owner can no longer dispatch it.
    Released,
    /// It ran, and its answer is recorded.
    Answered,
    /// It may have run; nobody runs it again.
    Unknown,
}

/// The value of the row of one call.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Where the call stands.
    pub state: RowState,
    /// The entry VM that claimed it.
    pub owner: VmName,
    /// The life of the owner's process; another life knows nothing of the claim.
    pub life: InstanceId,
    /// The claim.
    #[serde_as(as = "serde_with::DisplayFromStr")]
    pub nonce: ClaimNonce,
    /// What is called with what.
    pub fingerprint: Fingerprint,
    /// The service, for whoever reads the table.
    pub service: ServiceName,
    /// When the state was decided, on the owner's wall clock.
    pub decided_at_ms: UnixMs,
    /// The answer's HTTP status; 0 without an answer.
    pub answer_status: u16,
    /// The answer's content type.
    pub answer_content_type: String,
    /// The answer's body.
    #[serde_as(as = "Base64")]
    pub answer_body: Vec<u8>,
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct VersionedRow {
    /// Its revision; a write on the condition of this revision excludes all others.
    pub revision: u64,
    /// Its value.
    pub row: ClaimRow,
}

/// the value of a row cannot be read: {0}; another program writes into the ledger's table
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub struct RowError(String);

impl ClaimRow {
    /// Reads the value of a row.
    pub fn from_text(text: &str) -> Result<Self, RowError> {
        serde_json::from_str(text).map_err(|error| RowError(error.to_string()))
    }

    /// Writes the value of a row.
    pub fn to_text(&self) -> Result<String, RowError> {
        serde_json::to_string(self).map_err(|error| RowError(error.to_string()))
    }

    /// The recorded answer.
    pub fn answer(&self) -> Option<ServiceAnswer> {
        (self.state == RowState::Answered).then(|| ServiceAnswer {
            status: self.answer_status,
            content_type: self.answer_content_type.clone(),
            body: self.answer_body.clone(),
        })
    }
}
