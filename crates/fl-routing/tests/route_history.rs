//! Which services may have begun a stream, while operators change the routes.

#[path = "support/version_server.rs"]
mod version_server;

use fl_protocol::forward::Route;
use fl_routing::route_history::RouteHistory;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use version_server::route;

/// Longer than streams last.
const LONG_S: u64 = 40;

fn seconds(time_s: u64) -> Duration {
    Duration::from_secs(1000 + time_s)
}

type Table = Vec<Arc<Route>>;

fn plan(services: &[&str]) -> Table {
    vec![route("/plan/", services)]
}

fn and(mut table: Table, prefix: &str, services: &[&str]) -> Table {
    table.push(route(prefix, services));
    table
}

/// Guards against two faults while operators change the routes: streams of a route are refused though
/// the change did not concern its paths, or go on at another service than the one that began them.
#[rstest]
#[case::unchanged(plan(&["a"]), plan(&["a"]), &["a"])]
#[case::split(plan(&["a", "b"]), plan(&["a", "b"]), &["a", "b"])]
#[case::route_added(plan(&["a"]), and(plan(&["a"]), "/other/", &["b"]), &["a"])]
#[case::route_gone(and(plan(&["a"]), "/other/", &["b"]), plan(&["a"]), &["a"])]
#[case::other_moved(and(plan(&["a"]), "/x/", &["b"]), and(plan(&["a"]), "/x/", &["c"]), &["a"])]
#[case::moved(plan(&["b"]), plan(&["a"]), &["a", "b"])]
#[case::split_ended(plan(&["a", "b"]), plan(&["a"]), &["a", "b"])]
#[case::split_begun(plan(&["a"]), plan(&["a", "b"]), &["a", "b"])]
#[case::inner_gone(and(plan(&["a"]), "/plan/x/", &["b"]), plan(&["a"]), &["a", "b"])]
#[case::outer_before(vec![route("/", &["b"])], and(plan(&["a"]), "/", &["b"]), &["a", "b"])]
fn services_of_changed_routes(
    #[case] before: Table,
    #[case] after: Table,
    #[case] expected: &[&str],
) {
    let mut history = RouteHistory::default();
    history.note(&before, seconds(0));
    history.note(&after, seconds(LONG_S));
    let services = history.possible_services(&after[0], seconds(LONG_S + 1));
    assert_eq!(services.as_deref(), Some(expected));
    let mut left: Vec<&str> = after[0].services.iter().map(|(name, _)| name.as_str()).collect();
    left.sort_unstable();
    let services = history.possible_services(&after[0], seconds(2 * LONG_S));
    assert_eq!(services, Some(left), "streams of before have ended");
}

/// Guards against taking what a node saw of the routes for all that happened.
#[test]
fn unknown_before_first_table() {
    let mut history = RouteHistory::default();
    history.note(&plan(&["a"]), seconds(0));
    assert_eq!(history.possible_services(&plan(&["a"])[0], seconds(10)), None);
}

/// Guards against a history that grows without bound, and against forgetting a part of it: after a
/// change of very many routes all are unknown for a while.
#[test]
fn many_routes_moved() {
    let table = |service: &str| -> Table {
        (0..1000).map(|number| route(&format!("/plan/{number}/"), &[service])).collect()
    };
    let mut history = RouteHistory::default();
    history.note(&table("a"), seconds(0));
    history.note(&table("b"), seconds(LONG_S));
    assert!(history.former().len() < 1000);
    assert_eq!(history.possible_services(&table("b")[0], seconds(LONG_S + 1)), None);
}
