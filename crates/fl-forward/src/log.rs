//! Structured logs: one JSON object a line on standard output, bounded and never blocking.
//!
//! Every event is a type, so that a field has the same key wherever it stands. Each kind of event
//! has a rate of its own; what goes beyond it is counted and the count is logged. A thread writes
//! the lines, and a reader that does not keep up loses lines but stops nothing. The page for
//! engineers is `docs/OPERATIONS.md`.

pub mod event;

pub use event::LogEvent;

use fl_kernel::clock::unix_ms;
use fl_timeline::time::utc_text;
use parking_lot::Mutex;
use serde::Serialize;
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{LevelFilter, Logger, Record, StringBuf, ThreadPool};
use std::fmt::Write as _;
use std::num::NonZeroUsize;
use std::sync::Arc;

/// Lines that wait for the writing thread; about 400 kB.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(1024).expect("the literal is not zero");
/// Lines of one kind of event in one second, unless the kind has a rate of its own.
const KIND_LINES_PER_S: u32 = 100;

/// Where events are written.
pub struct Log {
    logger: Logger,
    vm: String,
    zone: String,
    rates: Mutex<Vec<KindRate>>,
}

/// How many lines of one kind were written in the current second.
struct KindRate {
    kind: &'static str,
    second: u64,
    lines: u32,
    suppressed: u64,
}

#[derive(Serialize)]
struct Line<'a, E: Serialize> {
    time: String,
    vm: &'a str,
    zone: &'a str,
    event: &'static str,
    #[serde(flatten)]
    fields: &'a E,
}

/// Writes records as they are, one a line.
#[derive(Clone)]
struct PlainFormatter;

impl Formatter for PlainFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        writeln!(dest, "{}", record.payload()).map_err(spdlog::Error::FormatRecord)
    }
}

impl Log {
    /// Makes the log of a node, writing to standard output.
    pub fn to_stdout(vm: &str, zone: &str) -> spdlog::Result<Self> {
        let sink = StdStreamSink::builder().stdout().style_mode(StyleMode::Never);
        Self::to_sink(vm, zone, sink.formatter(PlainFormatter).build_arc()?)
    }

    /// Makes the log of a node, writing to a sink from a thread of its own.
    pub fn to_sink(vm: &str, zone: &str, sink: Arc<dyn Sink>) -> spdlog::Result<Self> {
        let pool = ThreadPool::builder().capacity(QUEUE_LINES).build_arc()?;
        let queue = AsyncPoolSink::builder()
            .sink(sink)
            .thread_pool(pool)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .build_arc()?;
        let logger = Logger::builder()
            .sink(queue)
            .level_filter(LevelFilter::All)
            .flush_level_filter(LevelFilter::Off)
            .build()?;
        Ok(Log { logger, vm: vm.to_string(), zone: zone.to_string(), rates: Mutex::default() })
    }

    /// Writes an event, or counts it where its kind has reached its rate.
    pub fn write<E: LogEvent>(&self, event: &E) {
        let now_ms = unix_ms();
        let Some(suppressed) = self.admit(E::KIND, E::LINES_PER_S, now_ms / 1000) else { return };
        if suppressed > 0 {
            self.line(now_ms, &event::LinesSuppressed { kind: E::KIND, lines: suppressed });
        }
        self.line(now_ms, event);
    }

    fn line<E: LogEvent>(&self, now_ms: u64, event: &E) {
        let time = utc_text(now_ms);
        let line = Line { time, vm: &self.vm, zone: &self.zone, event: E::KIND, fields: event };
        if let Ok(text) = serde_json::to_string(&line) {
            spdlog::info!(logger: self.logger, "{text}");
        }
    }

    /// Gives the lines of a kind that were left out before this one; none if this is left out.
    fn admit(&self, kind: &'static str, limit: Option<u32>, second: u64) -> Option<u64> {
        let mut rates = self.rates.lock();
        let place = rates.binary_search_by(|rate| rate.kind.cmp(kind));
        let place = place.unwrap_or_else(|place| {
            rates.insert(place, KindRate { kind, second, lines: 0, suppressed: 0 });
            place
        });
        let rate = &mut rates[place];
        if rate.second != second {
            rate.second = second;
            rate.lines = 0;
        }
        if rate.lines >= limit.unwrap_or(KIND_LINES_PER_S) {
            rate.suppressed += 1;
            metrics::counter!("fl_log_lines_suppressed_total", "kind" => kind).increment(1);
            return None;
        }
        rate.lines += 1;
        Some(std::mem::take(&mut rate.suppressed))
    }
}
