//! The life cycle of a claim, as types that consume themselves.
//!
//! `Claim<Claimed>` is the only thing that can be dispatched or released, and both consume it, so
//! one claim is never both. It is not `Clone`, and one task owns it.

use crate::decision::AttemptParams;
use crate::row::{ClaimRow, RowState};
use fl_protocol::UnixMs;
use fl_protocol::call::ServiceAnswer;

/// May be dispatched or released.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Claimed;
/// A byte of it may have left.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Dispatched;
/// Answered, unknown or released; its row can be written and nothing else.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Ended;

/// The right to run one call.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Claim<S> {
    row: ClaimRow,
    state: S,
}

impl Claim<Claimed> {
    /// Prepares a claim; it gives no right before its row was seen in the table.
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

    /// Gives up the right to release; a byte may leave from now on.
    pub fn dispatch(self) -> Claim<Dispatched> {
        Claim { row: self.row, state: Dispatched }
    }

    /// Gives up the right to dispatch.
    pub fn release(self, now_ms: UnixMs) -> Claim<Ended> {
        self.end(RowState::Released, now_ms)
    }
}

impl Claim<Dispatched> {
    /// Takes the service's answer.
    pub fn record_answer(mut self, answer: ServiceAnswer, now_ms: UnixMs) -> Claim<Ended> {
        self.row.answer_status = answer.status;
        self.row.answer_content_type = answer.content_type;
        self.row.answer_body = answer.body;
        self.end(RowState::Answered, now_ms)
    }

    /// Takes word that the answer did not come and the call may have run.
    pub fn record_unknown(self, now_ms: UnixMs) -> Claim<Ended> {
        self.end(RowState::Unknown, now_ms)
    }

    /// Takes word that no byte left, since no connection came about.
    pub fn revert_dispatch(self) -> Claim<Claimed> {
        Claim { row: self.row, state: Claimed }
    }
}

impl Claim<Ended> {
    /// Takes on the end of another node's claim, for writing only.
    pub(crate) fn ended(row: ClaimRow) -> Self {
        Claim { row, state: Ended }
    }
}

impl<S> Claim<S> {
    /// The row as it is to be written.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    fn end(mut self, state: RowState, now_ms: UnixMs) -> Claim<Ended> {
        self.row.state = state;
        self.row.decided_at_ms = now_ms;
        Claim { row: self.row, state: Ended }
    }
}
