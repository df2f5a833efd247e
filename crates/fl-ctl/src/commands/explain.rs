//! `filbertctl explain`: the life of one request, out of the logs of all nodes.

use crate::error::CommandError;
use fl_protocol::UnixMs;
use fl_timeline::time::parse_utc;
use gumdrop::Options;
use serde_json::{Map, Value};
use std::io::Read as _;
use std::time::Duration;

/// Beliefs that changed this long before the request's first line may have decided about it.
const BEFORE: Duration = Duration::from_secs(10);
/// The key that names the request of a line.
const REQUEST_KEY: &str = "request_id";
/// Keys that every line has and the explanation prints in front.
const COMMON_KEYS: [&str; 4] = ["time", "vm", "zone", "event"];

/// Which request, and where the logs are.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the request's id, then log files; standard input without files")]
    free: Vec<String>,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl explain 9c41d07be2a35f68 node-1.log node-2.log
  cat node-*.log | filbertctl explain 9c41d07be2a35f68
";

/// One line of a log.
struct Line {
    time_ms: UnixMs,
    fields: Map<String, Value>,
}

/// Prints the lines of a request and what its nodes came to believe shortly before and meanwhile.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let Some((id, paths)) = arguments.free.split_first() else {
        let message = "explain needs the id of a request".to_string();
        return Err(CommandError::Usage(message));
    };
    let mut lines = Vec::new();
    for text in read_logs(paths)? {
        lines.extend(text.lines().filter_map(read_line));
    }
    lines.sort_by_key(|line| line.time_ms);
    let explanation = explain(id, &lines);
    if explanation.is_empty() {
        let message = format!("no line names request {id}; give the logs of all nodes");
        return Err(CommandError::Failed(message));
    }
    for line in explanation {
        println!("{}", line.text());
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

/// Reads a line; whatever stands before the JSON object, such as a collector's own time, is left
/// out, and lines of other programs are no lines.
fn read_line(text: &str) -> Option<Line> {
    let object = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let time_ms = parse_utc(fields.get("time")?.as_str()?)?;
    Some(Line { time_ms, fields })
}

/// The lines of a request, with the changes of belief of the nodes that had it.
fn explain<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.field(REQUEST_KEY) == id).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let from_ms = first.time_ms.saturating_sub(BEFORE.as_millis() as u64);
    let vms: Vec<&str> = own.iter().map(|line| line.field("vm")).collect();
    let servers: Vec<&str> = own.iter().map(|line| line.field("server")).collect();
    let in_force: Vec<&Line> =
        vms.iter().filter_map(|vm| table_in_force(lines, vm, first)).collect();
    let decided = |line: &&Line| {
        if line.field(REQUEST_KEY) == id || in_force.iter().any(|known| std::ptr::eq(*known, *line))
        {
            return true;
        }
        let is_belief = !line.fields.contains_key(REQUEST_KEY);
        let in_time = (from_ms..=last.time_ms).contains(&line.time_ms);
        let server = line.field("server");
        let concerns = server.is_empty() || servers.contains(&server);
        is_belief && in_time && concerns && vms.contains(&line.field("vm"))
    };
    lines.iter().filter(decided).collect()
}

/// The version that a node had in force when a request came, however old.
fn table_in_force<'a>(lines: &'a [Line], vm: &str, first: &Line) -> Option<&'a Line> {
    let mut before = lines.iter().rev().skip_while(|line| line.time_ms > first.time_ms);
    before.find(|line| line.field("event") == "table_in_force" && line.field("vm") == vm)
}

impl Line {
    fn field(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    fn text(&self) -> String {
        let others = self.fields.iter().filter(|(key, _)| !COMMON_KEYS.contains(&key.as_str()));
        let details: Vec<String> = others.map(|(key, value)| format!("{key}={value}")).collect();
        let mark = if self.fields.contains_key(REQUEST_KEY) { '*' } else { ' ' };
        let [time, vm] = ["time", "vm"].map(|key| self.field(key));
        format!("{mark} {time} {vm} {} {}", self.field("event"), details.join(" "))
    }
}
