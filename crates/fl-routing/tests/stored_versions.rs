//! The history of versions outlives all nodes in a row of the store, which is not trusted further
//! than it reaches.

#![allow(clippy::expect_used)]

#[path = "support/version_server.rs"]
mod version_server;

use fl_protocol::forward::{Route, ServerEntry};
use fl_routing::stream_origins::StreamOrigin;
use fl_routing::version_history::{Moment, StoredVersions, VersionHistory};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use version_server::{route, server};

const INCARNATION: u64 = 3;
/// Wall clock and nodes' clock differ.
const UNIX_OFFSET_MS: u64 = 1_700_000_000_000;

/// Returns routes that lead to the service of all servers here.
fn routes() -> [Arc<Route>; 1] {
    [route("/plan/", &["models"])]
}

/// Returns a moment of a node whose clock begins a while before the test.
fn moment(time_s: u64) -> Moment {
    Moment { now: Duration::from_secs(1000 + time_s), unix_ms: UNIX_OFFSET_MS + time_s * 1000 }
}

fn note_lists(history: &mut VersionHistory, versions: &[&str], from_s: u64, to_s: u64) {
    let list: Vec<ServerEntry> = versions.iter().map(|version| server(version)).collect();
    for time_s in from_s..=to_s {
        history.note_list(&list, moment(time_s).now);
    }
}

/// Returns the row of a node that read lists with these versions until a time.
fn row(versions: &[&str], until_s: u64) -> StoredVersions {
    let mut history = VersionHistory::default();
    history.note_routes(&routes(), moment(0).now);
    note_lists(&mut history, versions, 0, until_s);
    history.to_store(moment(until_s), INCARNATION, true).expect("nothing is stored yet")
}

/// Returns what a node that starts at a time knows, which reads a row and then a list.
fn started(row: StoredVersions, incarnation: u64, versions: &[&str], at_s: u64) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.apply_stored(row, moment(at_s), incarnation);
    history.note_routes(&routes(), moment(at_s).now);
    note_lists(&mut history, versions, at_s, at_s);
    history
}

fn only_origin(history: &VersionHistory, at_s: u64) -> Option<StreamOrigin> {
    let now = moment(at_s).now;
    history.route_origin(&routes()[0], now)
}

/// Guards against a node that forgets what others saw before it started, and against trusting a row
/// of a short or other history, an old one, or one from before the store came back.
#[rstest]
#[case::one_version(&["v1"], 60, INCARNATION, &["v1"], 70, true)]
#[case::short_history(&["v1"], 20, INCARNATION, &["v1"], 29, false)]
#[case::two_versions(&["v1", "v2"], 60, INCARNATION, &["v1"], 70, false)]
#[case::old_version_left(&["v1"], 60, INCARNATION, &["v2"], 70, false)]
#[case::old_row(&["v1"], 60, INCARNATION, &["v1"], 81, false)]
#[case::older_copy(&["v1"], 60, INCARNATION + 1, &["v1"], 70, false)]
fn row_trusted_as_far_as_it_reaches(
    #[case] stored: &[&str],
    #[case] stored_s: u64,
    #[case] incarnation: u64,
    #[case] listed: &[&str],
    #[case] started_s: u64,
    #[case] is_known: bool,
) {
    let history = started(row(stored, stored_s), incarnation, listed, started_s);
    let expected = is_known.then(|| StreamOrigin::of(&server("v1")));
    assert_eq!(only_origin(&history, started_s), expected);
}

/// Guards against a version that left after the last write: it served until all nodes ended.
#[test]
fn version_in_last_row_counts_from_start() {
    let mut history = started(row(&["v1", "v2"], 60), INCARNATION, &["v2"], 75);
    note_lists(&mut history, &["v2"], 76, 104);
    assert_eq!(only_origin(&history, 104), None, "v1 may have begun streams until 74 s");
    note_lists(&mut history, &["v2"], 105, 106);
    assert!(only_origin(&history, 106).is_some());
}

/// Guards against taking another service's version after a route has moved, by the row's routes.
#[test]
fn routes_moved_before_start() {
    let mut history = VersionHistory::default();
    history.apply_stored(row(&["v1"], 60), moment(70), INCARNATION);
    history.note_routes(&[route("/plan/", &["others"])], moment(70).now);
    note_lists(&mut history, &["v1"], 70, 70);
    assert_eq!(only_origin(&history, 70), None);
    let moved = history.route_origin(&route("/plan/", &["others"]), moment(70).now);
    assert_eq!(moved, None);
}

/// Guards against refusing streams of all routes after a restart, since operators had added another
/// route shortly before, and against forgetting that a route had been moved.
#[test]
fn changed_routes_survive_restart() {
    let moved = |service: &str| [route("/plan/", &["models"]), route("/other/", &[service])];
    let mut history = VersionHistory::default();
    history.note_routes(&routes(), moment(0).now);
    note_lists(&mut history, &["v1"], 0, 60);
    history.note_routes(&moved("former"), moment(40).now);
    history.note_routes(&moved("models"), moment(58).now);
    let row = history.to_store(moment(60), INCARNATION, true).expect("nothing is stored yet");
    let mut started = VersionHistory::default();
    started.note_routes(&moved("models"), moment(70).now);
    started.apply_stored(row, moment(70), INCARNATION);
    note_lists(&mut started, &["v1"], 70, 70);
    assert!(only_origin(&started, 70).is_some());
    assert_eq!(started.route_origin(&moved("models")[1], moment(70).now), None);
}

/// Guards against refusing all streams of a system that is younger than streams last: none began
/// before it. A node whose VM alone is new does not know that.
#[rstest]
#[case::new_system(true)]
#[case::new_node(false)]
fn no_stream_before_first_start(#[case] is_new_system: bool) {
    let mut history = VersionHistory::default();
    history.note_routes(&routes(), moment(0).now);
    note_lists(&mut history, &["v1"], 0, 1);
    if is_new_system {
        history.begin_without_streams(moment(1).now);
    }
    assert_eq!(only_origin(&history, 1).is_some(), is_new_system);
    assert_eq!(history.has_ambiguous_routes(moment(1).now), !is_new_system);
    note_lists(&mut history, &["v1", "v2"], 2, 3);
    assert_eq!(only_origin(&history, 3), None, "v2 came");
}

/// Guards against a node that missed lists lists itself and takes an earlier time over from a row.
#[test]
fn missed_lists_not_taken_over() {
    let mut history = VersionHistory::default();
    history.note_routes(&routes(), moment(0).now);
    note_lists(&mut history, &["v1"], 0, 50);
    note_lists(&mut history, &["v1"], 58, 59);
    history.apply_stored(row(&["v1"], 49), moment(59), INCARNATION);
    assert_eq!(only_origin(&history, 59), None);
}

/// Guards against a row that costs a write although nothing changed, and against one that lacks a
/// new version.
#[test]
fn row_written_when_something_changes() {
    let mut history = VersionHistory::default();
    history.note_routes(&routes(), moment(0).now);
    note_lists(&mut history, &["v1"], 0, 10);
    let first = history.to_store(moment(10), INCARNATION, false).expect("nothing is stored");
    history.note_stored(first);
    note_lists(&mut history, &["v1"], 11, 19);
    assert_eq!(history.to_store(moment(19), INCARNATION, true), None);
    note_lists(&mut history, &["v1"], 20, 20);
    assert_eq!(history.to_store(moment(20), INCARNATION, false), None, "others confirm it");
    assert!(history.to_store(moment(20), INCARNATION, true).is_some(), "it is confirmed");
    note_lists(&mut history, &["v1", "v2"], 21, 21);
    assert!(history.to_store(moment(21), INCARNATION, false).is_some(), "v2 is new");
    history.apply_stored(row(&["v1", "v2"], 21), moment(21), INCARNATION);
    assert_eq!(history.to_store(moment(21), INCARNATION, false), None, "another node wrote it");
}
