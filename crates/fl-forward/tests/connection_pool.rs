//! Limits of the idle connections that a node keeps to one server.

use fl_forward::connection_pool::idle_connections_max;
use rstest::rstest;

#[rstest]
#[case::not_declared(0, 6, 32)]
#[case::six_nodes(96, 6, 11)]
#[case::large_limit(660, 6, 32)]
#[case::many_nodes(430, 78, 3)]
#[case::more_nodes_than_connections(20, 78, 1)]
#[case::single_node(96, 1, 32)]
fn idle_connections_limited(
    #[case] connections_max: u32,
    #[case] nodes: usize,
    #[case] expected: usize,
) {
    assert_eq!(idle_connections_max(connections_max, nodes), expected);
}
