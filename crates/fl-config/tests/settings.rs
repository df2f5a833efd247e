//! Validation of a node's settings; all errors of a file are reported at once.

use fl_config::{ConfigError, Settings};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const COMPLETE: &str = "
[node]
vm = entry-a1
data_center = sofia-1
region = sofia
[listen]
callers = 127.0.0.1:8080
peer = 127.0.0.1:7001
gossip = 127.0.0.1:7002
admin = 127.0.0.1:9090
[platform]
table = 127.0.0.1:6001
objects = 127.0.0.1:6002
vm_list = 127.0.0.1:6003
cloud = 127.0.0.1:6004
weights = 127.0.0.1:6005
[fleet]
key_hex = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
";

fn error_messages(text: &str) -> Vec<String> {
    let errors = Settings::parse(text).err();
    errors.iter().flat_map(|errors| &errors.errors).map(ConfigError::to_string).collect()
}

#[test]
fn defaults_applied() {
    let settings = Settings::parse(COMPLETE).expect("the text is valid");
    assert_eq!(settings.limits.header_bytes, 16384);
    assert_eq!(settings.limits.give_up, Duration::from_secs(60));
    assert_eq!(settings.membership.heartbeat, Duration::from_millis(500));
    assert_eq!(settings.routing.policy, "prefix");
    assert_eq!(settings.listen.peer_advertised, settings.listen.peer);
    assert_eq!(settings.fleet.key[31], 0x1f);
    assert!(settings.fleet.control && settings.fleet.seeds.is_empty());
}

#[test]
fn seeds_sorted() {
    let text = format!("{COMPLETE}seeds = 127.0.0.9:1, 127.0.0.2:1\ncontrol = no\n");
    let settings = Settings::parse(&text).expect("the text is valid");
    let seeds: Vec<String> = settings.fleet.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["127.0.0.2:1", "127.0.0.9:1"]);
    assert!(!settings.fleet.control);
}

#[rstest]
#[case::value(
    "[limits]\nretry_budget_percent = 140",
    "[limits] retry_budget_percent = 140: expected a whole number from 0 to 100; correct the value"
)]
#[case::zero_time(
    "[limits]\ngive_up_ms = 0",
    "[limits] give_up_ms = 0: expected milliseconds from 1 to 3600000; correct the value"
)]
#[case::policy(
    "[routing]\npolicy = random",
    "[routing] policy = random: expected one of prefix, least-loaded, round-robin; correct the value"
)]
#[case::unknown_key(
    "[log]\nlevle = info",
    "[log] levle is not a known key: expected one of level, file; correct or remove the line"
)]
#[case::twice(
    "[log]\nlevel = info\nlevel = warn",
    "[log] level occurs 2 times; keep one of the lines"
)]
#[case::section_twice("[node]\nvm = b", "[node] occurs 2 times; merge the sections into one")]
#[case::stray_line(
    "[log]\nloudly\nlevel = info",
    "[log] loudly is not a line of the form key = value; correct or remove it"
)]
#[case::unknown_section(
    "[logs]\nlevel = info",
    "[logs] is not a known section: expected one of [node], [listen], [platform], [fleet], [limits], [membership], [routing], [log]; correct or remove it"
)]
#[case::relation(
    "[membership]\nheartbeat_ms = 900\nsuspicion_ms = 900",
    "[membership] suspicion_ms = 900: expected more than heartbeat_ms, 900; correct the value"
)]
fn single_error(#[case] added: &str, #[case] expected: &str) {
    assert_eq!(error_messages(&format!("{COMPLETE}{added}\n")), [expected]);
}

#[test]
fn all_errors_reported() {
    let text = COMPLETE
        .replace("vm = entry-a1\n", "")
        .replace("127.0.0.1:8080", "localhost")
        .replace("key_hex = 00", "key_hex = zz");
    let found = error_messages(&format!("{text}seeds = 1\n[log]\nlevel = loud\n[x]\na = 1\n"));
    assert_eq!(found.len(), 6, "{found:#?}");
    assert!(found[0].starts_with("[node] vm is missing"), "{found:#?}");
    assert!(found[2].starts_with("[fleet] key_hex = (hidden)"), "{found:#?}");
}

#[test]
fn empty_file_lists_required_keys() {
    assert_eq!(error_messages("").len(), 13);
}

#[test]
fn syntax_error_names_line() {
    assert!(error_messages("[node\nvm = a\n")[0].starts_with("line "));
}

#[test]
fn unspecified_address_not_advertised() {
    let text = COMPLETE.replace("peer = 127.0.0.1", "peer = 0.0.0.0");
    assert!(error_messages(&text)[0].starts_with("[listen] peer_advertised is missing"));
    let text = text.replace("admin =", "peer_advertised = 10.0.0.4:7001\nadmin =");
    assert!(Settings::parse(&text).is_ok());
}

#[test]
fn missing_file_named() {
    let errors = Settings::load("/nonexistent/node.ini").expect_err("there is no such file");
    assert!(errors.to_string().contains("cannot read /nonexistent/node.ini"));
}

#[rstest]
#[case::carriage_returns(COMPLETE.replace('\n', "\r\n"))]
#[case::comments(COMPLETE.replace("[listen]", "; a comment\n# another\n\n[listen]"))]
#[case::spaces(COMPLETE.replace(" = ", "="))]
fn equivalent_formats(#[case] text: String) {
    assert_eq!(Settings::parse(&text), Settings::parse(COMPLETE));
}

proptest! {
    /// Any text is either read or rejected with at least one error; the reader must not panic.
    #[test]
    fn any_text_handled(lines in prop::collection::vec("(\\[[a-z ]{0,9}\\]?|[a-z_]{0,9}[=:]?.{0,9})\\n", 0..9)) {
        let errors = Settings::parse(&lines.concat()).err();
        prop_assert!(errors.is_some_and(|errors| !errors.errors.is_empty()));
    }
}
