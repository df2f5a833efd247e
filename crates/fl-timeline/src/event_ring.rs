//! The bounded ring of events that a node keeps, and the page it answers with.

use fl_protocol::event::{Event, HlcTimestamp};
use fl_protocol::{DataCenterName, UnixMs, VmName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Keeps the newest events of one node, oldest first; older ones are dropped and counted.
#[derive(Debug, Clone)]
pub struct EventRing {
    events: VecDeque<Arc<Event>>,
    capacity: usize,
    dropped_events: u64,
}

impl EventRing {
    /// Makes a ring for at most `capacity` events, and at least one.
    pub fn new(capacity: usize) -> Self {
        EventRing { events: VecDeque::new(), capacity: capacity.max(1), dropped_events: 0 }
    }

    /// Adds an event, which pushes the oldest out of a full ring.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped_events += 1;
        }
        self.events.push_back(Arc::new(event));
    }

    /// The events that a filter lets through, oldest first; shared, so that a reader of a full ring
    /// does not hold up those who record.
    pub fn select(&self, filter: &EventFilter) -> Vec<Arc<Event>> {
        self.events.iter().filter(|event| filter.matches(event)).cloned().collect()
    }

    /// The newest events, at most `count` of them, oldest first.
    pub fn newest(&self, count: usize) -> Vec<Event> {
        let skipped = self.events.len().saturating_sub(count);
        self.events.iter().skip(skipped).map(|event| event.as_ref().clone()).collect()
    }

    /// How many events were pushed out so far.
    pub fn dropped_events(&self) -> u64 {
        self.dropped_events
    }
}

/// Which events are asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only events of this request, in hexadecimal.
    pub request_id: Option<String>,
    /// Only events at or after this time.
    pub since_ms: UnixMs,
}

impl EventFilter {
    /// Says whether an event is asked for.
    pub fn matches(&self, event: &Event) -> bool {
        let of_request = self.request_id.is_none() || event.request_id == self.request_id;
        of_request && event.stamp.time_ms >= self.since_ms
    }
}

/// What a node answers to `GET /timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeLinePage {
    /// The node.
    pub vm: VmName,
    /// Its data centre.
    pub data_center: DataCenterName,
    /// Its clock, so that a reader can tell how far the nodes' clocks are apart.
    pub clock: HlcTimestamp,
    /// Events that left its ring since it started; the page may be incomplete if there are any.
    pub dropped_events: u64,
    /// The events asked for, oldest first.
    pub events: Vec<Event>,
}
