//! Merges the pages of several nodes into one time line.

use crate::event_ring::TimeLinePage;
use fl_protocol::event::Event;
use fl_protocol::{DataCenterName, UnixMs, VmName};

/// The events of several nodes in the order of their stamps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TimeLine {
    /// The events.
    pub events: Vec<Event>,
    /// The nodes that were asked, sorted by data centre and VM.
    pub nodes: Vec<NodeName>,
    /// Events that left the nodes' rings before they were asked.
    pub dropped_events: u64,
}

/// A node by data centre and VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeName {
    /// The data centre.
    pub data_center: DataCenterName,
    /// The VM.
    pub vm: VmName,
}

impl TimeLine {
    /// When the first event happened; 0 without events.
    pub fn start_ms(&self) -> UnixMs {
        self.events.first().map_or(0, |event| event.stamp.time_ms)
    }

    /// When the last event happened; 0 without events.
    pub fn end_ms(&self) -> UnixMs {
        self.events.last().map_or(0, |event| event.stamp.time_ms)
    }
}

/// Merges pages: an effect never stands before its cause, equal stamps are ordered by VM, a node
/// that was asked twice counts once, and so does an event that a peer kept as well.
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
