//! Data centres that seem cut off, by the silence of their nodes.

use fl_routing::zone_reachability::{LastContact, unreachable_zones};
use rstest::rstest;
use std::time::Duration;

fn heard(nodes: &[(&str, u64)]) -> Vec<LastContact> {
    let heard = nodes.iter().map(|(zone, ago_ms)| LastContact {
        zone: zone.to_string(),
        silence: Duration::from_millis(*ago_ms),
    });
    heard.collect()
}

#[rstest]
#[case::all_well(&[("a", 50), ("b", 60), ("b", 10), ("c", 90)], 60, &[])]
#[case::one_silent_node(&[("a", 50), ("b", 5_000), ("b", 10), ("c", 90)], 60, &[])]
#[case::one_zone(&[("a", 50), ("b", 500), ("b", 800), ("c", 90)], 60, &["b"])]
#[case::cut_off_itself(&[("a", 50), ("b", 500), ("c", 800)], 60, &["b", "c"])]
#[case::own_zone_never(&[("a", 5_000), ("b", 10)], 60, &[])]
#[case::slow_reports(&[("b", 1_500), ("c", 900)], 940, &[])]
#[case::nobody_known(&[], 60, &[])]
fn zones(#[case] nodes: &[(&str, u64)], #[case] interval_ms: u64, #[case] expected: &[&str]) {
    let found = unreachable_zones(&heard(nodes), "a", Duration::from_millis(interval_ms));
    assert_eq!(found, expected);
}
