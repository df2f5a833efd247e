//! Ranks model calls by urgency, according to the routes that operators declare.
//!
//! Calls are ordered by the priority of their route, then by the target for their first token. A
//! short question that waits for the prefill of a long prompt misses its target, whereas a long
//! prompt is hardly delayed by a short question. Calls are compared with the declared routes and
//! not with fixed times, so that every deployment has its own most urgent calls.

use fl_protocol::forward::{CallKind, RouteTable};
use std::time::Duration;

/// Rank of the least urgent calls; 0 is the rank of the most urgent ones.
pub const LEAST_URGENT: u8 = 9;

/// The order of urgency of all routes that answer with streams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UrgencyRanks {
    /// Distinct pairs of priority and target, most urgent first.
    declared: Vec<(u8, Duration)>,
}

impl UrgencyRanks {
    /// Collects the priorities and targets of all stream routes in a route table.
    pub fn from_table(table: &RouteTable) -> Self {
        let streams = table.routes.iter().filter(|route| route.kind == CallKind::Stream);
        let mut declared: Vec<_> =
            streams.map(|route| (route.priority, route.latency_target)).collect();
        declared.sort_unstable();
        declared.dedup();
        UrgencyRanks { declared }
    }

    /// Returns the rank of a call at model engines, from 0, the most urgent, to [`LEAST_URGENT`].
    pub fn rank(&self, priority: u8, target: Duration) -> u8 {
        let more_urgent = self.declared.partition_point(|other| *other < (priority, target));
        u8::try_from(more_urgent).unwrap_or(LEAST_URGENT).min(LEAST_URGENT)
    }

    /// Returns the shortest target of a first token, if any is declared.
    pub fn shortest_target(&self) -> Option<Duration> {
        self.declared.iter().map(|(_, target)| *target).min()
    }

    /// Returns whether no stream route has a shorter target. Calls of equal priority are ordered by
    /// it.
    pub fn has_shortest_target(&self, target: Duration) -> bool {
        self.shortest_target().is_none_or(|shortest| target <= shortest)
    }

    /// Returns whether a call is more urgent than some route and no route is more urgent than it.
    ///
    /// If all routes are equally urgent, no call is the most urgent one.
    pub fn is_most_urgent(&self, priority: u8, target: Duration) -> bool {
        let precedes_some = self.declared.iter().any(|other| *other > (priority, target));
        precedes_some && self.rank(priority, target) == 0
    }
}
