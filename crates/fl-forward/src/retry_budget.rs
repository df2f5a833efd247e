//! Retry budgets by service.

use crate::clock::boot_time;
use fl_kernel::forward::ForwardBounds;
use fl_limits::SlidingRetryBudget;
use parking_lot::Mutex;
use std::time::Duration;

/// Retry budgets of this node, sorted by service.
pub struct RetryBudgets {
    ratio: f64,
    slack: f64,
    window: Duration,
    budgets: Mutex<Vec<(String, SlidingRetryBudget)>>,
}

impl RetryBudgets {
    /// Creates budgets within the promised bounds.
    pub fn new(bounds: &ForwardBounds) -> Self {
        RetryBudgets {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
            budgets: Mutex::default(),
        }
    }

    /// Returns how many retries this node has left, by service.
    pub fn remaining(&self) -> Vec<(String, f64)> {
        let now = boot_time();
        let mut budgets = self.budgets.lock();
        budgets
            .iter_mut()
            .map(|(service, budget)| (service.clone(), budget.remaining(now)))
            .collect()
    }

    /// Calls `update` on the retry budget of a service.
    ///
    /// The fixed part of the budget is divided by the number of nodes that share it.
    pub fn with_budget<T>(
        &self,
        service: &str,
        nodes: usize,
        update: impl FnOnce(&mut SlidingRetryBudget) -> T,
    ) -> T {
        let reserve = self.slack / nodes.max(1) as f64;
        let mut budgets = self.budgets.lock();
        let index = budgets.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let index = index.unwrap_or_else(|index| {
            let budget = SlidingRetryBudget::new(self.ratio, reserve, self.window);
            budgets.insert(index, (service.to_string(), budget));
            index
        });
        budgets[index].1.set_reserve(reserve);
        update(&mut budgets[index].1)
    }
}
