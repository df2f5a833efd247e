//! Tests the estimate of a runner's prefix cache: late, lost and repeated cache events, and the
//! blocks of requests that this node sent.

use fl_protocol::engine::{CacheChange, CacheEvent};
use fl_routing::cache_estimate::CacheEstimate;
use rstest::rstest;

fn event(sequence: u64, change: CacheChange, block: u64) -> CacheEvent {
    CacheEvent { sequence, change, block }
}

fn stored(blocks: &[u64]) -> Vec<CacheEvent> {
    let number = |index: usize| index as u64 + 1;
    blocks
        .iter()
        .enumerate()
        .map(|(index, block)| event(number(index), CacheChange::Stored, *block))
        .collect()
}

#[rstest]
#[case::none(&[], 0)]
#[case::all(&[10, 20, 30], 3)]
#[case::last_block_implies_earlier(&[30], 3)]
#[case::other_prompt(&[77, 78], 0)]
fn cached_blocks(#[case] held: &[u64], #[case] expected: usize) {
    let mut estimate = CacheEstimate::default();
    estimate.apply_events(stored(held));
    assert_eq!(estimate.cached_blocks(&[10, 20, 30]), expected);
}

#[test]
fn late_events_ignored() {
    let mut estimate = CacheEstimate::default();
    estimate.apply_events(vec![
        event(2, CacheChange::Evicted, 10),
        event(1, CacheChange::Stored, 10),
        event(3, CacheChange::Stored, 20),
    ]);
    assert_eq!(estimate.cached_blocks(&[10]), 0);
    estimate.apply_events(vec![event(1, CacheChange::Stored, 10)]);
    assert_eq!(
        estimate.cached_blocks(&[10]),
        0,
        "an event that had been applied was applied again"
    );
    assert!(!estimate.needs_resync());
}

#[test]
fn gap_requires_resync() {
    let mut estimate = CacheEstimate::default();
    estimate
        .apply_events(vec![event(1, CacheChange::Stored, 10), event(9, CacheChange::Stored, 20)]);
    assert_eq!(estimate.lost_events(), 7);
    assert!(estimate.confidence() < 1.0);
    assert_eq!(estimate.resume_after(), 0, "a resync must read from the first event");
    estimate.resync(vec![event(8, CacheChange::Evicted, 10), event(9, CacheChange::Stored, 20)]);
    assert_eq!(estimate.cached_blocks(&[10]), 0);
    assert_eq!(estimate.resume_after(), 9);
}

#[test]
fn own_requests_expected() {
    let mut estimate = CacheEstimate::default();
    estimate.insert_expected(&[10, 20]);
    assert_eq!(estimate.cached_blocks(&[10, 20, 30]), 2);
    estimate.apply_events(vec![event(1, CacheChange::Evicted, 20)]);
    assert_eq!(estimate.cached_blocks(&[10, 20, 30]), 1);
}
