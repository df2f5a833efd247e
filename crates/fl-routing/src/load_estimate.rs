//! Estimates the time to the first token at a runner.

use crate::in_flight::LoadCorrection;
use fl_protocol::engine::LoadReport;
use std::time::Duration;

/// Prefill rate assumed of a runner without a report, in tokens a second.
const ASSUMED_PREFILL_TOKENS_PER_S: u64 = 10_000;
/// Slots assumed of a runner without a report.
const ASSUMED_SLOTS: u32 = 16;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// The load of a runner now, as far as this node can tell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Streams that run or wait.
    pub streams: u32,
    /// Streams the batch holds at most.
    pub slots: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u64,
    /// Prompt tokens a second it computes.
    pub prefill_tokens_per_s: u64,
    /// Mean duration of a stream, in milliseconds.
    pub mean_stream_ms: f64,
}

impl LoadEstimate {
    /// Joins a lagged report with what this node sent and saw end since the report's own time.
    pub fn corrected(
        report: Option<&LoadReport>,
        correction: LoadCorrection,
        mean_stream_ms: f64,
    ) -> LoadEstimate {
        let assumed = LoadReport {
            slots: ASSUMED_SLOTS,
            prefill_tokens_per_s: ASSUMED_PREFILL_TOKENS_PER_S,
            ..LoadReport::default()
        };
        let report = report.unwrap_or(&assumed);
        let reported = report.running + report.waiting;
        LoadEstimate {
            streams: (reported + correction.added_streams).saturating_sub(correction.ended_streams),
            slots: report.slots.max(1),
            waiting_prefill_tokens: report.waiting_prefill_tokens + correction.added_prefill_tokens,
            prefill_tokens_per_s: report.prefill_tokens_per_s.max(1),
            mean_stream_ms,
        }
    }

    /// Time until a new request's prefill begins, in milliseconds.
    pub fn queue_ms(&self) -> f64 {
        let prefill_ms = self.prefill_ms(self.waiting_prefill_tokens);
        let over_slots = (self.streams + 1).saturating_sub(self.slots);
        let slot_ms = f64::from(over_slots) * self.mean_stream_ms / f64::from(self.slots);
        prefill_ms + slot_ms
    }

    /// Time to compute prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * MS_PER_S / self.prefill_tokens_per_s as f64
    }

    /// Share of the slots in use.
    pub fn fill(&self) -> f64 {
        f64::from(self.streams) / f64::from(self.slots)
    }
}

/// Turns milliseconds into a duration; estimates are never negative.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms.max(0.0) * MS_PER_S) as u64)
}
