//! The work this node sent to runners, which their lagged reports do not show yet.

use fl_protocol::engine::LoadReport;
use fl_protocol::{RequestId, UnixMs, VmName};

/// How long an ended stream is remembered, in milliseconds; reports lag less than this.
const ENDED_KEPT_MS: u64 = 10_000;
/// A stream whose end was not told in this time is forgotten, in milliseconds, so that a lost word
/// does not make its runner look loaded for good.
const ABANDONED_MS: u64 = 900_000;
/// Weight of the newest stream in the mean duration.
const MEAN_WEIGHT: f64 = 0.05;
/// The mean duration before any stream ended, in milliseconds.
const FIRST_MEAN_MS: f64 = 2_000.0;

#[derive(Debug, Clone)]
struct Stream {
    runner: VmName,
    id: RequestId,
    sent_at_ms: UnixMs,
    prefill_tokens: u64,
    first_token_at_ms: Option<UnixMs>,
    ended_at_ms: Option<UnixMs>,
}

/// How a runner's report is to be corrected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCorrection {
    /// Streams sent since the report that still run.
    pub added_streams: u32,
    /// Prompt tokens of those whose first token has not come.
    pub added_prefill_tokens: u64,
    /// Streams of the report that ended since.
    pub ended_streams: u32,
    /// Streams of this node that run there now, seen by the report or not.
    pub own_streams: u32,
}

/// Streams of this node, sorted by runner and request.
#[derive(Debug, Clone)]
pub struct InFlightStreams {
    streams: Vec<Stream>,
    mean_stream_ms: f64,
}

impl Default for InFlightStreams {
    fn default() -> Self {
        InFlightStreams { streams: Vec::new(), mean_stream_ms: FIRST_MEAN_MS }
    }
}

impl InFlightStreams {
    /// Counts a request as sent.
    pub fn record_sent(
        &mut self,
        id: RequestId,
        runner: &str,
        prefill_tokens: u64,
        now_ms: UnixMs,
    ) {
        let stream = Stream {
            runner: runner.to_string(),
            id,
            sent_at_ms: now_ms,
            prefill_tokens,
            first_token_at_ms: None,
            ended_at_ms: None,
        };
        match self.find(runner, id) {
            Ok(index) => self.streams[index] = stream,
            Err(index) => self.streams.insert(index, stream),
        }
    }

    /// Takes word of a first token; gives the runner it came from.
    pub fn record_first_token(&mut self, id: RequestId, now_ms: UnixMs) -> Option<VmName> {
        let running = |stream: &&mut Stream| stream.id == id && stream.ended_at_ms.is_none();
        let stream = self.streams.iter_mut().find(running)?;
        stream.first_token_at_ms = Some(now_ms);
        Some(stream.runner.clone())
    }

    /// Takes word that a stream ended.
    pub fn record_end(&mut self, id: RequestId, runner: &str, now_ms: UnixMs) {
        if let Ok(index) = self.find(runner, id) {
            let stream = &mut self.streams[index];
            if stream.ended_at_ms.is_none() {
                let lasted_ms = now_ms.saturating_sub(stream.sent_at_ms) as f64;
                self.mean_stream_ms += (lasted_ms - self.mean_stream_ms) * MEAN_WEIGHT;
                stream.ended_at_ms = Some(now_ms);
            }
        }
        self.streams.retain(|stream| stream.still_counts(now_ms));
    }

    /// How the report of a runner is to be corrected; without one everything counts as added.
    pub fn correction(&self, runner: &str, report: Option<&LoadReport>) -> LoadCorrection {
        let as_of_ms = report.map_or(0, |report| report.as_of_ms);
        let start = self.streams.partition_point(|stream| stream.runner.as_str() < runner);
        let streams = self.streams[start..].iter().take_while(|stream| stream.runner == runner);
        let mut correction = LoadCorrection::default();
        for stream in streams {
            correction.count(stream, as_of_ms);
        }
        correction
    }

    /// Mean duration of a stream, in milliseconds.
    pub fn mean_stream_ms(&self) -> f64 {
        self.mean_stream_ms
    }

    fn find(&self, runner: &str, id: RequestId) -> Result<usize, usize> {
        self.streams
            .binary_search_by(|stream| (stream.runner.as_str(), stream.id).cmp(&(runner, id)))
    }
}

impl Stream {
    fn still_counts(&self, now_ms: UnixMs) -> bool {
        match self.ended_at_ms {
            Some(ended_ms) => ended_ms + ENDED_KEPT_MS > now_ms,
            None => self.sent_at_ms + ABANDONED_MS > now_ms,
        }
    }
}

impl LoadCorrection {
    fn count(&mut self, stream: &Stream, as_of_ms: UnixMs) {
        let is_in_report = stream.sent_at_ms <= as_of_ms;
        match stream.ended_at_ms {
            None => {
                self.own_streams += 1;
                if !is_in_report {
                    self.added_streams += 1;
                }
                if !is_in_report && stream.first_token_at_ms.is_none() {
                    self.added_prefill_tokens += stream.prefill_tokens;
                }
            }
            Some(ended_ms) if is_in_report && ended_ms > as_of_ms => self.ended_streams += 1,
            Some(_) => {}
        }
    }
}
