//! What falls to this node of what all nodes share.

use fl_protocol::{Member, MemberState};

/// Counts the nodes that take calls, this one included.
pub fn count_live_nodes(members: &[Member]) -> usize {
    let live = members
        .iter()
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect));
    live.count().max(1)
}

/// This node's share of a limit over all nodes.
pub fn node_share(limit: f64, live_nodes: usize) -> f64 {
    limit / live_nodes.max(1) as f64
}
