//! Tests that the byte budget bounds both bursts and debts.

use fl_membership::budget::{ByteBudget, IP_UDP_HEADER_BYTES};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::full(0, 0, 2000)]
#[case::one_datagram(1, 0, 2000 - 500)]
#[case::empty(4, 0, 0)]
#[case::debt_is_bounded(1000, 2500, 500)]
#[case::burst_is_bounded(1, 60_000, 2000)]
fn available_after(#[case] datagrams: usize, #[case] wait_ms: u64, #[case] expected_bytes: usize) {
    let mut budget = ByteBudget::new(1000, Duration::ZERO);
    for _ in 0..datagrams {
        budget.spend(500 - IP_UDP_HEADER_BYTES);
    }
    budget.refill(Duration::from_millis(wait_ms));
    assert_eq!(budget.available_bytes(), expected_bytes);
}
