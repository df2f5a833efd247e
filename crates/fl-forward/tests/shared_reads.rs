//! What a node takes over from a peer's reply about the store, and with which age.

#[path = "support/node.rs"]
mod support;

use fl_forward::Node;
use fl_forward::clock::boot_time;
use fl_forward::servers::apply_list;
use fl_forward::shared_reads::{ReadIntervals, StoreQuery, StoreReply, apply_reply, reply_to};
use fl_kernel::forward::{ForwardBounds, ServerList};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use support::{entry, node, store_version};

fn list(names: &[&str], revision: u64) -> ServerList {
    let entries = names.iter().map(|name| entry(name, "model", 8)).collect();
    ServerList { entries, invalid_entries: Vec::new(), store_version: store_version(revision) }
}

fn names(node: &Node) -> Vec<String> {
    node.servers.usable().into_iter().map(|entry| entry.name).collect()
}

/// Returns a node that has just read a list.
fn reader(names: &[&str], revision: u64) -> Node {
    let reader = node("reader", Arc::default());
    apply_list(&reader, list(names, revision), boot_time());
    reader
}

fn query(client: &Node, sent_ago: Duration) -> StoreQuery {
    let sent_at_us = (boot_time() - sent_ago).as_micros() as u64;
    StoreQuery { sent_at_us, registry_digest: client.servers.digest() }
}

fn exchange(client: &Node, reader: &Node, sent_ago: Duration) -> StoreReply {
    let reply = reply_to(reader, query(client, sent_ago));
    apply_reply(client, reply.clone());
    reply
}

#[test]
fn list_sent_once() {
    let (client, reader) = (node("client", Arc::default()), reader(&["a", "b"], 7));
    assert!(exchange(&client, &reader, Duration::ZERO).entries.is_some());
    assert_eq!(names(&client), ["a", "b"]);
    assert!(
        exchange(&client, &reader, Duration::ZERO).entries.is_none(),
        "the querying node has the list already"
    );
    apply_list(&reader, list(&["b"], 8), boot_time());
    assert!(exchange(&client, &reader, Duration::ZERO).entries.is_some());
    assert_eq!(names(&client), ["b"]);
}

/// A reply that was delayed, or that waited in a suspended node, is at least as old as its query.
#[test]
fn age_includes_query_time() {
    let (client, reader) = (node("client", Arc::default()), reader(&["a"], 7));
    exchange(&client, &reader, Duration::from_secs(5));
    assert!(client.servers.age().expect("an age") >= Duration::from_secs(5));
}

#[test]
fn newer_list_kept() {
    let (client, reader) = (node("client", Arc::default()), reader(&["a"], 7));
    apply_list(&client, list(&["b"], 9), boot_time());
    exchange(&client, &reader, Duration::ZERO);
    assert_eq!(names(&client), ["b"], "an earlier revision changes nothing");
    let late = reply_to(&self::reader(&["c"], 9), query(&client, Duration::from_secs(2)));
    apply_reply(&client, late);
    assert_eq!(names(&client), ["b"], "an earlier reading time changes nothing");
}

#[test]
fn impossible_times_ignored() {
    let (client, reader) = (node("client", Arc::default()), reader(&["a"], 7));
    let reply = reply_to(&reader, query(&client, Duration::ZERO));
    let ahead = (boot_time() + Duration::from_secs(60)).as_micros() as u64;
    apply_reply(&client, StoreReply { query_sent_at_us: ahead, ..reply.clone() });
    apply_reply(&client, StoreReply { registry_age_us: Some(u64::MAX), ..reply.clone() });
    apply_reply(&client, StoreReply { entries: None, registry_digest: 1, ..reply });
    assert!(names(&client).is_empty());
}

/// A leaving server is known within the drain bound even if one read fails, whatever the bounds
/// are.
#[rstest]
#[case::default_bounds(2000, 2000)]
#[case::halved(1000, 1000)]
#[case::doubled(4000, 4000)]
#[case::short_drain(500, 4000)]
#[case::short_propagation(4000, 500)]
#[case::zero_bounds(0, 0)]
fn intervals_follow_bounds(#[case] drain_ms: u64, #[case] propagation_ms: u64) {
    let (drain_timeout, propagation_delay) =
        (Duration::from_millis(drain_ms), Duration::from_millis(propagation_ms));
    let intervals = ReadIntervals::new(&ForwardBounds {
        drain_timeout,
        propagation_delay,
        ..ForwardBounds::default()
    });
    let least = Duration::from_millis(50);
    assert!(
        intervals.registry_age_max + intervals.registry_interval
            <= (drain_timeout * 3 / 4).max(2 * least)
    );
    assert!(intervals.table_age_max <= (propagation_delay * 3 / 4).max(least));
    assert!(
        intervals.registry_interval + intervals.query_interval
            <= intervals.registry_age_max.max(2 * least)
    );
    assert!(intervals.query_interval >= least && intervals.table_wait >= least);
}
