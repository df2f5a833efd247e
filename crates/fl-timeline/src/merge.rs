//! Merges the event pages of several nodes into one time line.

use crate::event_ring::TimeLinePage;
use fl_protocol::event::Event;
use fl_protocol::{DataCenterName, UnixMs, VmName};

/// Events of several nodes in the order of their timestamps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TimeLine {
    /// Events in order, without duplicates.
    pub events: Vec<Event>,
    /// Nodes whose pages were merged, sorted by data centre and VM.
    pub nodes: Vec<NodeName>,
    /// Number of events that the nodes had dropped before they were read.
    pub dropped_events: u64,
}

/// Identifies a node by data centre and VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeName {
    /// Data centre of the node; sorts before the VM.
    pub data_center: DataCenterName,
    /// VM of the node.
    pub vm: VmName,
}

impl TimeLine {
    /// Returns the time of the first event, or 0 without events.
    pub fn start_ms(&self) -> UnixMs {
        self.events.first().map_or(0, |event| event.stamp.time_ms)
    }

    /// Returns the time of the last event, or 0 without events.
    pub fn end_ms(&self) -> UnixMs {
        self.events.last().map_or(0, |event| event.stamp.time_ms)
    }
}

/// Merges pages into one time line, ordered by timestamp and then by VM.
///
/// An effect never comes before its cause. The second page of a node is ignored, and an event that
/// a peer kept as well is listed once.
pub fn merge_pages(pages: Vec<TimeLinePage>) -> TimeLine {
    let mut time_line = TimeLine::default();
    for page in pages {
        let node = NodeName { data_center: page.data_center, vm: page.vm };
        let Err(index) = time_line.nodes.binary_search(&node) else {
            continue;
        };
        time_line.nodes.insert(index, node);
        time_line.dropped_events += page.dropped_events;
        time_line.events.extend(page.events);
    }
    time_line.events.sort_by(|a, b| (a.stamp, &a.vm).cmp(&(b.stamp, &b.vm)));
    time_line.events.dedup();
    time_line
}
