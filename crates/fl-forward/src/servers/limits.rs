//! The rate limits that backend servers name for all nodes together.

use super::Servers;
use crate::log::event::ServerLimitChanged;
use crate::node::Node;

/// Notes what a response of a server said about its limit, and logs a change.
pub fn note_limit(node: &Node, server: &str, limit_per_s: Option<f64>) {
    let mut has_changed = false;
    node.servers.with_known(server, |known| {
        has_changed = known.limit_per_s != limit_per_s;
        known.limit_per_s = limit_per_s;
    });
    if has_changed {
        node.log.write(&ServerLimitChanged { server, limit_per_s });
    }
}

impl Servers {
    /// Returns the number of servers that name a limit.
    pub fn limited(&self) -> usize {
        let state = self.state.lock();
        state.known.iter().filter(|known| known.limit_per_s.is_some()).count()
    }
}
