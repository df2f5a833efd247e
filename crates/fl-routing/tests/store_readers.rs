//! Tests the assignment of the nodes that read the store for the others.

use fl_routing::store_readers::{assigned_reader, list_interval};
use rstest::rstest;
use std::net::SocketAddr;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8 + 1], 7500))
}

fn others(nodes: usize, own: usize) -> Vec<SocketAddr> {
    (0..nodes).filter(|node| *node != own).map(address).collect()
}

/// Returns the number of nodes that read the store themselves, and the largest number of nodes that
/// query the same reader.
fn reader_load(nodes: usize) -> (usize, usize) {
    let chosen: Vec<Option<SocketAddr>> =
        (0..nodes).map(|own| assigned_reader(address(own), &others(nodes, own))).collect();
    let queries = |reader: SocketAddr| chosen.iter().filter(|one| **one == Some(reader)).count();
    let readers = chosen.iter().filter(|one| one.is_none()).count();
    (readers, (0..nodes).map(|node| queries(address(node))).max().unwrap_or(0))
}

#[rstest]
#[case::alone(1, 1)]
#[case::two(2, 1)]
#[case::six(6, 1)]
#[case::sixteen(16, 1)]
#[case::seventeen(17, 2)]
#[case::sixty_one(61, 4)]
#[case::seventy_eight(78, 5)]
fn few_readers(#[case] nodes: usize, #[case] expected: usize) {
    let (readers, _) = reader_load(nodes);
    assert_eq!(readers, expected);
}

#[test]
fn queries_spread_over_readers() {
    let (_, most) = reader_load(78);
    assert!(most < 32, "one reader answers {most} of 73 nodes");
}

#[test]
fn lost_reader_replaced() {
    let reader = (0..6).find(|own| assigned_reader(address(*own), &others(6, *own)).is_none());
    let reader = address(reader.unwrap());
    for own in (0..6).map(address).filter(|own| *own != reader) {
        let remaining: Vec<SocketAddr> =
            (0..6).map(address).filter(|peer| *peer != own && *peer != reader).collect();
        assert_ne!(assigned_reader(own, &remaining), Some(reader));
    }
}

#[test]
fn isolated_node_reads_itself() {
    assert_eq!(assigned_reader(address(0), &[]), None, "no peer has a current copy");
}

/// Guards against reads of the list of nodes that grow with the fleet: each node read it every 15 s.
#[rstest]
fn list_reads_bounded(#[values(6, 61, 195, 340)] nodes: usize) {
    let reads_per_s = nodes as f64 / list_interval(nodes).as_secs_f64();
    assert!(reads_per_s <= 2.0, "{reads_per_s:.1} reads a second of {nodes} nodes");
}

/// A node that hears few others, after it was cut off for long, finds them within 20 s.
#[test]
fn cut_off_nodes_read_soon() {
    assert!(list_interval(39) <= std::time::Duration::from_secs(20));
}
