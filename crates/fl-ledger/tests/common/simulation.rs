//! Simulation of the table, the nodes and the application server, with chosen faults.

use fl_ledger::*;
use fl_protocol::UnixMs;
use fl_protocol::call::ServiceResponse;
use std::hash::{DefaultHasher, Hash, Hasher};

const START_MS: UnixMs = 1_000_000;
const WAIT_MS: UnixMs = 5_000;

/// One event of the simulation; the index selects a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The caller sends the idempotency key to a node.
    Start(usize),
    /// The last effect of an attempt succeeds.
    Succeed(usize),
    /// A write takes effect but its response is lost.
    LoseResponse(usize),
    /// A write is lost and never takes effect.
    LoseWrite(usize),
    /// The response of a write is lost; the write takes effect at a later `DeliverDelayedWrite`.
    DelayWrite(usize),
    /// A write is refused, a read fails, an owner does not reply or no server accepts a connection.
    Refuse(usize),
    /// The call runs but its response is lost.
    LoseOutcome(usize),
    /// The node of an attempt dies.
    Kill(usize),
    /// The call runs, then the node dies.
    RunAndKill(usize),
    /// The oldest delayed write takes effect, if its condition still holds.
    DeliverDelayedWrite,
    /// A node performs one step of its settlement in the background.
    Settle(usize),
    /// The given number of milliseconds passes.
    AdvanceTime(UnixMs),
}

impl Action {
    /// Returns whether the action counts against the fault limit of a path.
    pub fn is_fault(self) -> bool {
        !matches!(
            self,
            Action::Start(_)
                | Action::Succeed(_)
                | Action::DeliverDelayedWrite
                | Action::Settle(_)
                | Action::AdvanceTime(_)
        )
    }
}

/// Progress of a caller's attempt.
#[derive(Hash)]
enum CallerState {
    Waiting,
    Running(Box<Attempt>, Effect),
    Ended(AttemptOutcome, Option<Settlement>),
    Dead,
}

/// A caller that sends the idempotency key to one process instance of a node.
#[derive(Hash)]
struct Caller {
    vm: &'static str,
    instance_id: u64,
    /// Whether another attempt answered *not run* after this one was received.
    must_not_run: bool,
    state: CallerState,
}

/// State of everything that concerns one idempotency key.
#[derive(Hash)]
pub struct Simulation {
    now_ms: UnixMs,
    time_steps: u32,
    row: Option<VersionedRow>,
    delayed: Vec<(u64, ClaimRow)>,
    callers: Vec<Caller>,
    pub runs: u32,
    pub violation: Option<String>,
}

pub fn service_response() -> ServiceResponse {
    ServiceResponse { status: 200, content_type: "text/plain".into(), body: b"booked".to_vec() }
}

impl Simulation {
    pub fn new(nodes: &[(&'static str, u64)]) -> Self {
        let callers = nodes
            .iter()
            .map(|&(vm, instance_id)| Caller {
                vm,
                instance_id,
                must_not_run: false,
                state: CallerState::Waiting,
            })
            .collect();
        Simulation {
            now_ms: START_MS,
            time_steps: 0,
            row: None,
            delayed: Vec::new(),
            callers,
            runs: 0,
            violation: None,
        }
    }

    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the actions that can happen next.
    pub fn actions(&self, max_time_steps: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, caller) in self.callers.iter().enumerate() {
            match &caller.state {
                CallerState::Waiting if self.earlier_instances_are_dead(index) => {
                    actions.push(Action::Start(index));
                }
                CallerState::Running(_, effect) => add_effect_actions(index, effect, &mut actions),
                CallerState::Ended(_, Some(_)) => {
                    actions.extend([Action::Settle(index), Action::Kill(index)]);
                }
                _ => {}
            }
        }
        if !self.delayed.is_empty() {
            actions.push(Action::DeliverDelayedWrite);
        }
        if self.time_steps < max_time_steps {
            actions.extend([Action::AdvanceTime(500), Action::AdvanceTime(1300)]);
        }
        actions
    }

    pub fn apply(&mut self, action: Action) {
        match action {
            Action::Start(index) => self.start(index),
            Action::Kill(index) => self.callers[index].state = CallerState::Dead,
            Action::RunAndKill(index) => {
                self.run(index);
                self.callers[index].state = CallerState::Dead;
            }
            Action::DeliverDelayedWrite => {
                let (revision, row) = self.delayed.remove(0);
                self.write(revision, row);
            }
            Action::Settle(index) => self.settle(index),
            Action::AdvanceTime(span_ms) => {
                self.now_ms += span_ms;
                self.time_steps += 1;
            }
            Action::Succeed(index)
            | Action::LoseResponse(index)
            | Action::LoseWrite(index)
            | Action::DelayWrite(index)
            | Action::Refuse(index)
            | Action::LoseOutcome(index) => self.advance(index, action),
        }
    }

    fn earlier_instances_are_dead(&self, index: usize) -> bool {
        let caller = &self.callers[index];
        let earlier =
            |other: &Caller| other.vm == caller.vm && other.instance_id < caller.instance_id;
        self.callers
            .iter()
            .filter(|other| earlier(other))
            .all(|other| matches!(other.state, CallerState::Dead))
    }

    fn start(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let params = AttemptParams {
            nonce: index as u128 + 1,
            owner: caller.vm.to_string(),
            instance_id: caller.instance_id,
            service: "booking".into(),
            fingerprint: 7,
            received_at_ms: self.now_ms,
        };
        let (attempt, effect) = Attempt::start(params, self.now_ms + WAIT_MS, self.now_ms);
        caller.state = CallerState::Running(Box::new(attempt), effect);
    }

    fn advance(&mut self, index: usize, action: Action) {
        let state = std::mem::replace(&mut self.callers[index].state, CallerState::Dead);
        let CallerState::Running(attempt, effect) = state else {
            return;
        };
        let input = self.input(index, effect, action);
        let (attempt, effect) = attempt.step(input, self.now_ms);
        self.callers[index].state = match effect {
            Effect::End(outcome, settlement) => {
                self.check_outcome(&outcome);
                CallerState::Ended(outcome, settlement)
            }
            effect => CallerState::Running(Box::new(attempt), effect),
        };
    }

    fn input(&mut self, index: usize, effect: Effect, action: Action) -> Input {
        match (effect, action) {
            (Effect::Write { revision, row }, Action::Succeed(_)) => {
                Input::Written(self.write(revision, row))
            }
            (Effect::Write { revision, row }, Action::LoseResponse(_)) => {
                self.write(revision, row);
                Input::Written(WriteOutcome::Lost)
            }
            (Effect::Write { revision, row }, Action::DelayWrite(_)) => {
                self.delayed.push((revision, row));
                Input::Written(WriteOutcome::Lost)
            }
            (Effect::Write { .. }, Action::Refuse(_)) => Input::Written(WriteOutcome::Refused),
            (Effect::Write { .. }, _) => Input::Written(WriteOutcome::Lost),
            (Effect::Read, Action::Succeed(_)) => Input::Read(ReadOutcome::Row(self.row.clone())),
            (Effect::Read, _) => Input::Read(ReadOutcome::Failed),
            (Effect::AskOwner { owner, nonce }, Action::Succeed(_)) => {
                Input::Owner(self.ask(&owner, nonce))
            }
            (Effect::AskOwner { .. }, _) => Input::Owner(OwnerReply::Unreachable),
            (Effect::Dispatch, Action::Refuse(_)) => Input::Sent(SendOutcome::NotSent),
            (Effect::Dispatch, action) => {
                self.run(index);
                match action {
                    Action::Succeed(_) => Input::Sent(SendOutcome::Answered(service_response())),
                    _ => Input::Sent(SendOutcome::Unknown),
                }
            }
            (Effect::Wait | Effect::End(..), _) => Input::Waited,
        }
    }

    fn write(&mut self, revision: u64, row: ClaimRow) -> WriteOutcome {
        let current = self.row.as_ref().map_or(0, |current| current.revision);
        if current != revision {
            return WriteOutcome::Conflict(self.row.clone());
        }
        self.row = Some(VersionedRow { revision: revision + 1, row });
        WriteOutcome::Committed(revision + 1)
    }

    fn ask(&self, owner: &str, nonce: ClaimNonce) -> OwnerReply {
        let instances = self.callers.iter().filter(|caller| caller.vm == owner);
        let alive = instances
            .filter(|caller| !matches!(caller.state, CallerState::Dead | CallerState::Waiting));
        let mut is_running = false;
        for caller in alive {
            is_running = true;
            let reply = match &caller.state {
                CallerState::Running(attempt, _) if attempt.nonce() == nonce => {
                    attempt.owner_reply()
                }
                CallerState::Ended(_, Some(left)) if left.row().nonce == nonce => {
                    Some(left.owner_reply())
                }
                _ => None,
            };
            if let Some(reply) = reply {
                return reply;
            }
        }
        if is_running { OwnerReply::UnknownClaim } else { OwnerReply::Unreachable }
    }

    fn settle(&mut self, index: usize) {
        let CallerState::Ended(_, settlement) = &mut self.callers[index].state else {
            return;
        };
        let Some(settlement) = settlement.take() else {
            return;
        };
        if let SettlementStep::Write(revision, row) = settlement.step(self.row.as_ref()) {
            self.write(revision, row);
        }
    }

    fn run(&mut self, index: usize) {
        self.runs += 1;
        if self.runs > 1 {
            self.violation = Some(format!("the call ran {} times", self.runs));
        }
        if self.callers[index].must_not_run {
            self.violation =
                Some("an attempt received before a not-run outcome ran the call".into());
        }
    }

    fn check_outcome(&mut self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotRun(_) if self.runs > 0 => {
                self.violation = Some("a call that ran was reported as not run".into());
            }
            AttemptOutcome::NotRun(_) => self.bar_received_attempts(),
            AttemptOutcome::Answered(response)
                if self.runs == 0 || *response != service_response() =>
            {
                self.violation = Some("a response was returned that no run produced".into());
            }
            _ => {}
        }
    }
}

impl Simulation {
    fn bar_received_attempts(&mut self) {
        for caller in &mut self.callers {
            caller.must_not_run |= !matches!(caller.state, CallerState::Waiting);
        }
    }
}

fn add_effect_actions(index: usize, effect: &Effect, actions: &mut Vec<Action>) {
    actions.push(Action::Succeed(index));
    actions.push(Action::Kill(index));
    match effect {
        Effect::Write { .. } => actions.extend([
            Action::LoseResponse(index),
            Action::LoseWrite(index),
            Action::DelayWrite(index),
            Action::Refuse(index),
        ]),
        Effect::Read | Effect::AskOwner { .. } => actions.push(Action::Refuse(index)),
        Effect::Dispatch => actions.extend([
            Action::Refuse(index),
            Action::LoseOutcome(index),
            Action::RunAndKill(index),
        ]),
        Effect::Wait | Effect::End(..) => {}
    }
}
