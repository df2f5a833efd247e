//! The state behind the door: the queue, the limits of workspaces and the places of this node.

use fl_limits::fair_queue::Waiting;
use fl_limits::shares::share;
use fl_limits::wait::{Pace, WaitCorrection, refusal};
use fl_limits::{FairQueue, Ticket, TokenBucket};
use fl_protocol::{Priority, Problem, UnixMs, Workspace, WorkspaceName};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Places before anything is known of the runners.
const FIRST_PLACES: f64 = 16.0;

/// A call at the door.
pub struct Entry {
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// The workspace's weight.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// How long it can wait.
    pub deadline: Duration,
    /// Is told when its turn comes.
    pub turn: oneshot::Sender<()>,
}

struct Turn {
    ticket: Ticket,
    workspace: WorkspaceName,
    since: Instant,
    estimated: Duration,
    came: oneshot::Sender<()>,
}

struct Limits {
    workspace: WorkspaceName,
    tokens: TokenBucket,
    requests: TokenBucket,
    correction: WaitCorrection,
}

/// The state behind the door.
pub struct Door {
    queue: FairQueue,
    pace: Pace,
    places: f64,
    running: usize,
    live_nodes: usize,
    next_ticket: Ticket,
    /// Sorted by ticket, since tickets only grow.
    turns: Vec<Turn>,
    /// Sorted by workspace.
    limits: Vec<Limits>,
}

impl Default for Door {
    fn default() -> Self {
        Door {
            queue: FairQueue::default(),
            pace: Pace::default(),
            places: FIRST_PLACES,
            running: 0,
            live_nodes: 1,
            next_ticket: 1,
            turns: Vec::new(),
            limits: Vec::new(),
        }
    }
}

impl Door {
    /// Queues a call, or refuses at once what is over its limit or cannot meet its deadline.
    pub fn enter(
        &mut self,
        entry: Entry,
        declared: Option<&Workspace>,
        now_ms: UnixMs,
    ) -> Result<Ticket, Problem> {
        let estimated = self.check_deadline(&entry, now_ms)?;
        if let Some(declared) = declared {
            self.check_limits(&entry, declared, now_ms)?;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let call = Waiting { ticket, prompt_tokens: entry.prompt_tokens };
        self.queue.push(&entry.workspace, entry.weight, entry.priority, call);
        self.turns.push(Turn {
            ticket,
            workspace: entry.workspace,
            since: Instant::now(),
            estimated,
            came: entry.turn,
        });
        Ok(ticket)
    }

    /// Gives free places to the calls whose turn it is.
    pub fn let_through(&mut self) {
        while (self.running as f64) < self.places.max(1.0) {
            let Some(ticket) = self.queue.pop() else {
                return;
            };
            self.running += 1;
            self.give_turn(ticket);
        }
    }

    /// Takes word that a call stopped waiting, before its turn or just after it.
    pub fn give_up(&mut self, workspace: &str, priority: Priority, ticket: Ticket) {
        self.turns.retain(|turn| turn.ticket != ticket);
        if !self.queue.remove(workspace, priority, ticket) {
            self.queue.ended(workspace, priority);
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Takes a place back.
    pub fn leave(&mut self, workspace: &str, priority: Priority, held: Duration) {
        self.queue.ended(workspace, priority);
        self.pace.ended(held);
        self.running = self.running.saturating_sub(1);
    }

    /// Charges tokens that were produced.
    pub fn charge(&mut self, workspace: &str, priority: Priority, tokens: u64, now_ms: UnixMs) {
        self.queue.charge(workspace, priority, tokens);
        if let Ok(index) = self.limits_place(workspace) {
            self.limits[index].tokens.charge(tokens as f64, now_ms);
        }
    }

    /// Takes the places this node has and the number of nodes that share limits.
    pub fn set_places(&mut self, places: f64, live_nodes: usize) {
        self.places = places;
        self.live_nodes = live_nodes;
    }

    /// Calls of this node that hold a place.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn give_turn(&mut self, ticket: Ticket) {
        let Ok(index) = self.turns.binary_search_by_key(&ticket, |turn| turn.ticket) else {
            return;
        };
        let turn = self.turns.remove(index);
        if let Ok(place) = self.limits_place(&turn.workspace) {
            self.limits[place].correction.learn(turn.estimated, turn.since.elapsed());
        }
        // A caller that went away gives its place back itself, as its turn had come.
        let _ = turn.came.send(());
    }

    /// Estimates the wait, or refuses what would wait beyond its deadline.
    fn check_deadline(&mut self, entry: &Entry, now_ms: UnixMs) -> Result<Duration, Problem> {
        if (self.running as f64) < self.places && self.queue.is_empty() {
            return Ok(Duration::ZERO);
        }
        let ahead = self.queue.ahead(&entry.workspace, entry.weight, entry.priority);
        let estimated = self.pace.wait(ahead, self.places);
        let wait = self.limits_of(&entry.workspace, now_ms).correction.apply(estimated);
        match refusal(wait, entry.deadline) {
            Some(retry_after) => Err(Problem::Overloaded { retry_after }),
            None => Ok(estimated),
        }
    }

    fn check_limits(
        &mut self,
        entry: &Entry,
        declared: &Workspace,
        now_ms: UnixMs,
    ) -> Result<(), Problem> {
        let live_nodes = self.live_nodes;
        let limits = self.limits_of(&entry.workspace, now_ms);
        let over =
            |retry_after| Problem::OverLimit { workspace: entry.workspace.clone(), retry_after };
        if declared.limit_requests_per_s > 0 {
            let rate_per_s = share(declared.limit_requests_per_s as f64, live_nodes);
            limits.requests.set_rate(rate_per_s, now_ms);
            limits.requests.try_take(1.0, now_ms).map_err(over)?;
        }
        if declared.limit_tokens_per_s > 0 {
            let rate_per_s = share(declared.limit_tokens_per_s as f64, live_nodes);
            limits.tokens.set_rate(rate_per_s, now_ms);
            limits.tokens.try_take(entry.prompt_tokens as f64, now_ms).map_err(over)?;
        }
        Ok(())
    }

    fn limits_place(&self, workspace: &str) -> Result<usize, usize> {
        self.limits.binary_search_by(|limits| limits.workspace.as_str().cmp(workspace))
    }

    fn limits_of(&mut self, workspace: &str, now_ms: UnixMs) -> &mut Limits {
        let index = self.limits_place(workspace).unwrap_or_else(|index| {
            let unused = || TokenBucket::unused(now_ms);
            let limits = Limits {
                workspace: workspace.to_string(),
                tokens: unused(),
                requests: unused(),
                correction: WaitCorrection::default(),
            };
            self.limits.insert(index, limits);
            index
        });
        &mut self.limits[index]
    }
}
