//! Help texts, exit codes, the check command and the key command of filbertctl.

use rstest::rstest;
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_filbertctl(arguments: &[&str], input: &str) -> std::io::Result<Output> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(mut stdin) = child.stdin.take() {
        // A command that does not read its input may exit before this write.
        stdin.write_all(input.as_bytes()).unwrap_or_default();
    }
    child.wait_with_output()
}

#[rstest]
#[case::help(&["--help"], 0, "Usage: filbertctl COMMAND")]
#[case::check_help(&["check", "--help"], 0, "filbertctl check node.ini")]
#[case::timeline_help(&["timeline", "--help"], 0, "--last-s")]
#[case::no_command(&[], 2, "no command was given")]
#[case::unknown_command(&["dance"], 2, "unrecognized command")]
#[case::unknown_option(&["key", "--loud"], 2, "unrecognized option")]
#[case::no_key_kind(&["key"], 2, "--fleet, --workspace or --hash")]
#[case::no_file(&["check"], 2, "missing required")]
#[case::missing_file(&["check", "/nonexistent.ini"], 2, "cannot read or write /nonexistent.ini")]
#[case::no_admin(&["timeline"], 2, "admin address")]
#[case::bad_request(&["timeline", "--admin", "127.0.0.1:1", "--request", "5"], 2, "32 hexadecimal digits")]
#[case::unreachable(&["timeline", "--admin", "127.0.0.1:1"], 3, "refused the connection")]
fn exit_codes(#[case] arguments: &[&str], #[case] code: i32, #[case] expected: &str) {
    let output = run_filbertctl(arguments, "").unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}

#[test]
fn check_reports_all_errors() {
    let path = std::env::temp_dir().join(format!("faults-{}.ini", std::process::id()));
    std::fs::write(&path, "[node]\nvm = a b\n[limits]\nretry_budget_percent = 140\n").unwrap();
    let output = run_filbertctl(&["check", &path.display().to_string()], "").unwrap();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("[node] vm = a b: expected a name"), "{text}");
    assert!(text.contains("[limits] retry_budget_percent = 140: expected a whole"), "{text}");
}

#[test]
fn hash_matches_generated_key() {
    let generated = run_filbertctl(&["key", "--workspace"], "").unwrap();
    let generated = String::from_utf8_lossy(&generated.stdout).into_owned();
    let (head, hash_line) = generated.trim_end().split_once('\n').unwrap();
    let key = head.rsplit(' ').next().unwrap();
    let hashed = run_filbertctl(&["key", "--hash"], &format!("{key}\n")).unwrap();
    assert_eq!(String::from_utf8_lossy(&hashed.stdout).trim_end(), hash_line);
    assert_eq!(run_filbertctl(&["key", "--hash"], "").unwrap().status.code(), Some(1));
}
