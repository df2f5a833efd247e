//! A budget of retries: a fixed share of the first tries, per back end.

/// Retries a back end has before it earned any.
pub const RESERVE: f64 = 3.0;
/// Retries that may be saved up.
pub const SAVED_LIMIT: f64 = 20.0;
/// Percent in one.
const PERCENT: f64 = 100.0;

/// The budget of one back end.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    earned_per_try: f64,
    balance: f64,
}

impl RetryBudget {
    /// Makes a budget of a share of the first tries, in percent.
    pub fn new(percent: u32) -> Self {
        let balance = if percent == 0 { 0.0 } else { RESERVE };
        RetryBudget { earned_per_try: f64::from(percent) / PERCENT, balance }
    }

    /// Earns the share of one first try.
    pub fn count_first_attempt(&mut self) {
        self.balance = (self.balance + self.earned_per_try).min(SAVED_LIMIT);
    }

    /// Takes one retry; false when the budget is spent.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
