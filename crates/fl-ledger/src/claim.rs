//! The states of a claim, as types whose transitions consume them.
//!
//! Only a `Claim<Claimed>` can be dispatched or released, and both consume it, so that a claim is
//! never both dispatched and released. It is not `Clone`, and one task owns it.

use crate::decision::AttemptParams;
use crate::row::{ClaimRow, RowState};
use fl_protocol::UnixMs;
use fl_protocol::call::ServiceResponse;

/// State of a claim that may be dispatched or released.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Claimed;
/// State of a claim whose call may have been sent to an application server, at least in part.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Dispatched;
/// State of a claim that is answered, unknown or released; only its row remains to be written.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Ended;

/// The right to run one call, in state `S`.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Claim<S> {
    row: ClaimRow,
    state: S,
}

impl Claim<Claimed> {
    /// Creates a claim; the call may be dispatched only after the claim's row is in the table.
    pub fn new(params: &AttemptParams, now_ms: UnixMs) -> Self {
        let row = ClaimRow {
            state: RowState::Claimed,
            owner: params.owner.clone(),
            life: params.instance_id,
            nonce: params.nonce,
            fingerprint: params.fingerprint,
            service: params.service.clone(),
            decided_at_ms: now_ms,
            answer_status: 0,
            answer_content_type: String::new(),
            answer_body: Vec::new(),
        };
        Claim { row, state: Claimed }
    }

    /// Gives up the right to release the claim; the call may be sent from now on.
    pub fn dispatch(self) -> Claim<Dispatched> {
        Claim { row: self.row, state: Dispatched }
    }

    /// Gives up the right to dispatch the call; `now_ms` is the time of the release.
    pub fn release(self, now_ms: UnixMs) -> Claim<Ended> {
        self.end(RowState::Released, now_ms)
    }
}

impl Claim<Dispatched> {
    /// Records the response of the service.
    pub fn record_response(mut self, response: ServiceResponse, now_ms: UnixMs) -> Claim<Ended> {
        self.row.answer_status = response.status;
        self.row.answer_content_type = response.content_type;
        self.row.answer_body = response.body;
        self.end(RowState::Answered, now_ms)
    }

    /// Records that no response came although the call may have run.
    pub fn record_unknown(self, now_ms: UnixMs) -> Claim<Ended> {
        self.end(RowState::Unknown, now_ms)
    }

    /// Returns to the claimed state, because no connection was made and no byte was sent.
    pub fn revert_dispatch(self) -> Claim<Claimed> {
        Claim { row: self.row, state: Claimed }
    }
}

impl Claim<Ended> {
    /// Creates an ended claim from another node's row, in order to write that row.
    pub(crate) fn from_row(row: ClaimRow) -> Self {
        Claim { row, state: Ended }
    }
}

impl<S> Claim<S> {
    /// Returns the row to write.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    fn end(mut self, state: RowState, now_ms: UnixMs) -> Claim<Ended> {
        self.row.state = state;
        self.row.decided_at_ms = now_ms;
        Claim { row: self.row, state: Ended }
    }
}
