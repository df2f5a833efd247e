//! Which model calls go before which, from what operators declared.
//!
//! The rank that operators gave goes first, then how soon the first token is due: a short question
//! that waits behind the reading of a long prompt is late, but a long prompt hardly notices a short
//! question. Calls are compared with the routes that are declared and not with fixed times, so that
//! any deployment has its own most urgent ones.

use fl_protocol::forward::{CallKind, RouteTable};
use std::time::Duration;

/// The least urgent rank.
pub const LEAST_URGENT: u8 = 9;

/// The urgencies of all routes whose answers are streams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UrgencyRanks {
    /// Priority and target, sorted, each once.
    declared: Vec<(u8, Duration)>,
}

impl UrgencyRanks {
    /// Collects what is declared.
    pub fn from_table(table: &RouteTable) -> Self {
        let streams = table.routes.iter().filter(|route| route.kind == CallKind::Stream);
        let mut declared: Vec<_> =
            streams.map(|route| (route.priority, route.latency_target)).collect();
        declared.sort_unstable();
        declared.dedup();
        UrgencyRanks { declared }
    }

    /// The rank of a call at model engines, 0 first.
    pub fn rank(&self, priority: u8, target: Duration) -> u8 {
        let before = self.declared.partition_point(|other| *other < (priority, target));
        u8::try_from(before).unwrap_or(LEAST_URGENT).min(LEAST_URGENT)
    }

    /// Says whether nothing goes before a call and there is something that it goes before.
    pub fn is_most_urgent(&self, priority: u8, target: Duration) -> bool {
        let goes_before = self.declared.iter().any(|other| *other > (priority, target));
        goes_before && self.rank(priority, target) == 0
    }
}
