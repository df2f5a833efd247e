//! The budget of repeats, against callers that all fail at once.

use fl_limits::SlidingRetryBudget;
use proptest::prelude::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

#[test]
fn share_and_reserve() {
    let mut budget = SlidingRetryBudget::new(0.2, 5.0, WINDOW);
    for _ in 0..100 {
        budget.count_first_attempt(Duration::ZERO);
    }
    let repeats = (0..100).filter(|_| budget.try_retry(Duration::from_secs(1))).count();
    assert_eq!(repeats, 20, "four fifths of 20 and 5");
}

#[test]
fn spent_budget_returns() {
    let mut budget = SlidingRetryBudget::new(0.0, 5.0, WINDOW);
    while budget.try_retry(Duration::ZERO) {}
    assert!(!budget.try_retry(Duration::from_secs(9)));
    assert!(budget.try_retry(Duration::from_secs(12)));
}

#[test]
fn no_budget_no_repeat() {
    let mut budget = SlidingRetryBudget::new(0.0, 0.0, WINDOW);
    assert!(!budget.try_retry(Duration::ZERO));
}

proptest! {
    /// In every span of a window's length, repeats stay within what was promised for the calls of
    /// that span and the one before it.
    #[test]
    fn promise_kept(calls in proptest::collection::vec((0u64..60_000, any::<bool>()), 1..400)) {
        let (ratio, reserve) = (0.2, 8.0);
        let mut calls = calls;
        calls.sort();
        let mut budget = SlidingRetryBudget::new(ratio, reserve, WINDOW);
        let mut firsts = Vec::new();
        let mut repeats = Vec::new();
        for (at_ms, is_first) in calls {
            let now = Duration::from_millis(at_ms);
            if is_first {
                budget.count_first_attempt(now);
                firsts.push(at_ms);
            } else if budget.try_retry(now) {
                repeats.push(at_ms);
            }
        }
        let span_ms = WINDOW.as_millis() as u64;
        for end in &repeats {
            let start = end.saturating_sub(span_ms);
            let used = repeats.iter().filter(|at| (start..=*end).contains(*at)).count() as f64;
            let earlier = start.saturating_sub(span_ms);
            let seen = firsts.iter().filter(|at| (earlier..=*end).contains(*at)).count() as f64;
            prop_assert!(used <= ratio * seen + reserve, "{used} repeats of {seen} calls");
        }
    }
}
