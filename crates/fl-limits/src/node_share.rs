//! Divides limits that all nodes share among the nodes.

use fl_protocol::{Member, MemberState};

/// Returns the number of nodes that take calls, including this node and thus at least 1.
pub fn count_live_nodes(members: &[Member]) -> usize {
    let live = members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect));
    live.count().max(1)
}

/// Returns one node's share of a limit that applies to all nodes together.
pub fn node_share(limit: f64, live_nodes: usize) -> f64 {
    limit / live_nodes.max(1) as f64
}
