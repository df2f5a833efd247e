//! Ring buffer of the events that a node keeps, and the page that it serves.

use fl_protocol::event::{Event, HlcTimestamp};
use fl_protocol::{DataCenterName, UnixMs, VmName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Ring buffer of the newest events of one node; older events are dropped and counted.
#[derive(Debug, Clone)]
pub struct EventRing {
    events: VecDeque<Arc<Event>>,
    capacity: usize,
    dropped_events: u64,
}

impl EventRing {
    /// Creates a ring for `capacity` events; 0 is taken as 1.
    pub fn new(capacity: usize) -> Self {
        EventRing { events: VecDeque::new(), capacity: capacity.max(1), dropped_events: 0 }
    }

    /// Appends an event; a full ring drops its oldest event.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped_events += 1;
        }
        self.events.push_back(Arc::new(event));
    }

    /// Returns the events that match a filter, oldest first.
    ///
    /// The events are shared, not copied, so that reading a full ring does not block writers for long.
    pub fn select(&self, filter: &EventFilter) -> Vec<Arc<Event>> {
        self.events.iter().filter(|event| filter.matches(event)).cloned().collect()
    }

    /// Returns at most `count` of the newest events, oldest first.
    pub fn newest(&self, count: usize) -> Vec<Event> {
        let skipped = self.events.len().saturating_sub(count);
        self.events.iter().skip(skipped).map(|event| event.as_ref().clone()).collect()
    }

    /// Returns the number of events dropped so far.
    pub fn dropped_events(&self) -> u64 {
        self.dropped_events
    }
}

/// Conditions on the events of a page; the default matches all events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Matches only events of this request id, in hexadecimal.
    pub request_id: Option<String>,
    /// Matches only events at or after this time.
    pub since_ms: UnixMs,
}

impl EventFilter {
    /// Returns whether an event meets all conditions.
    pub fn matches(&self, event: &Event) -> bool {
        let matches_request = self.request_id.is_none() || event.request_id == self.request_id;
        matches_request && event.stamp.time_ms >= self.since_ms
    }
}

/// Response of a node to `GET /timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeLinePage {
    /// VM of the node.
    pub vm: VmName,
    /// Data centre of the node.
    pub data_center: DataCenterName,
    /// Current timestamp of the node's clock, which shows how far the clocks of nodes differ.
    pub clock: HlcTimestamp,
    /// Number of events dropped since the node started; the page may be incomplete unless it is 0.
    pub dropped_events: u64,
    /// Events that match the filter, oldest first.
    pub events: Vec<Event>,
}
