//! Executes one attempt of a call that must not be repeated, step by step.

use super::NodeLedger;
use fl_kernel::clock::unix_ms;
use fl_ledger::{Attempt, AttemptOutcome, AttemptParams, Effect, Input, NotRunReason, Settlement};
use fl_protocol::call::{ServiceCall, ServiceResponse};
use fl_protocol::event::EventKind;
use fl_protocol::{PlainService, Problem, format_request_id};
use std::time::Duration;

/// Time between two queries about a call that runs at another node.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How much longer than the service's timeout to wait for a call that runs at another node, in
/// milliseconds.
const EXTRA_WAIT_MS: u64 = 1_000;
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The retry delay that callers are given after a claim is released; longer than
/// [`RELEASE_HOLD_MS`](fl_ledger::decision::RELEASE_HOLD_MS), within which no attempt takes over
/// the released call.
const RETRY_AFTER_RELEASE: Duration = Duration::from_secs(2);

impl NodeLedger {
    pub(super) async fn execute(
        &self,
        call: &ServiceCall,
        service: &PlainService,
    ) -> Result<ServiceResponse, Problem> {
        if self.store.is_out() {
            return Err(attempt_not_run_problem(NotRunReason::TableUnavailable, call.is_first_try));
        }
        let key = format_request_id(call.id);
        let attempt_params = self.new_attempt_params(call);
        let nonce = attempt_params.nonce;
        let wait_until_ms = attempt_params.received_at_ms + service.timeout_ms + EXTRA_WAIT_MS;
        let (mut attempt, mut effect) = Attempt::start(attempt_params, wait_until_ms, unix_ms());
        loop {
            let input = match effect {
                Effect::End(outcome, settlement) => {
                    self.record_outcome(call, nonce, &outcome, settlement);
                    return to_response(outcome, call.is_first_try);
                }
                effect => {
                    // Peers may ask as soon as the effect is visible, so the status is set first.
                    self.local_claims.set_status(nonce, attempt.owner_reply());
                    self.perform(call, service, &key, effect).await
                }
            };
            (attempt, effect) = attempt.step(input, unix_ms());
        }
    }

    fn new_attempt_params(&self, call: &ServiceCall) -> AttemptParams {
        AttemptParams {
            nonce: rand::random(),
            owner: self.context.settings.node.vm.clone(),
            instance_id: self.instance_id,
            service: call.service.clone(),
            fingerprint: call.fingerprint(),
            received_at_ms: unix_ms(),
        }
    }

    async fn perform(
        &self,
        call: &ServiceCall,
        service: &PlainService,
        key: &str,
        effect: Effect,
    ) -> Input {
        match effect {
            Effect::Write { revision, row } => {
                Input::Written(self.store.write(key, revision, row).await)
            }
            Effect::Read => Input::Read(self.store.read(key).await),
            Effect::AskOwner { owner, nonce } => Input::Owner(self.ask_owner(&owner, nonce).await),
            Effect::Dispatch => {
                self.record(EventKind::Claimed, call.id, call.service.clone());
                Input::Sent(self.dispatch(call, service).await)
            }
            Effect::Wait | Effect::End(..) => {
                tokio::time::sleep(OWNER_POLL_INTERVAL).await;
                Input::Waited
            }
        }
    }

    fn record_outcome(
        &self,
        call: &ServiceCall,
        nonce: u128,
        outcome: &AttemptOutcome,
        settlement: Option<Settlement>,
    ) {
        let kind = match outcome {
            AttemptOutcome::Answered(_) => Some(EventKind::OutcomeRecorded),
            AttemptOutcome::OutcomeUnknown => Some(EventKind::OutcomeUnknown),
            AttemptOutcome::NotRun(_) => Some(EventKind::ClaimReleased),
            AttemptOutcome::KeyReused
            | AttemptOutcome::StillRunning
            | AttemptOutcome::AttemptNotRun(_) => None,
        };
        let settled = if settlement.is_some() { "not settled yet" } else { "settled" };
        if let Some(kind) = kind {
            self.record(kind, call.id, settled.to_string());
        }
        self.local_claims.set_status(nonce, settlement.as_ref().map(Settlement::owner_reply));
        if let Some(settlement) = settlement {
            self.settle_in_background(call.id, nonce, settlement);
        }
    }
}

fn to_response(outcome: AttemptOutcome, is_first_try: bool) -> Result<ServiceResponse, Problem> {
    match outcome {
        AttemptOutcome::Answered(response) => Ok(response),
        AttemptOutcome::KeyReused => Err(Problem::KeyReused),
        AttemptOutcome::OutcomeUnknown => Err(Problem::OutcomeUnknown),
        AttemptOutcome::StillRunning => Err(Problem::StillRunning { retry_after: RETRY_AFTER }),
        AttemptOutcome::NotRun(reason) => Err(not_run_problem(reason)),
        AttemptOutcome::AttemptNotRun(reason) => Err(attempt_not_run_problem(reason, is_first_try)),
    }
}

fn not_run_problem(reason: NotRunReason) -> Problem {
    match reason {
        NotRunReason::TableUnavailable => Problem::PlatformUnavailable { retry_after: RETRY_AFTER },
        NotRunReason::NoBackend | NotRunReason::RecentlyReleased => {
            Problem::NoBackend { retry_after: RETRY_AFTER_RELEASE }
        }
    }
}

/// Returns the problem of an attempt that was not run.
///
/// It is reported as *not run* only if the caller asserts that it never sent another attempt with
/// this key; otherwise an earlier attempt may have run the call.
fn attempt_not_run_problem(reason: NotRunReason, is_first_try: bool) -> Problem {
    if is_first_try {
        return not_run_problem(reason);
    }
    Problem::EarlierTryUnknown { retry_after: RETRY_AFTER_RELEASE }
}
