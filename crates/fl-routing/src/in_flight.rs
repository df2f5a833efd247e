//! Tracks the streams that this node has in flight on runners, to correct the runners' load
//! reports, which lag and do not show the latest streams yet.

use fl_protocol::engine::LoadReport;
use fl_protocol::{RequestId, UnixMs, VmName};

/// Time for which an ended stream is kept, in milliseconds. Load reports lag by less than this.
const ENDED_RETENTION_MS: u64 = 10_000;
/// Time after which a stream without a recorded end is dropped, in milliseconds, so that a missed
/// end does not make the runner look loaded forever.
const MISSED_END_TIMEOUT_MS: u64 = 900_000;
/// Weight of the latest stream in the moving average of stream durations.
const MEAN_WEIGHT: f64 = 0.05;
/// Mean duration that is assumed before the first stream ends, in milliseconds.
const INITIAL_MEAN_MS: f64 = 2_000.0;

#[derive(Debug, Clone)]
struct Stream {
    runner: VmName,
    id: RequestId,
    sent_at_ms: UnixMs,
    prefill_tokens: u64,
    first_token_at_ms: Option<UnixMs>,
    ended_at_ms: Option<UnixMs>,
}

/// A correction of a runner's load report by the streams of this node that started or ended since.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCorrection {
    /// Number of streams that were started after the report and have not ended.
    pub added_streams: u32,
    /// Number of prompt tokens of the added streams whose first token has not arrived.
    pub added_prefill_tokens: u64,
    /// Number of streams that the report includes and that have ended since.
    pub ended_streams: u32,
    /// Number of this node's streams that are in flight on the runner, in the report or not.
    pub own_streams: u32,
}

/// The streams that this node has in flight on runners, and those that ended recently.
#[derive(Debug, Clone)]
pub struct InFlightStreams {
    /// Sorted by runner and request.
    streams: Vec<Stream>,
    mean_stream_ms: f64,
}

impl Default for InFlightStreams {
    fn default() -> Self {
        InFlightStreams { streams: Vec::new(), mean_stream_ms: INITIAL_MEAN_MS }
    }
}

impl InFlightStreams {
    /// Records that a request was sent to a runner.
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

    /// Records the arrival of a request's first token. Returns the runner that sent it, or `None`
    /// if the request has no stream in flight.
    pub fn record_first_token(&mut self, id: RequestId, now_ms: UnixMs) -> Option<VmName> {
        let running = |stream: &&mut Stream| stream.id == id && stream.ended_at_ms.is_none();
        let stream = self.streams.iter_mut().find(running)?;
        stream.first_token_at_ms = Some(now_ms);
        Some(stream.runner.clone())
    }

    /// Records the end of a request's stream on a runner.
    pub fn record_end(&mut self, id: RequestId, runner: &str, now_ms: UnixMs) {
        if let Ok(index) = self.find(runner, id) {
            let stream = &mut self.streams[index];
            if stream.ended_at_ms.is_none() {
                let duration_ms = now_ms.saturating_sub(stream.sent_at_ms) as f64;
                self.mean_stream_ms += (duration_ms - self.mean_stream_ms) * MEAN_WEIGHT;
                stream.ended_at_ms = Some(now_ms);
            }
        }
        self.streams.retain(|stream| stream.is_retained(now_ms));
    }

    /// Returns the correction of a runner's load report. Without a report, all streams count as
    /// added.
    pub fn correction(&self, runner: &str, report: Option<&LoadReport>) -> LoadCorrection {
        let as_of_ms = report.map_or(0, |report| report.as_of_ms);
        let start = self.streams.partition_point(|stream| stream.runner.as_str() < runner);
        let streams = self.streams[start..].iter().take_while(|stream| stream.runner == runner);
        let mut correction = LoadCorrection::default();
        for stream in streams {
            correction.add_stream(stream, as_of_ms);
        }
        correction
    }

    /// Returns the moving average of stream durations, in milliseconds.
    pub fn mean_stream_ms(&self) -> f64 {
        self.mean_stream_ms
    }

    fn find(&self, runner: &str, id: RequestId) -> Result<usize, usize> {
        self.streams
            .binary_search_by(|stream| (stream.runner.as_str(), stream.id).cmp(&(runner, id)))
    }
}

impl Stream {
    fn is_retained(&self, now_ms: UnixMs) -> bool {
        match self.ended_at_ms {
            Some(ended_ms) => ended_ms + ENDED_RETENTION_MS > now_ms,
            None => self.sent_at_ms + MISSED_END_TIMEOUT_MS > now_ms,
        }
    }
}

impl LoadCorrection {
    fn add_stream(&mut self, stream: &Stream, as_of_ms: UnixMs) {
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
