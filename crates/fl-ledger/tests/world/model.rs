//! A model of the table, the nodes and the application server, in which faults are chosen.

use fl_ledger::*;
use fl_protocol::UnixMs;
use fl_protocol::call::ServiceAnswer;
use std::hash::{DefaultHasher, Hash, Hasher};

const START_MS: UnixMs = 1_000_000;
const WAIT_MS: UnixMs = 5_000;

/// One choice of the walk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The caller sends the key to a node.
    Start(usize),
    /// The last effect of a try comes about as it should.
    Go(usize),
    /// A write takes effect and its answer is lost.
    LoseAnswer(usize),
    /// A write is lost.
    LoseWrite(usize),
    /// A write's answer is lost and it takes effect at a later `Land`.
    DelayWrite(usize),
    /// A write is refused, a read fails, an owner is silent, no server takes a connection.
    Refuse(usize),
    /// The call runs and its answer is lost.
    LoseReply(usize),
    /// The node of a try dies.
    Kill(usize),
    /// The call runs and then its node dies.
    RunAndKill(usize),
    /// The oldest delayed write arrives.
    Land,
    /// A node settles in the background what it left.
    Settle(usize),
    /// Time passes.
    Tick(UnixMs),
}

impl Action {
    /// Whether it uses up one of the faults of a walk.
    pub fn is_fault(self) -> bool {
        !matches!(
            self,
            Action::Start(_) | Action::Go(_) | Action::Land | Action::Settle(_) | Action::Tick(_)
        )
    }
}

#[derive(Hash)]
enum Place {
    Waiting,
    Running(Box<Attempt>, Effect),
    Ended(AttemptOutcome, Option<Settlement>),
    Dead,
}

#[derive(Hash)]
struct Caller {
    vm: &'static str,
    life: u64,
    /// Whether *not run* was said of the key since the try was received.
    barred: bool,
    place: Place,
}

/// Everything that matters to one key.
#[derive(Hash)]
pub struct World {
    now_ms: UnixMs,
    ticks: u32,
    row: Option<VersionedRow>,
    delayed: Vec<(u64, ClaimRow)>,
    callers: Vec<Caller>,
    pub runs: u32,
    pub violation: Option<String>,
}

pub fn the_answer() -> ServiceAnswer {
    ServiceAnswer { status: 200, content_type: "text/plain".into(), body: b"booked".to_vec() }
}

impl World {
    pub fn new(nodes: &[(&'static str, u64)]) -> Self {
        let callers = nodes
            .iter()
            .map(|&(vm, life)| Caller { vm, life, barred: false, place: Place::Waiting })
            .collect();
        World {
            now_ms: START_MS,
            ticks: 0,
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

    /// Lists what can happen next.
    pub fn actions(&self, max_ticks: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, caller) in self.callers.iter().enumerate() {
            match &caller.place {
                Place::Waiting if self.predecessor_is_gone(index) => {
                    actions.push(Action::Start(index));
                }
                Place::Running(_, effect) => add_effect_actions(index, effect, &mut actions),
                Place::Ended(_, Some(_)) => {
                    actions.extend([Action::Settle(index), Action::Kill(index)]);
                }
                _ => {}
            }
        }
        if !self.delayed.is_empty() {
            actions.push(Action::Land);
        }
        if self.ticks < max_ticks {
            actions.extend([Action::Tick(500), Action::Tick(1300)]);
        }
        actions
    }

    pub fn act(&mut self, action: Action) {
        match action {
            Action::Start(index) => self.start(index),
            Action::Kill(index) => self.callers[index].place = Place::Dead,
            Action::RunAndKill(index) => {
                self.run(index);
                self.callers[index].place = Place::Dead;
            }
            Action::Land => {
                let (revision, row) = self.delayed.remove(0);
                self.write(revision, row);
            }
            Action::Settle(index) => self.settle(index),
            Action::Tick(span_ms) => {
                self.now_ms += span_ms;
                self.ticks += 1;
            }
            Action::Go(index)
            | Action::LoseAnswer(index)
            | Action::LoseWrite(index)
            | Action::DelayWrite(index)
            | Action::Refuse(index)
            | Action::LoseReply(index) => self.advance(index, action),
        }
    }

    fn predecessor_is_gone(&self, index: usize) -> bool {
        let caller = &self.callers[index];
        let earlier = |other: &Caller| other.vm == caller.vm && other.life < caller.life;
        self.callers
            .iter()
            .filter(|other| earlier(other))
            .all(|other| matches!(other.place, Place::Dead))
    }

    fn start(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let params = AttemptParams {
            nonce: index as u128 + 1,
            owner: caller.vm.to_string(),
            instance_id: caller.life,
            service: "booking".into(),
            fingerprint: 7,
            received_at_ms: self.now_ms,
        };
        let (attempt, effect) = Attempt::start(params, self.now_ms + WAIT_MS, self.now_ms);
        caller.place = Place::Running(Box::new(attempt), effect);
    }

    fn advance(&mut self, index: usize, action: Action) {
        let place = std::mem::replace(&mut self.callers[index].place, Place::Dead);
        let Place::Running(attempt, effect) = place else {
            return;
        };
        let input = self.input(index, effect, action);
        let (attempt, effect) = attempt.step(input, self.now_ms);
        self.callers[index].place = match effect {
            Effect::End(ending, unsettled) => {
                self.note_ending(&ending);
                Place::Ended(ending, unsettled)
            }
            effect => Place::Running(Box::new(attempt), effect),
        };
    }

    fn input(&mut self, index: usize, effect: Effect, action: Action) -> Input {
        match (effect, action) {
            (Effect::Write { revision, row }, Action::Go(_)) => {
                Input::Written(self.write(revision, row))
            }
            (Effect::Write { revision, row }, Action::LoseAnswer(_)) => {
                self.write(revision, row);
                Input::Written(WriteOutcome::Lost)
            }
            (Effect::Write { revision, row }, Action::DelayWrite(_)) => {
                self.delayed.push((revision, row));
                Input::Written(WriteOutcome::Lost)
            }
            (Effect::Write { .. }, Action::Refuse(_)) => Input::Written(WriteOutcome::Refused),
            (Effect::Write { .. }, _) => Input::Written(WriteOutcome::Lost),
            (Effect::Read, Action::Go(_)) => Input::Read(ReadOutcome::Row(self.row.clone())),
            (Effect::Read, _) => Input::Read(ReadOutcome::Failed),
            (Effect::AskOwner { owner, nonce }, Action::Go(_)) => {
                Input::Owner(self.ask(&owner, nonce))
            }
            (Effect::AskOwner { .. }, _) => Input::Owner(OwnerReply::Unreachable),
            (Effect::Dispatch, Action::Refuse(_)) => Input::Sent(SendOutcome::NotSent),
            (Effect::Dispatch, action) => {
                self.run(index);
                match action {
                    Action::Go(_) => Input::Sent(SendOutcome::Answered(the_answer())),
                    _ => Input::Sent(SendOutcome::Unknown),
                }
            }
            (Effect::Wait | Effect::End(..), _) => Input::Waited,
        }
    }

    fn write(&mut self, revision: u64, row: ClaimRow) -> WriteOutcome {
        let current = self.row.as_ref().map_or(0, |seen| seen.revision);
        if current != revision {
            return WriteOutcome::Conflict(self.row.clone());
        }
        self.row = Some(VersionedRow { revision: revision + 1, row });
        WriteOutcome::Committed(revision + 1)
    }

    fn ask(&self, owner: &str, nonce: ClaimNonce) -> OwnerReply {
        let lives = self.callers.iter().filter(|caller| caller.vm == owner);
        let alive = lives.filter(|caller| !matches!(caller.place, Place::Dead | Place::Waiting));
        let mut up = false;
        for caller in alive {
            up = true;
            let word = match &caller.place {
                Place::Running(attempt, _) if attempt.nonce() == nonce => attempt.owner_reply(),
                Place::Ended(_, Some(left)) if left.row().nonce == nonce => {
                    Some(left.owner_reply())
                }
                _ => None,
            };
            if let Some(word) = word {
                return word;
            }
        }
        if up { OwnerReply::UnknownClaim } else { OwnerReply::Unreachable }
    }

    fn settle(&mut self, index: usize) {
        let Place::Ended(_, unsettled) = &mut self.callers[index].place else {
            return;
        };
        let Some(settlement) = unsettled.take() else {
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
        if self.callers[index].barred {
            self.violation = Some("a try ran that was sent before a not-run answer".into());
        }
    }

    fn note_ending(&mut self, ending: &AttemptOutcome) {
        match ending {
            AttemptOutcome::NotRun(_) if self.runs > 0 => {
                self.violation = Some("not run was said of a call that ran".into());
            }
            AttemptOutcome::NotRun(_) => self.bar_received_tries(),
            AttemptOutcome::Answered(answer) if self.runs == 0 || *answer != the_answer() => {
                self.violation = Some("an answer was given that no run made".into());
            }
            _ => {}
        }
    }
}

impl World {
    fn bar_received_tries(&mut self) {
        for caller in &mut self.callers {
            caller.barred |= !matches!(caller.place, Place::Waiting);
        }
    }
}

fn add_effect_actions(index: usize, effect: &Effect, actions: &mut Vec<Action>) {
    actions.push(Action::Go(index));
    actions.push(Action::Kill(index));
    match effect {
        Effect::Write { .. } => actions.extend([
            Action::LoseAnswer(index),
            Action::LoseWrite(index),
            Action::DelayWrite(index),
            Action::Refuse(index),
        ]),
        Effect::Read | Effect::AskOwner { .. } => actions.push(Action::Refuse(index)),
        Effect::Dispatch => actions.extend([
            Action::Refuse(index),
            Action::LoseReply(index),
            Action::RunAndKill(index),
        ]),
        Effect::Wait | Effect::End(..) => {}
    }
}
