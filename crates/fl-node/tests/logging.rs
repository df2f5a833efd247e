//! Log lines are JSON objects that name the node and, if there is one, the request.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_config::settings::LogSettings;
use fl_node::logging::{JsonLineFormatter, build_logger};
use rstest::rstest;
use serde::Deserialize;

#[derive(Deserialize)]
struct Line {
    time: String,
    level: String,
    vm: String,
    data_center: String,
    request_id: Option<String>,
    message: String,
    port: Option<String>,
}

fn log_lines(name: &str, level: &str) -> Vec<Line> {
    let path = std::env::temp_dir().join(format!("{name}-{}.log", std::process::id()));
    let file = path.display().to_string();
    let settings = LogSettings { level: level.to_string(), file: file.clone() };
    let formatter = JsonLineFormatter { vm: "a1".to_string(), data_center: "dc-a".to_string() };
    let logger = build_logger(&settings, formatter).unwrap();
    spdlog::error!(logger: logger, "quoted \"{}\"\nline", "x");
    spdlog::info!(logger: logger, "asked", kv: { request_id = "00ab", port = 80 });
    spdlog::debug!(logger: logger, "seen");
    let text = std::fs::read_to_string(&path).unwrap_or_default();
    std::fs::remove_file(&path).unwrap_or_default();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[rstest]
#[case::error("error", 1)]
#[case::warn("warn", 1)]
#[case::info("info", 2)]
#[case::debug("debug", 3)]
fn filters_by_level(#[case] level: &str, #[case] expected: usize) {
    assert_eq!(log_lines(&format!("levels-{level}"), level).len(), expected);
}

#[test]
fn line_names_node_and_request() {
    let lines = log_lines("fields", "info");
    assert_eq!(lines[0].message, "quoted \"x\"\nline");
    assert_eq!((lines[0].vm.as_str(), lines[0].data_center.as_str()), ("a1", "dc-a"));
    assert_eq!((lines[0].level.as_str(), lines[0].request_id.as_deref()), ("error", None));
    assert!(lines[0].time.ends_with('Z') && lines[0].time.len() == 24);
    assert_eq!(lines[1].request_id.as_deref(), Some("00ab"));
    assert_eq!(lines[1].port.as_deref(), Some("80"));
}
