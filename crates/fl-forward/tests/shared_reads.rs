//! What a node takes from a peer's word about the store, and how old it holds that to be.

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
use support::{entry, node};

fn list(names: &[&str], revision: u64) -> ServerList {
    let entries = names.iter().map(|name| entry(name, "model", 8)).collect();
    ServerList { entries, faults: Vec::new(), revision }
}

fn names(node: &Node) -> Vec<String> {
    node.servers.usable().into_iter().map(|entry| entry.name).collect()
}

/// A node that has just read a list.
fn reader(names: &[&str], revision: u64) -> Node {
    let reader = node("reader", Arc::default());
    apply_list(&reader, list(names, revision), boot_time());
    reader
}

fn ask(asker: &Node, asked_ago: Duration) -> StoreQuery {
    let asked_us = (boot_time() - asked_ago).as_micros() as u64;
    StoreQuery { asked_us, registry_digest: asker.servers.digest() }
}

fn learn(asker: &Node, reader: &Node, asked_ago: Duration) -> StoreReply {
    let reply = reply_to(reader, ask(asker, asked_ago));
    apply_reply(asker, reply.clone());
    reply
}

#[test]
fn list_travels_once() {
    let (asker, reader) = (node("asker", Arc::default()), reader(&["a", "b"], 7));
    assert!(learn(&asker, &reader, Duration::ZERO).entries.is_some());
    assert_eq!(names(&asker), ["a", "b"]);
    assert!(learn(&asker, &reader, Duration::ZERO).entries.is_none(), "it is there already");
    apply_list(&reader, list(&["b"], 8), boot_time());
    assert!(learn(&asker, &reader, Duration::ZERO).entries.is_some());
    assert_eq!(names(&asker), ["b"]);
}

/// An answer that was held up, or waited in a suspended node, is as old as its question.
#[test]
fn age_counts_the_question() {
    let (asker, reader) = (node("asker", Arc::default()), reader(&["a"], 7));
    learn(&asker, &reader, Duration::from_secs(5));
    assert!(asker.servers.age().expect("an age") >= Duration::from_secs(5));
}

#[test]
fn later_knowledge_stays() {
    let (asker, reader) = (node("asker", Arc::default()), reader(&["a"], 7));
    apply_list(&asker, list(&["b"], 9), boot_time());
    learn(&asker, &reader, Duration::ZERO);
    assert_eq!(names(&asker), ["b"], "an earlier revision changes nothing");
    let late = reply_to(&self::reader(&["c"], 9), ask(&asker, Duration::from_secs(2)));
    apply_reply(&asker, late);
    assert_eq!(names(&asker), ["b"], "an earlier moment changes nothing");
}

#[test]
fn impossible_times_ignored() {
    let (asker, reader) = (node("asker", Arc::default()), reader(&["a"], 7));
    let reply = reply_to(&reader, ask(&asker, Duration::ZERO));
    let ahead = (boot_time() + Duration::from_secs(60)).as_micros() as u64;
    apply_reply(&asker, StoreReply { asked_us: ahead, ..reply.clone() });
    apply_reply(&asker, StoreReply { registry_age_us: Some(u64::MAX), ..reply.clone() });
    apply_reply(&asker, StoreReply { entries: None, registry_digest: 1, ..reply });
    assert!(names(&asker).is_empty());
}

/// A leaving server is known in time even if a read fails on the way, whatever was promised.
#[rstest]
#[case::usual(2000, 2000)]
#[case::halved(1000, 1000)]
#[case::doubled(4000, 4000)]
#[case::drains_fast(500, 4000)]
#[case::declares_fast(4000, 500)]
#[case::nothing_promised(0, 0)]
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
