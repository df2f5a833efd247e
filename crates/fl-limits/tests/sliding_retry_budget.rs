//! Tests the sliding retry budget when all attempts fail at once, as in a retry storm.

use fl_limits::SlidingRetryBudget;
use proptest::prelude::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

#[test]
fn ratio_and_reserve_used() {
    let mut budget = SlidingRetryBudget::new(0.2, 5.0, WINDOW);
    for _ in 0..100 {
        budget.count_first_attempt(Duration::ZERO);
    }
    let retries = (0..100).filter(|_| budget.try_retry(Duration::from_secs(1))).count();
    assert_eq!(retries, 20, "80% of 20 earned retries and a reserve of 5");
}

#[test]
fn exhausted_budget_recovers() {
    let mut budget = SlidingRetryBudget::new(0.0, 5.0, WINDOW);
    while budget.try_retry(Duration::ZERO) {}
    assert!(!budget.try_retry(Duration::from_secs(9)));
    assert!(budget.try_retry(Duration::from_secs(12)));
}

#[test]
fn no_budget_no_retry() {
    let mut budget = SlidingRetryBudget::new(0.0, 0.0, WINDOW);
    assert!(!budget.try_retry(Duration::ZERO));
}

proptest! {
    /// In every span of a window's length, the number of retries stays within the budget for the
    /// first attempts of that span and the one before it.
    #[test]
    fn retries_bounded(calls in proptest::collection::vec((0u64..60_000, any::<bool>()), 1..400)) {
        let (ratio, reserve) = (0.2, 8.0);
        let mut calls = calls;
        calls.sort();
        let mut budget = SlidingRetryBudget::new(ratio, reserve, WINDOW);
        let mut first_attempts = Vec::new();
        let mut retries = Vec::new();
        for (at_ms, is_first) in calls {
            let now = Duration::from_millis(at_ms);
            if is_first {
                budget.count_first_attempt(now);
                first_attempts.push(at_ms);
            } else if budget.try_retry(now) {
                retries.push(at_ms);
            }
        }
        let span_ms = WINDOW.as_millis() as u64;
        for end in &retries {
            let start = end.saturating_sub(span_ms);
            let used = retries.iter().filter(|at| (start..=*end).contains(*at)).count() as f64;
            let earlier = start.saturating_sub(span_ms);
            let earning = first_attempts.iter().filter(|at| (earlier..=*end).contains(*at)).count() as f64;
            prop_assert!(used <= ratio * earning + reserve, "{used} retries for {earning} first attempts");
        }
    }
}
