//! Structured logs: one JSON object per line on standard output, rate-limited and never blocking.
//!
//! Every event is a type, so a field has the same key in all lines. Each kind of event has its own
//! rate limit; lines beyond it are dropped and their number is logged. A separate thread writes the
//! lines. If the reader of standard output is too slow, lines are lost but no call is delayed.
//! `docs/OPERATIONS.md` lists the events.

pub mod event;

pub use event::LogEvent;

use fl_kernel::clock::unix_ms;
use fl_timeline::time::format_utc;
use parking_lot::Mutex;
use serde::Serialize;
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{LevelFilter, Logger, Record, StringBuf, ThreadPool};
use std::fmt::Write as _;
use std::num::NonZeroUsize;
use std::sync::Arc;

/// Lines queued for the writing thread; about 400 kB.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(1024).expect("the literal is not zero");
/// Lines per second of one kind of event, unless the kind sets its own limit.
const KIND_LINES_PER_S: u32 = 100;

/// The log of a node.
pub struct Log {
    logger: Logger,
    vm: String,
    zone: String,
    rates: Mutex<Vec<KindRate>>,
}

/// The lines of one kind of event that were written in the current second.
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

/// Writes each record's text unchanged as one line.
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
    /// Creates the log of a node on standard output.
    pub fn to_stdout(vm: &str, zone: &str) -> spdlog::Result<Self> {
        let sink = StdStreamSink::builder().stdout().style_mode(StyleMode::Never);
        Self::to_sink(vm, zone, sink.formatter(PlainFormatter).build_arc()?)
    }

    /// Creates the log of a node whose lines a separate thread writes to a sink.
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

    /// Writes an event, or drops and counts it if its kind has reached its limit for this second.
    pub fn write<E: LogEvent>(&self, event: &E) {
        let now_ms = unix_ms();
        let Some(suppressed) = self.allow(E::KIND, E::LINES_PER_S, now_ms / 1000) else { return };
        if suppressed > 0 {
            self.write_line(now_ms, &event::LinesSuppressed { kind: E::KIND, lines: suppressed });
        }
        self.write_line(now_ms, event);
    }

    fn write_line<E: LogEvent>(&self, now_ms: u64, event: &E) {
        let time = format_utc(now_ms);
        let line = Line { time, vm: &self.vm, zone: &self.zone, event: E::KIND, fields: event };
        if let Ok(text) = serde_json::to_string(&line) {
            spdlog::info!(logger: self.logger, "{text}");
        }
    }

    /// Returns how many lines of a kind were dropped before this one, `None` if this one is
    /// dropped.
    fn allow(&self, kind: &'static str, limit: Option<u32>, second: u64) -> Option<u64> {
        let mut rates = self.rates.lock();
        let index = rates.binary_search_by(|rate| rate.kind.cmp(kind));
        let index = index.unwrap_or_else(|index| {
            rates.insert(index, KindRate { kind, second, lines: 0, suppressed: 0 });
            index
        });
        let rate = &mut rates[index];
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
