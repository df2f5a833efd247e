//! Tests which data centres count as unreachable, by the silence of their nodes.

use fl_routing::zone_reachability::{LastContact, unreachable_zones};
use rstest::rstest;
use std::time::Duration;

fn contacts(nodes: &[(&str, u64)]) -> Vec<LastContact> {
    let contacts = nodes.iter().map(|(zone, silence_ms)| LastContact {
        zone: zone.to_string(),
        silence: Duration::from_millis(*silence_ms),
    });
    contacts.collect()
}

#[rstest]
#[case::all_reachable(&[("a", 50), ("b", 60), ("b", 10), ("c", 90)], 60, &[])]
#[case::one_silent_node(&[("a", 50), ("b", 5_000), ("b", 10), ("c", 90)], 60, &[])]
#[case::one_zone_silent(&[("a", 50), ("b", 500), ("b", 800), ("c", 90)], 60, &["b"])]
#[case::all_other_zones_silent(&[("a", 50), ("b", 500), ("c", 800)], 60, &["b", "c"])]
#[case::own_zone_never_listed(&[("a", 5_000), ("b", 10)], 60, &[])]
#[case::infrequent_reports(&[("b", 1_500), ("c", 900)], 940, &[])]
#[case::no_nodes_known(&[], 60, &[])]
fn silent_zones_unreachable(
    #[case] nodes: &[(&str, u64)],
    #[case] interval_ms: u64,
    #[case] expected: &[&str],
) {
    let found = unreachable_zones(&contacts(nodes), "a", Duration::from_millis(interval_ms));
    assert_eq!(found, expected);
}
