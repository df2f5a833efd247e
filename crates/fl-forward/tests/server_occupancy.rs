//! The number of servers that calls in flight occupy, which scaling uses for long responses.

#[path = "support/node.rs"]
mod support;

use fl_forward::clock::boot_time;
use fl_forward::servers::apply_list;
use fl_kernel::forward::ServerList;
use fl_routing::peer_loads::InFlightLoad;
use fl_routing::rendezvous::name_hash;
use std::sync::Arc;
use support::{entry, node, store_version};

fn load(server: &str, in_flight: u32) -> InFlightLoad {
    InFlightLoad { in_flight, ..InFlightLoad::idle(name_hash(server)) }
}

/// Long responses fill the slots of servers that prefill hardly any prompt, so the prefill rate
/// shows no demand.
#[test]
fn long_responses_occupy_servers() {
    let node = node("node", Arc::default());
    let entries = vec![entry("a", "model", 4), entry("b", "model", 8), entry("c", "other", 4)];
    apply_list(
        &node,
        ServerList { entries, invalid_entries: Vec::new(), store_version: store_version(1) },
        boot_time(),
    );
    assert!(node.servers.occupied_servers("model").abs() < 0.01);
    let loads = vec![load("a", 4), load("b", 4), load("c", 4)];
    node.servers.apply_peer_loads(1, (1, 1), &loads);
    assert!((node.servers.occupied_servers("model") - 1.5).abs() < 0.01);
}
