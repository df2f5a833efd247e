//! Tests when another node may take over a lease, and when the holder stops holding it.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_fleet::{Lease, LeaseError, LeaseRow, Observed, RenewalOutcome};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const TERM: Duration = Duration::from_secs(10);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn row(holder: &str, fencing: u64) -> LeaseRow {
    LeaseRow { holder: holder.to_string(), fencing, term_ms: 10_000, nonce: 1 }
}

fn observed() -> Lease<Observed> {
    Lease::new("b", TERM, Duration::ZERO)
}

#[rstest]
#[case::no_row(None, 0, Some(1))]
#[case::released(Some(row("", 4)), 0, Some(5))]
#[case::just_seen(Some(row("a", 4)), 0, None)]
#[case::term_over(Some(row("a", 4)), 10, None)]
#[case::drift_over(Some(row("a", 4)), 11, Some(5))]
#[case::own_former_instance(Some(row("b", 4)), 10, None)]
fn takeover_allowed(
    #[case] found: Option<LeaseRow>,
    #[case] after_s: u64,
    #[case] fencing: Option<u64>,
) {
    let lease = observed().observe(seconds(100), found.map(|row| (7, row)));
    let acquisition = lease.acquire_write(seconds(100 + after_s), 2);
    assert_eq!(acquisition.map(|acquisition| acquisition.row.fencing), fencing);
}

#[test]
fn renewal_resets_wait() {
    let lease = observed().observe(seconds(100), Some((7, row("a", 4))));
    let lease = lease.observe(seconds(110), Some((8, row("a", 4))));
    assert_eq!(lease.acquire_write(seconds(115), 2), None);
    assert!(lease.acquire_write(seconds(121), 2).is_some());
}

#[test]
fn term_counts_from_sending() {
    let lease = observed();
    let acquisition = lease.acquire_write(seconds(5), 2).unwrap();
    let held = lease.into_held(seconds(5), acquisition, 1);
    assert_eq!(held.fencing_token(seconds(14)), Ok(1));
    assert_eq!(held.fencing_token(seconds(15)), Err(LeaseError::Expired));
    assert!(!held.is_renewal_due(seconds(8)));
    assert!(held.is_renewal_due(seconds(9)));
}

#[rstest]
#[case::written(true, 2, true)]
#[case::not_yet(false, 1, true)]
#[case::taken_over(false, 2, false)]
fn response_lost(#[case] own_nonce: bool, #[case] revision: u64, #[case] still_held: bool) {
    let lease = observed();
    let acquisition = lease.acquire_write(seconds(5), 2).unwrap();
    let held = lease.into_held(seconds(5), acquisition.clone(), 1);
    let renewal = held.renewal_write(3);
    let found = if own_nonce { renewal.row.clone() } else { row("a", 2) };
    let after = held.resolve_write(seconds(9), seconds(8), &renewal, Some((revision, found)));
    assert_eq!(matches!(after, RenewalOutcome::Held(_)), still_held);
}

/// Guards against a lease that is acquired while a holder, whose row the store has lost, still acts.
#[rstest]
#[case::no_row(None)]
#[case::released(Some(row("", 4)))]
#[case::held_before(Some(row("a", 4)))]
fn older_copy_delays_takeover(#[case] found: Option<LeaseRow>) {
    let lease = observed().observe(seconds(50), None).in_incarnation(seconds(100), 1);
    let lease = lease.observe(seconds(100), found.map(|row| (7, row)));
    assert_eq!(lease.acquire_write(seconds(110), 2), None);
    assert!(lease.acquire_write(seconds(111), 2).is_some());
}

/// Guards against a fencing token that is given out twice, since the store lost the first holder.
#[test]
fn fencing_grows_with_incarnation() {
    let before = observed().observe(seconds(50), Some((7, row("", 900))));
    let before = before.acquire_write(seconds(50), 2).unwrap().row.fencing;
    let after = observed().in_incarnation(seconds(100), 1).observe(seconds(100), None);
    assert!(after.acquire_write(seconds(111), 2).unwrap().row.fencing > before);
}

/// A contender for the lease with its own clock (rate in per mille), pauses and lost responses.
struct Contender {
    rate: u32,
    observed: Option<Lease<Observed>>,
    held: Option<Lease<fl_fleet::Held>>,
    paused_until_ms: u64,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// With pauses, clock rates within the allowed drift and lost responses, two contenders never
    /// hold the lease at once, and fencing tokens only grow.
    #[test]
    fn one_holder(
        rates in prop::collection::vec(960u32..1040, 3),
        steps in prop::collection::vec((0usize..3, any::<u16>()), 1..400),
    ) {
        let name = |index: usize| format!("entry-{index}");
        let mut table: Option<(u64, LeaseRow)> = None;
        let mut now_ms = 0u64;
        let mut highest = 0;
        let mut contenders: Vec<Contender> = rates
            .iter()
            .enumerate()
            .map(|(index, rate)| Contender {
                rate: *rate,
                observed: Some(Lease::new(&name(index), TERM, Duration::ZERO)),
                held: None,
                paused_until_ms: 0,
            })
            .collect();
        for (index, dice) in steps {
            now_ms += 1 + u64::from(dice % 1500);
            let clock = |contender: &Contender, at_ms: u64| {
                Duration::from_micros(at_ms * u64::from(contender.rate))
            };
            let contender = &mut contenders[index];
            if now_ms < contender.paused_until_ms {
                continue;
            }
            if dice % 11 == 0 {
                contender.paused_until_ms = now_ms + u64::from(dice);
                continue;
            }
            let now = clock(contender, now_ms);
            let response_lost = dice % 7 == 0;
            if let Some(held) = contender.held.take() {
                if held.fencing_token(now).is_err() {
                    contender.observed = Some(held.into_observed(now, table.clone()));
                } else if held.is_renewal_due(now) {
                    let renewal = held.renewal_write(u64::from(dice));
                    write(&mut table, &renewal);
                    if response_lost {
                        contender.held = Some(held);
                    } else {
                        match held.resolve_write(now, now, &renewal, table.clone()) {
                            RenewalOutcome::Held(held) => contender.held = Some(held),
                            RenewalOutcome::Lost(observed) => contender.observed = Some(observed),
                        }
                    }
                } else {
                    contender.held = Some(held);
                }
            } else if let Some(observed) = contender.observed.take() {
                let observed = observed.observe(now, table.clone());
                match observed.acquire_write(now, u64::from(dice)) {
                    Some(acquisition) if write(&mut table, &acquisition) && !response_lost => {
                        let revision = table.as_ref().map_or(0, |(revision, _)| *revision);
                        prop_assert!(acquisition.row.fencing > highest);
                        highest = acquisition.row.fencing;
                        contender.held = Some(observed.into_held(now, acquisition, revision));
                    }
                    _ => contender.observed = Some(observed),
                }
            }
            let holders = contenders.iter().filter(|contender| {
                let now = clock(contender, now_ms);
                contender.held.as_ref().is_some_and(|held| held.fencing_token(now).is_ok())
            });
            prop_assert!(holders.count() <= 1);
        }
    }
}

/// Applies a conditional write to the table and returns whether it succeeded.
fn write(table: &mut Option<(u64, LeaseRow)>, lease_write: &fl_fleet::LeaseWrite) -> bool {
    let revision = table.as_ref().map_or(0, |(revision, _)| *revision);
    if revision != lease_write.revision {
        return false;
    }
    *table = Some((revision + 1, lease_write.row.clone()));
    true
}
