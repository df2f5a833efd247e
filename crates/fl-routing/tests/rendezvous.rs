//! All nodes agree on the nodes that rank highest for a key.

use fl_routing::rendezvous::is_among_highest;
use rstest::rstest;

#[rstest]
#[case::few_of_many(61, 5)]
#[case::half(6, 3)]
#[case::all(4, 4)]
#[case::more_than_there_are(2, 5)]
fn every_key_has_its_nodes(#[case] nodes: u64, #[case] count: usize) {
    let nodes: Vec<u64> = (1..=nodes).collect();
    for key in 0..20 {
        let chosen = nodes.iter().filter(|own| {
            let others: Vec<u64> = nodes.iter().copied().filter(|other| other != *own).collect();
            is_among_highest(key, **own, &others, count)
        });
        assert_eq!(chosen.count(), count.min(nodes.len()));
    }
}
