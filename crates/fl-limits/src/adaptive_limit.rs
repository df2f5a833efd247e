//! The number of streams a backend server takes without queueing, learned from what it reports.

use fl_protocol::UnixMs;
use fl_protocol::engine::LoadReport;

/// The limit before a report named the server's slots, in streams.
const FIRST_LIMIT: f64 = 8.0;
/// The limit never falls below this, so that a server in trouble is still tried.
const LEAST_LIMIT: f64 = 1.0;
/// Share of the limit kept when the server queues.
const KEPT_SHARE: f64 = 0.9;
/// Growth with each report that shows a busy server without a queue, in streams.
const GROWTH: f64 = 1.0;
/// Fill from which a server without a queue counts as busy.
const BUSY_FILL: f64 = 0.7;
/// Time for waiting prefill beyond which a server counts as queueing, in milliseconds.
const QUEUE_BOUND_MS: f64 = 150.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Additive increase without a queue, multiplicative decrease with one.
#[derive(Debug, Clone, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    as_of_ms: UnixMs,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        AdaptiveLimit { limit: FIRST_LIMIT, as_of_ms: 0 }
    }
}

impl AdaptiveLimit {
    /// The limit, in streams.
    pub fn streams(&self) -> f64 {
        self.limit
    }

    /// Takes a report; one that was taken before changes nothing.
    pub fn observe(&mut self, report: &LoadReport) {
        if report.as_of_ms <= self.as_of_ms {
            return;
        }
        if self.as_of_ms == 0 && report.slots > 0 {
            self.limit = f64::from(report.slots);
        }
        self.as_of_ms = report.as_of_ms;
        let streams = f64::from(report.running + report.waiting);
        if is_queueing(report) {
            let least = (f64::from(report.running) * KEPT_SHARE).max(LEAST_LIMIT);
            self.limit = (self.limit.min(streams) * KEPT_SHARE).max(least);
        } else if streams >= self.limit * BUSY_FILL {
            self.limit += GROWTH;
        }
    }
}

fn is_queueing(report: &LoadReport) -> bool {
    let rate = report.prefill_tokens_per_s.max(1) as f64;
    let queue_ms = report.waiting_prefill_tokens as f64 * MS_PER_S / rate;
    let waits_for_slot = report.running >= report.slots;
    report.waiting > 0 && (waits_for_slot || queue_ms > QUEUE_BOUND_MS)
}
