//! Structured logs: one JSON object per line, to standard error or a file.

use crate::context::{ServiceContext, StartError};
use fl_config::settings::LogSettings;
use fl_protocol::{DataCenterName, UnixMs, VmName};
use fl_timeline::time::format_utc;
use serde::{Serialize, Serializer};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{FileSink, Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};
use std::fmt::{self, Write as _};
use std::sync::Arc;
use std::time::UNIX_EPOCH;

/// The log key that holds the id of the request that a line is about.
pub const REQUEST_ID_KEY: &str = "request_id";

/// Installs the process's logger as configured in `[log]` of the settings.
pub fn start(context: &ServiceContext) -> Result<(), StartError> {
    let node = &context.settings.node;
    let log = &context.settings.log;
    let formatter =
        JsonLineFormatter { vm: node.vm.clone(), data_center: node.data_center.clone() };
    let logger =
        build_logger(log, formatter).map_err(|error| StartError::Log(error.to_string()))?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Builds a logger that prints with `formatter`.
///
/// Every line is flushed, so that none is lost when the VM goes away.
pub fn build_logger(log: &LogSettings, formatter: JsonLineFormatter) -> spdlog::Result<Logger> {
    let sink: Arc<dyn Sink> = if log.file.is_empty() {
        let sink = StdStreamSink::builder().stderr().style_mode(StyleMode::Never);
        sink.formatter(formatter).build_arc()?
    } else {
        FileSink::builder().path(&log.file).formatter(formatter).build_arc()?
    };
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(parse_level(&log.level)))
        .flush_level_filter(LevelFilter::All)
        .build()
}

fn parse_level(text: &str) -> Level {
    match text {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    }
}

/// Formats a log record as one line of JSON with the node's VM and data centre.
#[derive(Clone)]
pub struct JsonLineFormatter {
    /// The VM of this node.
    pub vm: VmName,
    /// The data centre of this node.
    pub data_center: DataCenterName,
}

#[derive(Serialize)]
struct LogLine<'a, 'b> {
    time: String,
    level: &'a str,
    vm: &'a str,
    data_center: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<String>,
    message: &'a str,
    #[serde(flatten)]
    fields: Fields<'a, 'b>,
}

/// The keys of a record other than the request id, in the order in which they were logged.
struct Fields<'a, 'b>(&'a Record<'b>);

impl Serialize for Fields<'_, '_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let pairs = self.0.key_values().into_iter();
        let others = pairs.filter(|(key, _)| key.as_str() != REQUEST_ID_KEY);
        serializer
            .collect_map(others.map(|(key, value)| (key.as_str().to_string(), value.to_string())))
    }
}

impl Formatter for JsonLineFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        let line = LogLine {
            time: format_utc(record_time_ms(record)),
            level: record.level().as_str(),
            vm: &self.vm,
            data_center: &self.data_center,
            request_id: find_request_id(record),
            message: record.payload(),
            fields: Fields(record),
        };
        let text = serde_json::to_string(&line).map_err(|_| fmt::Error);
        let written = text.and_then(|text| writeln!(dest, "{text}"));
        written.map_err(spdlog::Error::FormatRecord)
    }
}

fn find_request_id(record: &Record) -> Option<String> {
    let mut pairs = record.key_values().into_iter();
    pairs.find(|(key, _)| key.as_str() == REQUEST_ID_KEY).map(|(_, value)| value.to_string())
}

fn record_time_ms(record: &Record) -> UnixMs {
    record.time().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as UnixMs)
}
