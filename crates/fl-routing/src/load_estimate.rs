//! Estimates the load of a runner and the time to the first token that results from it.

use crate::in_flight::LoadCorrection;
use fl_protocol::engine::LoadReport;
use std::time::Duration;

/// Prefill rate of a runner that has not sent a report yet, in tokens per second.
const DEFAULT_PREFILL_TOKENS_PER_S: u64 = 10_000;
/// Number of slots of a runner that has not sent a report yet.
const DEFAULT_SLOTS: u32 = 16;
const MS_PER_S: f64 = 1_000.0;

/// The current load of a runner as estimated by this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Number of running and waiting streams.
    pub streams: u32,
    /// Maximum number of streams in the runner's batch.
    pub slots: u32,
    /// Number of prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u64,
    /// Prefill rate in tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Mean duration of a stream, in milliseconds.
    pub mean_stream_ms: f64,
}

impl LoadEstimate {
    /// Combines a runner's load report with the streams of this node that started or ended after
    /// the time of the report.
    pub fn corrected(
        report: Option<&LoadReport>,
        correction: LoadCorrection,
        mean_stream_ms: f64,
    ) -> LoadEstimate {
        let default_report = LoadReport {
            slots: DEFAULT_SLOTS,
            prefill_tokens_per_s: DEFAULT_PREFILL_TOKENS_PER_S,
            ..LoadReport::default()
        };
        let report = report.unwrap_or(&default_report);
        let reported_streams = report.running + report.waiting;
        LoadEstimate {
            streams: (reported_streams + correction.added_streams)
                .saturating_sub(correction.ended_streams),
            slots: report.slots.max(1),
            waiting_prefill_tokens: report.waiting_prefill_tokens + correction.added_prefill_tokens,
            prefill_tokens_per_s: report.prefill_tokens_per_s.max(1),
            mean_stream_ms,
        }
    }

    /// Returns the time until the prefill of a new request starts, in milliseconds.
    pub fn queue_ms(&self) -> f64 {
        let prefill_ms = self.prefill_ms(self.waiting_prefill_tokens);
        let streams_over_slots = (self.streams + 1).saturating_sub(self.slots);
        let slot_ms = f64::from(streams_over_slots) * self.mean_stream_ms / f64::from(self.slots);
        prefill_ms + slot_ms
    }

    /// Returns the time to prefill a number of tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * MS_PER_S / self.prefill_tokens_per_s as f64
    }

    /// Returns the number of streams as a share of the slots. Waiting streams can raise it above 1.
    pub fn slot_utilization(&self) -> f64 {
        f64::from(self.streams) / f64::from(self.slots)
    }
}

/// Converts milliseconds to a duration. Negative values become zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms.max(0.0) * MS_PER_S) as u64)
}
