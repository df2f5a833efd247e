//! Which data centres seem cut off: all nodes of one fell silent at once.
//!
//! Calls to servers behind a cut hang until a timeout, and those that may not be repeated are lost.
//! Nodes hear each other many times a second, so their silence shows a cut long before.

use fl_protocol::DataCenterName;
use std::time::Duration;

/// Silence of all nodes of a data centre after which it seems cut off; several of their reports.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(400);

/// When a node was heard last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastContact {
    /// Its data centre.
    pub zone: DataCenterName,
    /// How long ago.
    pub silence: Duration,
}

/// The data centres that seem cut off from a node in `own_zone`, sorted.
///
/// `interval` is the time between two reports; in a large fleet it is what bounds the silence.
pub fn unreachable_zones(
    heard: &[LastContact],
    own_zone: &str,
    interval: Duration,
) -> Vec<DataCenterName> {
    let limit = UNREACHABLE_AFTER.max(interval * 3);
    let mut zones: Vec<&str> = heard.iter().map(|node| node.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let is_unreachable = |zone: &&str| {
        let mut nodes = heard.iter().filter(|node| node.zone == **zone);
        **zone != *own_zone && nodes.all(|node| node.silence > limit)
    };
    zones.into_iter().filter(is_unreachable).map(String::from).collect()
}
