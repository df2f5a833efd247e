//! Which servers a node chooses while some of them name limits.

#[path = "support/node.rs"]
mod support;

use fl_forward::Node;
use fl_forward::clock::boot_time;
use fl_forward::servers::{NoServer, apply_list, apply_reported_limits, note_limit};
use fl_kernel::forward::ServerList;
use std::sync::Arc;
use support::{entry, node};

const CALLS: usize = 20;

/// Returns a node that knows servers of one service.
fn node_with(servers: &[&str]) -> Node {
    let node = node("node", Arc::default());
    let entries = servers.iter().map(|server| entry(server, "model", 8)).collect();
    let list = ServerList { entries, invalid_entries: Vec::new(), revision: 1 };
    apply_list(&node, list, boot_time());
    node
}

fn choose(node: &Node) -> Result<String, NoServer> {
    let chosen = node.servers.choose("model", None, false, "zone-a", &[]);
    chosen.map(|chosen| chosen.entry.name)
}

fn all_choices(node: &Node) -> Vec<Result<String, NoServer>> {
    (0..CALLS).map(|_| choose(node)).collect()
}

#[test]
fn limited_server_left_to_others() {
    let node = node_with(&["a", "b"]);
    note_limit(&node, "a", Some(1.0));
    assert!(all_choices(&node).iter().all(|chosen| *chosen == Ok("b".to_string())));
    assert_eq!(node.servers.limited(), 1);
    note_limit(&node, "a", None);
    assert!(all_choices(&node).contains(&Ok("a".to_string())), "the limit has ended");
}

/// A call that no server can take now is refused at once, and the refusal says why.
#[test]
fn all_servers_limited() {
    let node = node_with(&["a"]);
    assert_eq!(choose(&node_with(&[])), Err(NoServer::NoneUsable));
    note_limit(&node, "a", Some(1.0));
    assert_eq!(choose(&node), Err(NoServer::AllLimited));
}

/// Guards against nodes that learn of a limit only from their own calls.
#[test]
fn limit_learned_from_peer() {
    let (first, second) = (node_with(&["a", "b"]), node_with(&["a", "b"]));
    note_limit(&first, "a", Some(1.0));
    apply_reported_limits(&second, &first.servers.limits_to_report());
    assert!(all_choices(&second).iter().all(|chosen| *chosen == Ok("b".to_string())));
    assert!(second.servers.limits_to_report().is_empty(), "only who heard it reports it");
    note_limit(&first, "a", None);
    apply_reported_limits(&second, &first.servers.limits_to_report());
    assert!(all_choices(&second).contains(&Ok("a".to_string())));
}
