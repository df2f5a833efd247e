//! Tests token buckets, adaptive limits, retry budgets, backoff, node shares, wait estimates and
//! the borrowing of capacity.

use fl_limits::backoff::backoff_delay;
use fl_limits::capacity_borrowing::{CapacityBorrowing, IdleCapacity};
use fl_limits::node_share::{count_live_nodes, node_share};
use fl_limits::retry_budget::INITIAL_RETRIES;
use fl_limits::wait_estimate::{WaitCorrection, WaitEstimator, retry_after_if_late};
use fl_limits::{AdaptiveLimit, RetryBudget, TokenBucket};
use fl_protocol::engine::LoadReport;
use fl_protocol::{Member, MemberState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

#[test]
fn token_bucket_refills() {
    let mut bucket = TokenBucket::new(100.0, 0);
    assert_eq!(bucket.try_take(200.0, 0), Ok(()));
    assert_eq!(bucket.try_take(50.0, 0), Err(Duration::from_millis(500)));
    assert_eq!(bucket.try_take(50.0, 500), Ok(()));
    bucket.charge(100.0, 500);
    assert_eq!(bucket.try_take(50.0, 1_000), Err(Duration::from_millis(1_000)));
}

#[test]
fn long_prompt_granted() {
    let mut bucket = TokenBucket::new(100.0, 0);
    assert_eq!(bucket.try_take(1_000.0, 0), Ok(()), "a full bucket must grant any amount");
    assert_eq!(bucket.try_take(1.0, 8_000), Err(Duration::from_millis(10)));
}

#[test]
fn lower_rate_caps_level() {
    let mut bucket = TokenBucket::with_unknown_rate(0);
    bucket.set_rate(100.0, 0);
    bucket.set_rate(10.0, 0);
    assert!(bucket.try_take(20.0, 0).is_ok());
    assert!(bucket.try_take(1.0, 0).is_err());
}

fn report(as_of_ms: u64, running: u32, waiting: u32, waiting_prefill_tokens: u64) -> LoadReport {
    LoadReport {
        as_of_ms,
        running,
        waiting,
        waiting_prefill_tokens,
        slots: 32,
        prefill_tokens_per_s: 10_000,
        ..LoadReport::default()
    }
}

#[rstest]
#[case::busy_without_queue(report(1, 24, 0, 0), 33.0)]
#[case::idle(report(1, 1, 0, 0), 32.0)]
#[case::long_prefill_queue(report(1, 4, 4, 20_000), 7.2)]
#[case::short_prefill_queue(report(1, 23, 1, 500), 33.0)]
#[case::full_slots(report(1, 32, 8, 0), 28.8)]
#[case::old_report(report(0, 4, 4, 20_000), 8.0)]
fn adaptive_limit_adjusts(#[case] report: LoadReport, #[case] expected: f64) {
    let mut limit = AdaptiveLimit::default();
    limit.observe(&report);
    limit.observe(&report);
    assert!((limit.streams() - expected).abs() < 1e-9, "{}", limit.streams());
}

#[test]
fn adaptive_limit_converges() {
    let mut limit = AdaptiveLimit::default();
    for as_of_ms in 1..200 {
        let streams = limit.streams() as u32;
        let running = streams.min(32);
        limit.observe(&report(as_of_ms, running, streams - running, 0));
    }
    assert!((28.0..=34.0).contains(&limit.streams()), "{}", limit.streams());
}

#[rstest]
#[case::all_attempts_fail(10, 1_000, 100)]
#[case::zero_percent(0, 1_000, 0)]
fn retry_budget_bounds(#[case] percent: u32, #[case] first_attempts: u32, #[case] earned: u32) {
    let mut budget = RetryBudget::new(percent);
    let mut retries = 0;
    for _ in 0..first_attempts {
        budget.count_first_attempt();
        retries += (0..3).filter(|_| budget.try_retry()).count() as u32;
    }
    let initial = if percent == 0 { 0 } else { INITIAL_RETRIES as u32 };
    assert!(retries <= earned + initial, "{retries}");
    assert!(retries >= earned.saturating_sub(1), "{retries}");
}

#[test]
fn backoff_bounds() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let (first, limit) = (Duration::from_millis(50), Duration::from_secs(2));
    for retries in 0..100 {
        let max_delay = first.saturating_mul(1 << retries.min(16)).min(limit);
        let delays: Vec<Duration> =
            (0..20).map(|_| backoff_delay(retries, first, limit, &mut random)).collect();
        assert!(delays.iter().all(|delay| *delay <= max_delay));
        assert!(delays.iter().any(|delay| *delay != delays[0]), "no jitter");
    }
}

#[test]
fn shares_of_live_nodes() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |state| Member {
        vm: "n1".to_string(),
        data_center: "dc1".to_string(),
        peer_address: address,
        gossip_address: address,
        admin_address: address,
        incarnation: 1,
        state,
    };
    use MemberState::{Alive, CutOff, Dead, Leaving, Suspect};
    let members = [Alive, Suspect, Leaving, CutOff, Dead].map(member);
    assert_eq!(count_live_nodes(&members), 2);
    assert_eq!(count_live_nodes(&[]), 1);
    assert!((node_share(600.0, 6) - 100.0).abs() < f64::EPSILON);
}

#[test]
fn late_calls_refused() {
    let mut wait_estimator = WaitEstimator::default();
    (0..500).for_each(|_| wait_estimator.record_running_time(Duration::from_millis(400)));
    let wait = wait_estimator.estimate(39, 8.0);
    assert!((wait.as_secs_f64() - 2.0).abs() < 0.01, "{wait:?}");
    assert_eq!(retry_after_if_late(wait, Duration::from_secs(3)), None);
    let retry_after = retry_after_if_late(wait, Duration::from_millis(500)).unwrap();
    assert!(
        (retry_after.as_secs_f64() - 1.65).abs() < 0.01,
        "a call may wait for 70% of its deadline"
    );
}

#[test]
fn underestimated_waits_corrected() {
    let mut correction = WaitCorrection::default();
    let estimated = Duration::from_millis(500);
    assert_eq!(correction.apply(estimated), estimated);
    (0..200).for_each(|_| correction.observe(estimated, Duration::from_millis(1_500)));
    let corrected = correction.apply(estimated);
    assert!((corrected.as_secs_f64() - 1.5).abs() < 0.01, "{corrected:?}");
    (0..200).for_each(|_| correction.observe(estimated, Duration::ZERO));
    assert!(
        correction.apply(estimated) < Duration::from_millis(510),
        "the correction must decrease again"
    );
}

#[rstest]
#[case::no_report(None, 8.0)]
#[case::idle_pool(Some(IdleCapacity { as_of_ms: 200, streams: 40.0 }), 22.0)]
#[case::stale_report(Some(IdleCapacity { as_of_ms: 100, streams: 40.0 }), 20.0)]
#[case::nothing_idle(Some(IdleCapacity { as_of_ms: 300, streams: -9.0 }), 20.0)]
#[case::bounded_by_share(Some(IdleCapacity { as_of_ms: 300, streams: 400.0 }), 32.0)]
fn borrowed_capacity(#[case] idle: Option<IdleCapacity>, #[case] expected: f64) {
    let mut borrowing = CapacityBorrowing::default();
    for (now_ms, running) in [(100, 0), (200, 2), (300, 20)] {
        borrowing.record_running(running, now_ms);
    }
    assert!((borrowing.concurrency_limit(8.0, idle) - expected).abs() < 1e-9);
}
