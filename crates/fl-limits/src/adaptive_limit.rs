//! An adaptive concurrency limit for a backend server, adjusted by the server's load reports.

use fl_protocol::UnixMs;
use fl_protocol::engine::LoadReport;

/// Limit before the first report gives the server's slots, in streams.
const INITIAL_LIMIT: f64 = 8.0;
/// Lower bound of the limit, in streams, so that a server in trouble is still tried.
const MIN_LIMIT: f64 = 1.0;
/// Factor by which the limit decreases when requests queue on the server.
const DECREASE_FACTOR: f64 = 0.9;
/// Increase of the limit for each report of a busy server without a queue, in streams.
const INCREASE_STREAMS: f64 = 1.0;
/// Share of the limit in use from which a server without a queue counts as busy.
const BUSY_SHARE: f64 = 0.7;
/// Time to prefill the waiting tokens above which a server counts as queueing, in milliseconds.
const MAX_QUEUE_MS: f64 = 150.0;
const MS_PER_S: f64 = 1_000.0;

/// A concurrency limit with additive increase and multiplicative decrease (AIMD).
///
/// It increases while the server is busy without a queue, and decreases while requests queue.
#[derive(Debug, Clone, PartialEq)]
pub struct AdaptiveLimit {
    limit: f64,
    as_of_ms: UnixMs,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        AdaptiveLimit { limit: INITIAL_LIMIT, as_of_ms: 0 }
    }
}

impl AdaptiveLimit {
    /// Returns the limit in streams.
    pub fn streams(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit to a load report. A report that is not newer than the latest one changes
    /// nothing.
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
            let lower_bound = (f64::from(report.running) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.limit = (self.limit.min(streams) * DECREASE_FACTOR).max(lower_bound);
        } else if streams >= self.limit * BUSY_SHARE {
            self.limit += INCREASE_STREAMS;
        }
    }
}

fn is_queueing(report: &LoadReport) -> bool {
    let rate = report.prefill_tokens_per_s.max(1) as f64;
    let queue_ms = report.waiting_prefill_tokens as f64 * MS_PER_S / rate;
    let waits_for_slot = report.running >= report.slots;
    report.waiting > 0 && (waits_for_slot || queue_ms > MAX_QUEUE_MS)
}
