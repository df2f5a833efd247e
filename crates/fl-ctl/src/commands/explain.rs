//! `filbertctl explain`: collects the log lines of all nodes that concern one request.

use crate::error::CommandError;
use fl_protocol::UnixMs;
use fl_timeline::time::parse_utc;
use gumdrop::Options;
use serde_json::{Map, Value};
use std::io::Read as _;
use std::time::Duration;

/// Events of a request's nodes are included from this long before its first line on, since they may
/// have influenced its routing.
const LOOKBACK: Duration = Duration::from_secs(10);
/// Log key with the id of the request; absent from lines that concern no single request.
const REQUEST_KEY: &str = "request_id";
/// Keys that every line has; all but the zone are printed before the other keys.
const COMMON_KEYS: [&str; 4] = ["time", "vm", "zone", "event"];

/// Shows what happened to one request, from the logs of all nodes.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        free,
        help = "id of the request, then log files; reads standard input without files"
    )]
    free: Vec<String>,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl explain 9c41d07be2a35f68 node-1.log node-2.log
  cat node-*.log | filbertctl explain 9c41d07be2a35f68
";

/// A parsed log line of a node.
struct LogLine {
    time_ms: UnixMs,
    fields: Map<String, Value>,
}

/// Prints the lines of a request, and the events of its nodes shortly before and during it.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let Some((id, paths)) = arguments.free.split_first() else {
        let message = "explain needs the id of a request".to_string();
        return Err(CommandError::Usage(message));
    };
    let mut lines = Vec::new();
    for text in read_logs(paths)? {
        lines.extend(text.lines().filter_map(parse_line));
    }
    lines.sort_by_key(|line| line.time_ms);
    let explanation = explain(id, &lines);
    if explanation.is_empty() {
        let message = format!("no line names request {id}; give the logs of all nodes");
        return Err(CommandError::Failed(message));
    }
    for line in explanation {
        println!("{}", line.format());
    }
    Ok(())
}

fn read_logs(paths: &[String]) -> Result<Vec<String>, CommandError> {
    let failed = |path: &str, error: std::io::Error| CommandError::Io {
        path: path.to_string(),
        message: error.to_string(),
    };
    if paths.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| failed("standard input", error))?;
        return Ok(vec![text]);
    }
    let read = |path: &String| std::fs::read_to_string(path).map_err(|error| failed(path, error));
    paths.iter().map(read).collect()
}

/// Parses a log line; returns `None` for lines of other programs.
///
/// Text before the JSON object, such as the timestamp of a log collector, is skipped.
fn parse_line(text: &str) -> Option<LogLine> {
    let object = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let time_ms = parse_utc(fields.get("time")?.as_str()?)?;
    Some(LogLine { time_ms, fields })
}

/// Returns the lines of a request and the events of its nodes that may have influenced it.
fn explain<'a>(id: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field(REQUEST_KEY) == id).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let from_ms = first.time_ms.saturating_sub(LOOKBACK.as_millis() as u64);
    let vms: Vec<&str> = request_lines.iter().map(|line| line.field("vm")).collect();
    let servers: Vec<&str> = request_lines.iter().map(|line| line.field("server")).collect();
    let route_tables: Vec<&LogLine> =
        vms.iter().filter_map(|vm| find_route_table(lines, vm, first)).collect();
    let is_relevant = |line: &&LogLine| {
        if line.field(REQUEST_KEY) == id
            || route_tables.iter().any(|table| std::ptr::eq(*table, *line))
        {
            return true;
        }
        let is_node_event = !line.fields.contains_key(REQUEST_KEY);
        let in_window = (from_ms..=last.time_ms).contains(&line.time_ms);
        let server = line.field("server");
        let concerns_server = server.is_empty() || servers.contains(&server);
        is_node_event && in_window && concerns_server && vms.contains(&line.field("vm"))
    };
    lines.iter().filter(is_relevant).collect()
}

/// Returns the log line of the route table that a node had in force when the request arrived,
/// however old that line is.
fn find_route_table<'a>(lines: &'a [LogLine], vm: &str, first: &LogLine) -> Option<&'a LogLine> {
    let mut before = lines.iter().rev().skip_while(|line| line.time_ms > first.time_ms);
    before.find(|line| line.field("event") == "table_in_force" && line.field("vm") == vm)
}

impl LogLine {
    fn field(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    fn format(&self) -> String {
        let others = self.fields.iter().filter(|(key, _)| !COMMON_KEYS.contains(&key.as_str()));
        let details: Vec<String> = others.map(|(key, value)| format!("{key}={value}")).collect();
        let marker = if self.fields.contains_key(REQUEST_KEY) { '*' } else { ' ' };
        let [time, vm] = ["time", "vm"].map(|key| self.field(key));
        format!("{marker} {time} {vm} {} {}", self.field("event"), details.join(" "))
    }
}
