//! A retry budget per backend: each first attempt earns a fixed fraction of a retry.

/// Number of retries that a budget starts with.
pub const INITIAL_RETRIES: f64 = 3.0;
/// Maximum number of retries that a budget can save up.
pub const MAX_SAVED_RETRIES: f64 = 20.0;
const PERCENT: f64 = 100.0;

/// The retry budget of one backend, a server or a pool of servers.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    earned_per_attempt: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget that allows retries for a percentage of the first attempts. With 0 percent,
    /// it allows none.
    pub fn new(percent: u32) -> Self {
        let balance = if percent == 0 { 0.0 } else { INITIAL_RETRIES };
        RetryBudget { earned_per_attempt: f64::from(percent) / PERCENT, balance }
    }

    /// Counts a first attempt, which adds to the budget.
    pub fn count_first_attempt(&mut self) {
        self.balance = (self.balance + self.earned_per_attempt).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget. Returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
