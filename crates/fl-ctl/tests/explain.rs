//! `filbertctl explain` prints the lines of one request and the events that influenced it.

#![allow(clippy::expect_used)]

use rstest::rstest;
use std::io::Write as _;
use std::process::{Command, Stdio};

const LOGS: &str = r#"
  0.1 node-1 {"time":"2026-02-28T23:59:50.000Z","vm":"node-1","zone":"a","event":"table_in_force","version":7}
{"time":"2026-02-28T23:59:58.000Z","vm":"node-1","zone":"a","event":"server_changed","server":"s-1","change":"draining"}
{"time":"2026-02-28T23:59:58.000Z","vm":"node-1","zone":"a","event":"server_changed","server":"s-9","change":"gone"}
{"time":"2026-02-28T23:59:58.500Z","vm":"node-2","zone":"a","event":"dependency_lost","dependency":"server registry"}
{"time":"2026-02-28T23:59:40.000Z","vm":"node-1","zone":"a","event":"dependency_lost","dependency":"server registry"}
{"time":"2026-03-01T00:00:00.200Z","vm":"node-1","zone":"a","event":"call_refused","request_id":"one","status":502}
{"time":"2026-03-01T00:00:00.100Z","vm":"node-1","zone":"a","event":"attempt_failed","request_id":"one","server":"s-1"}
{"time":"2026-03-01T00:00:00.150Z","vm":"node-1","zone":"a","event":"call_ended","request_id":"two","server":"s-1"}
not a line of a node
"#;

fn run_explain(arguments: &[&str]) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .arg("explain")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("filbertctl starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin.write_all(LOGS.as_bytes()).unwrap_or_default();
    drop(stdin);
    let output = child.wait_with_output().expect("filbertctl exits");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn relevant_lines_in_order() {
    let (code, text) = run_explain(&["one"]);
    assert_eq!(code, Some(0), "{text}");
    let events: Vec<&str> =
        text.lines().filter_map(|line| line[2..].split_whitespace().nth(2)).collect();
    let expected = ["table_in_force", "server_changed", "attempt_failed", "call_refused"];
    assert_eq!(events, expected, "{text}");
}

#[rstest]
#[case::unknown(&["three"], 1, "no line names request three")]
#[case::no_id(&[], 2, "needs the id")]
#[case::no_file(&["one", "/nonexistent.log"], 2, "/nonexistent.log")]
fn error_exit_codes(#[case] arguments: &[&str], #[case] code: i32, #[case] expected: &str) {
    let (found, text) = run_explain(arguments);
    assert_eq!(found, Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}
