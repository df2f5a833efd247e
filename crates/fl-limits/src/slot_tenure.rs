//! When a node may use the slots of brittle servers that belong to it.
//!
//! Its peers divide the slots among the nodes that report. Once they have not heard a node for a
//! while, others use its slots. A node that was suspended does not notice that before it reports
//! again, with the calls that have waited meanwhile. See `docs/design/115-brittle-servers.md`.

use std::time::Duration;

/// The time in which a node may use its slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotTenure {
    from: Duration,
    until: Duration,
}

impl SlotTenure {
    /// Notes that this node begins to report to its peers, which count it as silent after
    /// `silence_limit` without a report.
    ///
    /// If they may have counted it as silent, the node waits for as long again, in which they learn that
    /// it is back and their calls in its slots end.
    pub fn note_report(&mut self, now: Duration, silence_limit: Duration) {
        let has_reported = !self.until.is_zero();
        if has_reported && now >= self.until {
            self.from = now + silence_limit;
        }
        self.until = now + silence_limit;
    }

    /// Returns whether this node may use its slots now.
    pub fn may_use_slots(&self, now: Duration) -> bool {
        now >= self.from && now < self.until
    }
}
