//! State machine of one attempt, without I/O.

use crate::claim::{Claim, Claimed, Dispatched};
use crate::decision::{
    AttemptParams, Decision, NotRunReason, OwnerReply, decide, precedes_any_takeover,
};
use crate::row::{ClaimNonce, ClaimRow, RowState, VersionedRow};
use crate::settlement::{Settlement, SettlementStep};
use fl_protocol::call::ServiceResponse;
use fl_protocol::{UnixMs, VmName};

/// Number of times that a write is sent before the attempt gives up on it.
const MAX_SENDS_PER_WRITE: u32 = 2;

/// Next action to perform for an attempt.
#[derive(Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Write the row if the stored row still has the revision.
    Write {
        /// Required revision of the stored row; 0 stands for no row.
        revision: u64,
        /// Value to write.
        row: ClaimRow,
    },
    /// Read the row of the call.
    Read,
    /// Ask the owner of a claim for the state of the claim.
    AskOwner {
        /// VM of the owner.
        owner: VmName,
        /// Nonce that identifies the claim.
        nonce: ClaimNonce,
    },
    /// Wait for a short time chosen by the caller of the state machine.
    Wait,
    /// Send the call to an application server.
    Dispatch,
    /// Answer the caller, then write the settlement, if any, in the background.
    End(AttemptOutcome, Option<Settlement>),
}

/// Outcome of an attempt for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The call ran and returned this response.
    Answered(ServiceResponse),
    /// The idempotency key was used with other content.
    KeyReused,
    /// The call may have run; no node runs it again.
    OutcomeUnknown,
    /// The call is running at another node.
    StillRunning,
    /// No attempt received until now ran the call.
    NotRun(NotRunReason),
    /// This attempt did not run the call; the outcome of other attempts is not known here.
    AttemptNotRun(NotRunReason),
}

/// Result of an effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Result of [`Effect::Write`].
    Written(WriteOutcome),
    /// Result of [`Effect::Read`].
    Read(ReadOutcome),
    /// Result of [`Effect::AskOwner`].
    Owner(OwnerReply),
    /// Result of [`Effect::Wait`]: the time has passed.
    Waited,
    /// Result of [`Effect::Dispatch`].
    Sent(SendOutcome),
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write took effect and the row now has this revision.
    Committed(u64),
    /// The condition failed; holds the stored row, if any.
    Conflict(Option<VersionedRow>),
    /// No response came: the write took effect, may take effect later, or never will.
    Lost,
    /// The write was refused and never takes effect.
    Refused,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The stored row, if any.
    Row(Option<VersionedRow>),
    /// No response came.
    Failed,
}

/// Result of sending the call to application servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The service answered.
    Answered(ServiceResponse),
    /// At least one byte may have been sent and no complete response came.
    Unknown,
    /// No connection was made, so no byte was sent.
    NotSent,
}

/// What the attempt waits for.
#[derive(Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Waits for the row; `unknown_nonce` is a claim that its owner replied not to know.
    Reading {
        unknown_nonce: Option<ClaimNonce>,
    },
    Claiming(PendingWrite<Claimed>),
    ReadingBack(PendingWrite<Claimed>),
    Asking(VersionedRow),
    /// Waits before asking the owner of the claim in `ask` again, or before reading the row again.
    Waiting {
        ask: Option<VersionedRow>,
    },
    Dispatched(Claim<Dispatched>, u64),
    Settling(Settlement, AttemptOutcome, u32),
    Finished,
}

/// A claim whose write was sent and may not have taken effect yet.
#[derive(Debug, PartialEq, Eq, Hash)]
struct PendingWrite<S> {
    claim: Claim<S>,
    revision: u64,
    sends: u32,
    /// Whether an earlier send of the write may still take effect.
    may_arrive_late: bool,
}

/// State machine of one attempt; each step consumes it and returns the next effect.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    params: AttemptParams,
    wait_until_ms: UnixMs,
    phase: Phase,
}

impl Attempt {
    /// Starts an attempt with an optimistic claim, which costs one write and no read for a new key.
    ///
    /// If the call is running at another node, the attempt waits for it until `wait_until_ms` at
    /// most.
    pub fn start(params: AttemptParams, wait_until_ms: UnixMs, now_ms: UnixMs) -> (Self, Effect) {
        Attempt { params, wait_until_ms, phase: Phase::Finished }.claim(0, now_ms)
    }

    /// Applies the result of the last effect and returns the next effect.
    ///
    /// An input that does not belong to the last effect ends the attempt with an unknown outcome.
    pub fn step(mut self, input: Input, now_ms: UnixMs) -> (Self, Effect) {
        let phase = std::mem::replace(&mut self.phase, Phase::Finished);
        match (phase, input) {
            (Phase::Claiming(write), Input::Written(outcome)) => {
                self.handle_claim_written(write, outcome, now_ms)
            }
            (Phase::ReadingBack(write), Input::Read(outcome)) => {
                self.handle_claim_read_back(write, outcome, now_ms)
            }
            (Phase::Reading { unknown_nonce }, Input::Read(outcome)) => {
                self.handle_row_read(unknown_nonce, outcome, now_ms)
            }
            (Phase::Asking(current), Input::Owner(reply)) => {
                self.handle_owner_reply(current, reply, now_ms)
            }
            (Phase::Waiting { ask }, Input::Waited) => self.handle_waited(ask, now_ms),
            (Phase::Dispatched(claim, revision), Input::Sent(outcome)) => {
                self.handle_sent(claim, revision, outcome, now_ms)
            }
            (Phase::Settling(settlement, attempt_outcome, sends), Input::Written(outcome)) => {
                self.handle_end_written(settlement, attempt_outcome, sends, outcome, now_ms)
            }
            (Phase::Settling(settlement, attempt_outcome, sends), Input::Read(outcome)) => {
                self.handle_end_read_back(settlement, attempt_outcome, sends, outcome, now_ms)
            }
            _ => self.finish(AttemptOutcome::OutcomeUnknown, None),
        }
    }

    /// Returns this node's reply to nodes that ask about the attempt's claim; `None` if the attempt
    /// has no claim in the table.
    pub fn owner_reply(&self) -> Option<OwnerReply> {
        match &self.phase {
            Phase::Claiming(_) | Phase::ReadingBack(_) | Phase::Dispatched(..) => {
                Some(OwnerReply::Running)
            }
            Phase::Settling(settlement, ..) => Some(settlement.owner_reply()),
            Phase::Reading { .. } | Phase::Asking(_) | Phase::Waiting { .. } | Phase::Finished => {
                None
            }
        }
    }

    /// Returns the nonce that identifies the attempt's claim.
    pub fn nonce(&self) -> ClaimNonce {
        self.params.nonce
    }

    fn claim(self, revision: u64, now_ms: UnixMs) -> (Self, Effect) {
        let claim = Claim::new(&self.params, now_ms);
        let write = PendingWrite { claim, revision, sends: 0, may_arrive_late: false };
        self.send_claim(write)
    }

    fn send_claim(mut self, mut write: PendingWrite<Claimed>) -> (Self, Effect) {
        write.sends += 1;
        let effect = Effect::Write { revision: write.revision, row: write.claim.row().clone() };
        self.phase = Phase::Claiming(write);
        (self, effect)
    }

    fn handle_claim_written(
        mut self,
        mut write: PendingWrite<Claimed>,
        outcome: WriteOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            WriteOutcome::Committed(revision) => self.dispatch(write.claim, revision),
            WriteOutcome::Conflict(current) => self.proceed_from_claim(write, current, now_ms),
            WriteOutcome::Lost => {
                write.may_arrive_late = true;
                self.phase = Phase::ReadingBack(write);
                (self, Effect::Read)
            }
            WriteOutcome::Refused if write.may_arrive_late => self.abandon(write, now_ms),
            WriteOutcome::Refused => {
                self.finish(AttemptOutcome::AttemptNotRun(NotRunReason::TableUnavailable), None)
            }
        }
    }

    fn handle_claim_read_back(
        self,
        write: PendingWrite<Claimed>,
        outcome: ReadOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            ReadOutcome::Failed => self.abandon(write, now_ms),
            ReadOutcome::Row(current) => self.proceed_from_claim(write, current, now_ms),
        }
    }

    /// Proceeds from the stored row after the write of the claim failed or its response was lost.
    fn proceed_from_claim(
        self,
        write: PendingWrite<Claimed>,
        current: Option<VersionedRow>,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        let revision = current.as_ref().map_or(0, |current| current.revision);
        if revision == write.revision {
            return self.retry_claim(write, now_ms);
        }
        match current {
            Some(current) if current.row == *write.claim.row() => {
                self.dispatch(write.claim, revision)
            }
            current => self.proceed_from(current, now_ms),
        }
    }

    fn retry_claim(self, write: PendingWrite<Claimed>, now_ms: UnixMs) -> (Self, Effect) {
        if write.sends < MAX_SENDS_PER_WRITE {
            return self.send_claim(write);
        }
        let settlement = Settlement::new(write.claim.release(now_ms), write.revision);
        self.settle(
            settlement,
            write.revision,
            AttemptOutcome::NotRun(NotRunReason::TableUnavailable),
        )
    }

    /// Gives up the right to dispatch, because the table does not say whether the claim was
    /// written.
    fn abandon(self, write: PendingWrite<Claimed>, now_ms: UnixMs) -> (Self, Effect) {
        let settlement = Settlement::new(write.claim.release(now_ms), write.revision);
        self.finish(AttemptOutcome::AttemptNotRun(NotRunReason::TableUnavailable), Some(settlement))
    }

    fn dispatch(mut self, claim: Claim<Claimed>, revision: u64) -> (Self, Effect) {
        self.phase = Phase::Dispatched(claim.dispatch(), revision);
        (self, Effect::Dispatch)
    }

    fn handle_sent(
        self,
        claim: Claim<Dispatched>,
        revision: u64,
        outcome: SendOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        let (claim, attempt_outcome) = match outcome {
            SendOutcome::Answered(response) => (
                claim.record_response(response.clone(), now_ms),
                AttemptOutcome::Answered(response),
            ),
            SendOutcome::Unknown => (claim.record_unknown(now_ms), AttemptOutcome::OutcomeUnknown),
            SendOutcome::NotSent => (
                claim.revert_dispatch().release(now_ms),
                AttemptOutcome::NotRun(NotRunReason::NoBackend),
            ),
        };
        self.settle(Settlement::new(claim, revision), revision, attempt_outcome)
    }

    fn settle(
        mut self,
        settlement: Settlement,
        revision: u64,
        attempt_outcome: AttemptOutcome,
    ) -> (Self, Effect) {
        let effect = Effect::Write { revision, row: settlement.row().clone() };
        self.phase = Phase::Settling(settlement, attempt_outcome, 1);
        (self, effect)
    }

    fn handle_end_written(
        mut self,
        settlement: Settlement,
        attempt_outcome: AttemptOutcome,
        sends: u32,
        outcome: WriteOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            WriteOutcome::Committed(_) => {
                let released_at_ms = settlement.row().decided_at_ms;
                self.finish(confirm_not_run(attempt_outcome, released_at_ms, now_ms), None)
            }
            WriteOutcome::Conflict(current) => {
                self.proceed_from_end(settlement, attempt_outcome, sends, current, now_ms)
            }
            WriteOutcome::Lost if sends < MAX_SENDS_PER_WRITE => {
                self.phase = Phase::Settling(settlement, attempt_outcome, sends);
                (self, Effect::Read)
            }
            WriteOutcome::Lost | WriteOutcome::Refused => {
                self.finish(limit_to_this_attempt(attempt_outcome), Some(settlement))
            }
        }
    }

    fn handle_end_read_back(
        self,
        settlement: Settlement,
        attempt_outcome: AttemptOutcome,
        sends: u32,
        outcome: ReadOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            ReadOutcome::Row(current) => {
                self.proceed_from_end(settlement, attempt_outcome, sends, current, now_ms)
            }
            ReadOutcome::Failed => {
                self.finish(limit_to_this_attempt(attempt_outcome), Some(settlement))
            }
        }
    }

    /// Proceeds from the stored row after the write of the claim's end failed or its response was
    /// lost.
    fn proceed_from_end(
        mut self,
        settlement: Settlement,
        attempt_outcome: AttemptOutcome,
        sends: u32,
        current: Option<VersionedRow>,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match (settlement.step(current.as_ref()), current) {
            (SettlementStep::Write(..), _) if sends >= MAX_SENDS_PER_WRITE => {
                self.finish(limit_to_this_attempt(attempt_outcome), Some(settlement))
            }
            (SettlementStep::Write(revision, row), _) => {
                self.phase = Phase::Settling(settlement, attempt_outcome, sends + 1);
                (self, Effect::Write { revision, row })
            }
            (SettlementStep::Settled, Some(current)) if current.row.state == RowState::Released => {
                self.finish(
                    confirm_not_run(attempt_outcome, current.row.decided_at_ms, now_ms),
                    None,
                )
            }
            (SettlementStep::Settled, _) => {
                self.finish(limit_to_this_attempt(attempt_outcome), None)
            }
        }
    }

    /// Applies the [`Decision`] for a row that another attempt wrote.
    fn proceed_from(mut self, current: Option<VersionedRow>, now_ms: UnixMs) -> (Self, Effect) {
        match (decide(current.as_ref(), &self.params, now_ms), current) {
            (Decision::Claim(revision), _) => self.claim(revision, now_ms),
            (Decision::AskOwner, Some(current)) => {
                let effect =
                    Effect::AskOwner { owner: current.row.owner.clone(), nonce: current.row.nonce };
                self.phase = Phase::Asking(current);
                (self, effect)
            }
            (Decision::ReturnResponse(response), _) => {
                self.finish(AttemptOutcome::Answered(response), None)
            }
            (Decision::KeyReused, _) => self.finish(AttemptOutcome::KeyReused, None),
            (Decision::NotRun, _) => {
                self.finish(AttemptOutcome::NotRun(NotRunReason::RecentlyReleased), None)
            }
            (Decision::AttemptNotRun, _) => {
                self.finish(AttemptOutcome::AttemptNotRun(NotRunReason::RecentlyReleased), None)
            }
            (Decision::AlreadyHeld | Decision::OutcomeUnknown | Decision::AskOwner, _) => {
                self.finish(AttemptOutcome::OutcomeUnknown, None)
            }
        }
    }

    fn handle_owner_reply(
        mut self,
        current: VersionedRow,
        reply: OwnerReply,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match reply {
            OwnerReply::Released => self.release_for_owner(current, now_ms),
            OwnerReply::Running => self.wait(Some(current), now_ms),
            OwnerReply::Ended => self.wait(None, now_ms),
            OwnerReply::UnknownClaim => {
                self.phase = Phase::Reading { unknown_nonce: Some(current.row.nonce) };
                (self, Effect::Read)
            }
            OwnerReply::Unreachable => self.finish(AttemptOutcome::OutcomeUnknown, None),
        }
    }

    /// Writes the released row that the owner could not write.
    ///
    /// The call is not taken over at once: the owner may have answered a caller *not run*, and only
    /// attempts received after that response may run the call.
    fn release_for_owner(self, mut current: VersionedRow, now_ms: UnixMs) -> (Self, Effect) {
        current.row.state = RowState::Released;
        current.row.decided_at_ms = now_ms;
        let settlement = Settlement::from_released_row(current.row, current.revision);
        self.settle(
            settlement,
            current.revision,
            AttemptOutcome::NotRun(NotRunReason::RecentlyReleased),
        )
    }

    fn wait(mut self, ask: Option<VersionedRow>, now_ms: UnixMs) -> (Self, Effect) {
        if now_ms >= self.wait_until_ms {
            return self.finish(AttemptOutcome::StillRunning, None);
        }
        self.phase = Phase::Waiting { ask };
        (self, Effect::Wait)
    }

    fn handle_waited(mut self, ask: Option<VersionedRow>, now_ms: UnixMs) -> (Self, Effect) {
        if ask.is_some() {
            return self.proceed_from(ask, now_ms);
        }
        self.phase = Phase::Reading { unknown_nonce: None };
        (self, Effect::Read)
    }

    fn handle_row_read(
        self,
        unknown_nonce: Option<ClaimNonce>,
        outcome: ReadOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            ReadOutcome::Failed => {
                self.finish(AttemptOutcome::AttemptNotRun(NotRunReason::TableUnavailable), None)
            }
            ReadOutcome::Row(Some(current))
                if Some(current.row.nonce) == unknown_nonce
                    && current.row.state == RowState::Claimed =>
            {
                self.finish(AttemptOutcome::OutcomeUnknown, None)
            }
            ReadOutcome::Row(current) => self.proceed_from(current, now_ms),
        }
    }

    fn finish(
        mut self,
        attempt_outcome: AttemptOutcome,
        unsettled: Option<Settlement>,
    ) -> (Self, Effect) {
        self.phase = Phase::Finished;
        (self, Effect::End(attempt_outcome, unsettled))
    }
}

/// Keeps a *not run* outcome only while no later attempt can have taken over the released call.
fn confirm_not_run(
    attempt_outcome: AttemptOutcome,
    released_at_ms: UnixMs,
    now_ms: UnixMs,
) -> AttemptOutcome {
    if precedes_any_takeover(released_at_ms, now_ms) {
        attempt_outcome
    } else {
        limit_to_this_attempt(attempt_outcome)
    }
}

/// Limits a *not run* outcome to this attempt, because the released row may not be in the table.
fn limit_to_this_attempt(attempt_outcome: AttemptOutcome) -> AttemptOutcome {
    match attempt_outcome {
        AttemptOutcome::NotRun(reason) => AttemptOutcome::AttemptNotRun(reason),
        other => other,
    }
}
