//! Detects data centres that are unreachable, by the silence of all their nodes.
//!
//! Calls to servers in an unreachable data centre hang until they time out, and those that may not
//! be retried are lost. Nodes receive reports from each other many times per second, so their
//! silence shows a network partition long before calls time out.

use fl_protocol::DataCenterName;
use std::time::Duration;

/// Silence of all nodes of a data centre after which it counts as unreachable. This is the time of
/// several reports.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(400);

/// The time since a node was last heard from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastContact {
    /// Data centre of the node.
    pub zone: DataCenterName,
    /// Time since the latest report from the node.
    pub silence: Duration,
}

/// Returns the data centres that are unreachable from a node in `own_zone`, sorted by name.
///
/// `interval` is the time between two reports. In a large fleet, where reports are less frequent, a
/// data centre counts as unreachable only after three intervals.
pub fn unreachable_zones(
    contacts: &[LastContact],
    own_zone: &str,
    interval: Duration,
) -> Vec<DataCenterName> {
    let limit = UNREACHABLE_AFTER.max(interval * 3);
    let mut zones: Vec<&str> = contacts.iter().map(|node| node.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let is_unreachable = |zone: &&str| {
        let mut nodes = contacts.iter().filter(|node| node.zone == **zone);
        **zone != *own_zone && nodes.all(|node| node.silence > limit)
    };
    zones.into_iter().filter(is_unreachable).map(String::from).collect()
}
