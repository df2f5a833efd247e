//! A token-weighted fair queue: per priority class, the workspace that got the fewest tokens for
//! its weight goes next.
//!
//! The queue is work-conserving: as long as anything waits, [`FairQueue::pop`] gives something.

use fl_protocol::{Priority, WorkspaceName};

/// Names a waiting call.
pub type Ticket = u64;

/// Every so many turns one goes to a deferrable call, so that counter calls cannot starve them.
pub const DEFERRABLE_TURN_INTERVAL: u64 = 8;

/// A call that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// Its ticket.
    pub ticket: Ticket,
    /// Tokens charged when its turn comes: its prompt.
    pub prompt_tokens: u64,
}

/// The account of one workspace in one priority class.
#[derive(Debug, Clone)]
struct Account {
    workspace: WorkspaceName,
    weight: u32,
    /// Tokens received, divided by the weight.
    virtual_tokens: f64,
    waiting: Vec<QueuedCall>,
    /// Calls whose turn came and that have not ended.
    running: u32,
}

/// The accounts of one priority class, sorted by workspace.
#[derive(Debug, Clone, Default)]
struct Class {
    accounts: Vec<Account>,
}

/// The queue.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    counter: Class,
    deferrable: Class,
    turns: u64,
}

impl FairQueue {
    /// Adds a call.
    pub fn push(&mut self, workspace: &str, weight: u32, priority: Priority, call: QueuedCall) {
        let class = self.class_mut(priority);
        let least = class.least_active();
        let account = class.account_mut(workspace, weight);
        if account.is_idle() {
            account.virtual_tokens = account.virtual_tokens.max(least.unwrap_or(0.0));
        }
        account.waiting.push(call);
    }

    /// Takes the call whose turn it is and charges its prompt.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.turns += 1;
        let deferrable_first = self.turns.is_multiple_of(DEFERRABLE_TURN_INTERVAL);
        let (first, second) = if deferrable_first {
            (Priority::Deferrable, Priority::Counter)
        } else {
            (Priority::Counter, Priority::Deferrable)
        };
        let ticket = self.class_mut(first).pop();
        ticket.or_else(|| self.class_mut(second).pop())
    }

    /// Removes a call that gave up waiting; false if its turn had come.
    pub fn remove(&mut self, workspace: &str, priority: Priority, ticket: Ticket) -> bool {
        let Some(account) = self.class_mut(priority).find_mut(workspace) else {
            return false;
        };
        let before = account.waiting.len();
        account.waiting.retain(|waiting| waiting.ticket != ticket);
        account.waiting.len() < before
    }

    /// Charges tokens that were produced.
    pub fn charge(&mut self, workspace: &str, priority: Priority, tokens: u64) {
        if let Some(account) = self.class_mut(priority).find_mut(workspace) {
            account.charge(tokens);
        }
    }

    /// Takes word that a call whose turn had come ended.
    pub fn record_end(&mut self, workspace: &str, priority: Priority) {
        if let Some(account) = self.class_mut(priority).find_mut(workspace) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Counts the calls that wait.
    pub fn len(&self) -> usize {
        self.counter.len() + self.deferrable.len()
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimates how many calls go before a new one of a workspace.
    ///
    /// Its own calls of the class go first; of each other workspace as many by weight.
    pub fn calls_ahead(&self, workspace: &str, weight: u32, priority: Priority) -> usize {
        let class = self.class(priority);
        let own = class.find(workspace).map_or(0, |account| account.waiting.len());
        let rounds = (own + 1) as f64 / f64::from(weight.max(1));
        let others = class.accounts.iter().filter(|account| account.workspace != workspace);
        let of_others = others.map(|account| {
            let fair = rounds * f64::from(account.weight);
            account.waiting.len().min(fair.ceil() as usize)
        });
        let counter_calls = match priority {
            Priority::Counter => 0,
            Priority::Deferrable => self.counter.len(),
        };
        own + of_others.sum::<usize>() + counter_calls
    }

    fn class(&self, priority: Priority) -> &Class {
        match priority {
            Priority::Counter => &self.counter,
            Priority::Deferrable => &self.deferrable,
        }
    }

    fn class_mut(&mut self, priority: Priority) -> &mut Class {
        match priority {
            Priority::Counter => &mut self.counter,
            Priority::Deferrable => &mut self.deferrable,
        }
    }
}

impl Class {
    fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.accounts.iter_mut().filter(|account| !account.waiting.is_empty());
        let next =
            waiting.min_by(|left, right| left.virtual_tokens.total_cmp(&right.virtual_tokens))?;
        let call = next.waiting.remove(0);
        next.running += 1;
        next.charge(call.prompt_tokens);
        Some(call.ticket)
    }

    /// The least counter of a workspace that waits or runs.
    fn least_active(&self) -> Option<f64> {
        let active = self.accounts.iter().filter(|account| !account.is_idle());
        active.map(|account| account.virtual_tokens).min_by(f64::total_cmp)
    }

    fn len(&self) -> usize {
        self.accounts.iter().map(|account| account.waiting.len()).sum()
    }

    fn place(&self, workspace: &str) -> Result<usize, usize> {
        self.accounts.binary_search_by(|account| account.workspace.as_str().cmp(workspace))
    }

    fn find(&self, workspace: &str) -> Option<&Account> {
        self.accounts.get(self.place(workspace).ok()?)
    }

    fn find_mut(&mut self, workspace: &str) -> Option<&mut Account> {
        let index = self.place(workspace).ok()?;
        self.accounts.get_mut(index)
    }

    fn account_mut(&mut self, workspace: &str, weight: u32) -> &mut Account {
        let index = self.place(workspace).unwrap_or_else(|index| {
            self.accounts.insert(index, Account::new(workspace));
            index
        });
        let account = &mut self.accounts[index];
        account.weight = weight.max(1);
        account
    }
}

impl Account {
    fn new(workspace: &str) -> Self {
        Account {
            workspace: workspace.to_string(),
            weight: 1,
            virtual_tokens: 0.0,
            waiting: Vec::new(),
            running: 0,
        }
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    fn charge(&mut self, tokens: u64) {
        self.virtual_tokens += tokens as f64 / f64::from(self.weight);
    }
}
