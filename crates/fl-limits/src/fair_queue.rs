//! A weighted fair queue that measures service in tokens. In each priority class, the next call is
//! that of the workspace that has received the fewest tokens relative to its weight.
//!
//! The queue is work-conserving: as long as any call waits, [`FairQueue::pop`] returns one.

use fl_protocol::{Priority, WorkspaceName};

/// Identifier of a waiting call, chosen by the caller of the queue.
pub type Ticket = u64;

/// Number of turns of which one goes to a deferrable call first, so that counter calls cannot
/// starve deferrable ones.
pub const DEFERRABLE_TURN_INTERVAL: u64 = 8;

/// A call that waits for its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// Identifier of the call.
    pub ticket: Ticket,
    /// Number of tokens in the prompt, which are charged when the call's turn comes.
    pub prompt_tokens: u64,
}

/// The waiting calls and the received service of one workspace in one priority class.
#[derive(Debug, Clone)]
struct Account {
    workspace: WorkspaceName,
    weight: u32,
    /// Number of tokens received, divided by the weight: the virtual time of the workspace.
    virtual_tokens: f64,
    waiting: Vec<QueuedCall>,
    /// Number of calls whose turn came and that have not ended.
    running: u32,
}

/// The accounts of one priority class.
#[derive(Debug, Clone, Default)]
struct Class {
    /// Sorted by workspace.
    accounts: Vec<Account>,
}

/// A fair queue over workspaces with two priority classes.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    counter: Class,
    deferrable: Class,
    turns: u64,
}

impl FairQueue {
    /// Adds a call of a workspace.
    ///
    /// A workspace that was idle starts with the virtual time of the active workspace that received
    /// the least service, so that it cannot save up turns while it is idle.
    pub fn push(&mut self, workspace: &str, weight: u32, priority: Priority, call: QueuedCall) {
        let class = self.class_mut(priority);
        let min_active = class.min_active_virtual_tokens();
        let account = class.account_mut(workspace, weight);
        if account.is_idle() {
            account.virtual_tokens = account.virtual_tokens.max(min_active.unwrap_or(0.0));
        }
        account.waiting.push(call);
    }

    /// Removes and returns the next call, and charges its prompt to its workspace.
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

    /// Removes a call that no longer waits. Returns `false` if its turn had come before.
    pub fn remove(&mut self, workspace: &str, priority: Priority, ticket: Ticket) -> bool {
        let Some(account) = self.class_mut(priority).find_mut(workspace) else {
            return false;
        };
        let before = account.waiting.len();
        account.waiting.retain(|call| call.ticket != ticket);
        account.waiting.len() < before
    }

    /// Charges generated tokens to a workspace.
    pub fn charge(&mut self, workspace: &str, priority: Priority, tokens: u64) {
        if let Some(account) = self.class_mut(priority).find_mut(workspace) {
            account.charge(tokens);
        }
    }

    /// Records the end of a call whose turn had come.
    pub fn record_end(&mut self, workspace: &str, priority: Priority) {
        if let Some(account) = self.class_mut(priority).find_mut(workspace) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.counter.len() + self.deferrable.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimates the number of calls whose turn comes before that of a new call of a workspace.
    ///
    /// These are the workspace's own waiting calls of the class, and for each other workspace as
    /// many as its weight entitles it to meanwhile. A deferrable call also waits for all counter
    /// calls.
    pub fn calls_ahead(&self, workspace: &str, weight: u32, priority: Priority) -> usize {
        let class = self.class(priority);
        let own = class.find(workspace).map_or(0, |account| account.waiting.len());
        let rounds = (own + 1) as f64 / f64::from(weight.max(1));
        let others = class.accounts.iter().filter(|account| account.workspace != workspace);
        let of_others = others.map(|account| {
            let fair_share = rounds * f64::from(account.weight);
            account.waiting.len().min(fair_share.ceil() as usize)
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

    /// Returns the lowest virtual time of the workspaces with waiting or running calls.
    fn min_active_virtual_tokens(&self) -> Option<f64> {
        let active = self.accounts.iter().filter(|account| !account.is_idle());
        active.map(|account| account.virtual_tokens).min_by(f64::total_cmp)
    }

    fn len(&self) -> usize {
        self.accounts.iter().map(|account| account.waiting.len()).sum()
    }

    fn find_index(&self, workspace: &str) -> Result<usize, usize> {
        self.accounts.binary_search_by(|account| account.workspace.as_str().cmp(workspace))
    }

    fn find(&self, workspace: &str) -> Option<&Account> {
        self.accounts.get(self.find_index(workspace).ok()?)
    }

    fn find_mut(&mut self, workspace: &str) -> Option<&mut Account> {
        let index = self.find_index(workspace).ok()?;
        self.accounts.get_mut(index)
    }

    fn account_mut(&mut self, workspace: &str, weight: u32) -> &mut Account {
        let index = self.find_index(workspace).unwrap_or_else(|index| {
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
