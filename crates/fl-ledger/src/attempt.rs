//! One try of a caller, step by step, without I/O.

use crate::claim::{Claim, Claimed, Dispatched};
use crate::decision::{
    AttemptParams, Decision, NotRunReason, OwnerReply, decide, precedes_any_takeover,
};
use crate::row::{ClaimNonce, ClaimRow, RowState, VersionedRow};
use crate::settlement::{Settlement, SettlementStep};
use fl_protocol::call::ServiceAnswer;
use fl_protocol::{UnixMs, VmName};

/// How often one write is sent before the try gives up on it.
const SENDS_PER_WRITE: u32 = 2;

/// What is to be done next.
#[derive(Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Write the row on the condition of the revision.
    Write {
        /// The condition; 0 is no row.
        revision: u64,
        /// The value.
        row: ClaimRow,
    },
    /// Read the row.
    Read,
    /// Ask the owner of a claim about it.
    AskOwner {
        /// The owner's VM.
        owner: VmName,
        /// The claim.
        nonce: ClaimNonce,
    },
    /// Wait a moment.
    Wait,
    /// Send the call to an application server.
    Dispatch,
    /// Answer the caller, then settle what is left in the background.
    End(AttemptOutcome, Option<Settlement>),
}

/// How a try ends for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The call ran; this is its answer.
    Answered(ServiceAnswer),
    /// The key was used with another body.
    KeyReused,
    /// The call may have run; nobody runs it again.
    OutcomeUnknown,
    /// The call is running at another node.
    StillRunning,
    /// The call was not run, by no try received until now.
    NotRun(NotRunReason),
    /// This try was not run; what became of other tries is not known here.
    AttemptNotRun(NotRunReason),
}

/// What came of an effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Of [`Effect::Write`].
    Written(WriteOutcome),
    /// Of [`Effect::Read`].
    Read(ReadOutcome),
    /// Of [`Effect::AskOwner`].
    Owner(OwnerReply),
    /// Of [`Effect::Wait`].
    Waited,
    /// Of [`Effect::Dispatch`].
    Sent(SendOutcome),
}

/// What came of a write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect; the row has this revision now.
    Committed(u64),
    /// The condition failed; this is the row.
    Conflict(Option<VersionedRow>),
    /// No answer: it took effect, or will, or never will.
    Lost,
    /// It was refused and never takes effect.
    Refused,
}

/// What came of a read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The row, if there is one.
    Row(Option<VersionedRow>),
    /// No answer.
    Failed,
}

/// What came of sending the call to application servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The service answered.
    Answered(ServiceAnswer),
    /// A byte may have left and no whole answer came.
    Unknown,
    /// No connection came about, so no byte left.
    NotSent,
}

#[derive(Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reading { doubted: Option<ClaimNonce> },
    Claiming(PendingWrite<Claimed>),
    ReadingBack(PendingWrite<Claimed>),
    Asking(VersionedRow),
    Waiting { ask: Option<VersionedRow> },
    Dispatched(Claim<Dispatched>, u64),
    Settling(Settlement, AttemptOutcome, u32),
    Finished,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct PendingWrite<S> {
    claim: Claim<S>,
    revision: u64,
    sends: u32,
    /// Whether an earlier send may take effect yet.
    may_arrive_late: bool,
}

/// One try of a caller; each step consumes it and says what to do next.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    params: AttemptParams,
    wait_until_ms: UnixMs,
    phase: Phase,
}

impl Attempt {
    /// Starts a try with an optimistic claim, which costs one write and no read for a new key.
    ///
    /// It waits until `wait_until_ms` at most for a run at another node.
    pub fn start(params: AttemptParams, wait_until_ms: UnixMs, now_ms: UnixMs) -> (Self, Effect) {
        Attempt { params, wait_until_ms, phase: Phase::Finished }.claim(0, now_ms)
    }

    /// Takes what came of the last effect and says what to do next.
    ///
    /// An input that does not belong to the last effect ends the try as unknown.
    pub fn step(mut self, input: Input, now_ms: UnixMs) -> (Self, Effect) {
        let phase = std::mem::replace(&mut self.phase, Phase::Finished);
        match (phase, input) {
            (Phase::Claiming(write), Input::Written(outcome)) => {
                self.claim_written(write, outcome, now_ms)
            }
            (Phase::ReadingBack(write), Input::Read(outcome)) => {
                self.read_back(write, outcome, now_ms)
            }
            (Phase::Reading { doubted }, Input::Read(outcome)) => {
                self.row_read(doubted, outcome, now_ms)
            }
            (Phase::Asking(seen), Input::Owner(word)) => self.owner_said(seen, word, now_ms),
            (Phase::Waiting { ask }, Input::Waited) => self.waited(ask, now_ms),
            (Phase::Dispatched(claim, revision), Input::Sent(outcome)) => {
                self.sent(claim, revision, outcome, now_ms)
            }
            (Phase::Settling(settlement, ending, sends), Input::Written(outcome)) => {
                self.end_written(settlement, ending, sends, outcome, now_ms)
            }
            (Phase::Settling(settlement, ending, sends), Input::Read(outcome)) => {
                self.end_read_back(settlement, ending, sends, outcome, now_ms)
            }
            _ => self.finish(AttemptOutcome::OutcomeUnknown, None),
        }
    }

    /// What this node tells others about the claim of this try; `None`: it has none in the table.
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

    /// The claim's name.
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

    fn claim_written(
        mut self,
        mut write: PendingWrite<Claimed>,
        outcome: WriteOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            WriteOutcome::Committed(revision) => self.dispatch(write.claim, revision),
            WriteOutcome::Conflict(seen) => self.claim_found(write, seen, now_ms),
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

    fn read_back(
        self,
        write: PendingWrite<Claimed>,
        outcome: ReadOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            ReadOutcome::Failed => self.abandon(write, now_ms),
            ReadOutcome::Row(seen) => self.claim_found(write, seen, now_ms),
        }
    }

    /// Goes on from the row that stands where the claim was to be written.
    fn claim_found(
        self,
        write: PendingWrite<Claimed>,
        seen: Option<VersionedRow>,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        let revision = seen.as_ref().map_or(0, |seen| seen.revision);
        if revision == write.revision {
            return self.claim_again(write, now_ms);
        }
        match seen {
            Some(seen) if seen.row == *write.claim.row() => self.dispatch(write.claim, revision),
            seen => self.follow(seen, now_ms),
        }
    }

    fn claim_again(self, write: PendingWrite<Claimed>, now_ms: UnixMs) -> (Self, Effect) {
        if write.sends < SENDS_PER_WRITE {
            return self.send_claim(write);
        }
        let settlement = Settlement::new(write.claim.release(now_ms), write.revision);
        self.settle(
            settlement,
            write.revision,
            AttemptOutcome::NotRun(NotRunReason::TableUnavailable),
        )
    }

    /// Gives the right to dispatch up while the table cannot be asked whether it was ever gained.
    fn abandon(self, write: PendingWrite<Claimed>, now_ms: UnixMs) -> (Self, Effect) {
        let settlement = Settlement::new(write.claim.release(now_ms), write.revision);
        self.finish(AttemptOutcome::AttemptNotRun(NotRunReason::TableUnavailable), Some(settlement))
    }

    fn dispatch(mut self, claim: Claim<Claimed>, revision: u64) -> (Self, Effect) {
        self.phase = Phase::Dispatched(claim.dispatch(), revision);
        (self, Effect::Dispatch)
    }

    fn sent(
        self,
        claim: Claim<Dispatched>,
        revision: u64,
        outcome: SendOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        let (claim, ending) = match outcome {
            SendOutcome::Answered(answer) => {
                (claim.record_answer(answer.clone(), now_ms), AttemptOutcome::Answered(answer))
            }
            SendOutcome::Unknown => (claim.record_unknown(now_ms), AttemptOutcome::OutcomeUnknown),
            SendOutcome::NotSent => (
                claim.revert_dispatch().release(now_ms),
                AttemptOutcome::NotRun(NotRunReason::NoBackend),
            ),
        };
        self.settle(Settlement::new(claim, revision), revision, ending)
    }

    fn settle(
        mut self,
        settlement: Settlement,
        revision: u64,
        ending: AttemptOutcome,
    ) -> (Self, Effect) {
        let effect = Effect::Write { revision, row: settlement.row().clone() };
        self.phase = Phase::Settling(settlement, ending, 1);
        (self, effect)
    }

    fn end_written(
        mut self,
        settlement: Settlement,
        ending: AttemptOutcome,
        sends: u32,
        outcome: WriteOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            WriteOutcome::Committed(_) => {
                let released_at_ms = settlement.row().decided_at_ms;
                self.finish(vouch(ending, released_at_ms, now_ms), None)
            }
            WriteOutcome::Conflict(seen) => self.end_found(settlement, ending, sends, seen, now_ms),
            WriteOutcome::Lost if sends < SENDS_PER_WRITE => {
                self.phase = Phase::Settling(settlement, ending, sends);
                (self, Effect::Read)
            }
            WriteOutcome::Lost | WriteOutcome::Refused => {
                self.finish(without_proof(ending), Some(settlement))
            }
        }
    }

    fn end_read_back(
        self,
        settlement: Settlement,
        ending: AttemptOutcome,
        sends: u32,
        outcome: ReadOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            ReadOutcome::Row(seen) => self.end_found(settlement, ending, sends, seen, now_ms),
            ReadOutcome::Failed => self.finish(without_proof(ending), Some(settlement)),
        }
    }

    /// Goes on from the row that stands where the end of the claim was to be written.
    fn end_found(
        mut self,
        settlement: Settlement,
        ending: AttemptOutcome,
        sends: u32,
        seen: Option<VersionedRow>,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match (settlement.step(seen.as_ref()), seen) {
            (SettlementStep::Write(..), _) if sends >= SENDS_PER_WRITE => {
                self.finish(without_proof(ending), Some(settlement))
            }
            (SettlementStep::Write(revision, row), _) => {
                self.phase = Phase::Settling(settlement, ending, sends + 1);
                (self, Effect::Write { revision, row })
            }
            (SettlementStep::Settled, Some(seen)) if seen.row.state == RowState::Released => {
                self.finish(vouch(ending, seen.row.decided_at_ms, now_ms), None)
            }
            (SettlementStep::Settled, _) => self.finish(without_proof(ending), None),
        }
    }

    /// Does what [`decide`] says about the row of another try.
    fn follow(mut self, seen: Option<VersionedRow>, now_ms: UnixMs) -> (Self, Effect) {
        match (decide(seen.as_ref(), &self.params, now_ms), seen) {
            (Decision::Claim(revision), _) => self.claim(revision, now_ms),
            (Decision::AskOwner, Some(seen)) => {
                let effect =
                    Effect::AskOwner { owner: seen.row.owner.clone(), nonce: seen.row.nonce };
                self.phase = Phase::Asking(seen);
                (self, effect)
            }
            (Decision::ReturnAnswer(answer), _) => {
                self.finish(AttemptOutcome::Answered(answer), None)
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

    fn owner_said(
        mut self,
        seen: VersionedRow,
        word: OwnerReply,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match word {
            OwnerReply::Released => self.release_for_owner(seen, now_ms),
            OwnerReply::Running => self.wait(Some(seen), now_ms),
            OwnerReply::Ended => self.wait(None, now_ms),
            OwnerReply::UnknownClaim => {
                self.phase = Phase::Reading { doubted: Some(seen.row.nonce) };
                (self, Effect::Read)
            }
            OwnerReply::Unreachable => self.finish(AttemptOutcome::OutcomeUnknown, None),
        }
    }

    /// Writes the released row that the owner could not write.
    ///
    /// The call is not taken over at once: the owner may have told a caller *not run*, and only
    /// tries received after that may run it.
    fn release_for_owner(self, mut seen: VersionedRow, now_ms: UnixMs) -> (Self, Effect) {
        seen.row.state = RowState::Released;
        seen.row.decided_at_ms = now_ms;
        let settlement = Settlement::of_row(seen.row, seen.revision);
        self.settle(
            settlement,
            seen.revision,
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

    fn waited(mut self, ask: Option<VersionedRow>, now_ms: UnixMs) -> (Self, Effect) {
        if ask.is_some() {
            return self.follow(ask, now_ms);
        }
        self.phase = Phase::Reading { doubted: None };
        (self, Effect::Read)
    }

    fn row_read(
        self,
        doubted: Option<ClaimNonce>,
        outcome: ReadOutcome,
        now_ms: UnixMs,
    ) -> (Self, Effect) {
        match outcome {
            ReadOutcome::Failed => {
                self.finish(AttemptOutcome::AttemptNotRun(NotRunReason::TableUnavailable), None)
            }
            ReadOutcome::Row(Some(seen))
                if Some(seen.row.nonce) == doubted && seen.row.state == RowState::Claimed =>
            {
                self.finish(AttemptOutcome::OutcomeUnknown, None)
            }
            ReadOutcome::Row(seen) => self.follow(seen, now_ms),
        }
    }

    fn finish(mut self, ending: AttemptOutcome, unsettled: Option<Settlement>) -> (Self, Effect) {
        self.phase = Phase::Finished;
        (self, Effect::End(ending, unsettled))
    }
}

/// Says *not run* only while no later try can have taken the released call over.
fn vouch(ending: AttemptOutcome, released_at_ms: UnixMs, now_ms: UnixMs) -> AttemptOutcome {
    if precedes_any_takeover(released_at_ms, now_ms) { ending } else { without_proof(ending) }
}

/// What is said where the released row is not known to be in the table.
fn without_proof(ending: AttemptOutcome) -> AttemptOutcome {
    match ending {
        AttemptOutcome::NotRun(reason) => AttemptOutcome::AttemptNotRun(reason),
        other => other,
    }
}
