//! Measures what a node without calls costs at several sizes of the fleet: gossip, RPC between
//! nodes, and polling of the platform and of backend servers.
//!
//! `cargo build --release --bin filbertlead`, then
//! `cargo run --release -p fl-testbed --example idle_cost -- target/release/filbertlead 6 24`.
//! Prints one row per number of nodes: processor share, resident memory, and bytes per second by
//! purpose, each per node.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use fl_testbed::network::Traffic;
use fl_testbed::{Testbed, TestbedOptions};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const RUNNERS: usize = 12;
const WARM_UP: Duration = Duration::from_secs(15);
const MEASUREMENT: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let binary = arguments.next().expect("pass the path of the node's binary");
    println!("nodes  cpu %  memory MB  gossip B/s  peer B/s  platform B/s  backend B/s");
    for nodes in arguments {
        measure(&binary, nodes.parse().expect("pass each fleet size as a number of nodes")).await;
    }
}

async fn measure(binary: &str, nodes: usize) {
    let mut options = TestbedOptions::new(binary);
    options.nodes = nodes;
    options.runners = RUNNERS;
    options.relay_backends = true;
    let testbed = Testbed::start(options).await;
    tokio::time::sleep(WARM_UP).await;
    let cpu_before: f64 = testbed.nodes.iter().map(|node| node.cpu_seconds()).sum();
    let bytes_before = traffic_bytes(testbed.network.traffic());
    let started_at = Instant::now();
    tokio::time::sleep(MEASUREMENT).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let bytes_after = traffic_bytes(testbed.network.traffic());
    let cpu_after: f64 = testbed.nodes.iter().map(|node| node.cpu_seconds()).sum();
    let memory_bytes: u64 = testbed.nodes.iter().map(|node| node.memory_bytes()).sum();
    let node_seconds = nodes as f64 * elapsed_s;
    let rate = |index: usize| (bytes_after[index] - bytes_before[index]) as f64 / node_seconds;
    println!(
        "{nodes:5}  {:5.2}  {:9.1}  {:10.0}  {:8.0}  {:12.0}  {:11.0}",
        (cpu_after - cpu_before) / node_seconds * 100.0,
        memory_bytes as f64 / nodes as f64 / 1e6,
        rate(0),
        rate(1),
        rate(2),
        rate(3),
    );
}

fn traffic_bytes(traffic: &Traffic) -> [u64; 4] {
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    [load(&traffic.gossip), load(&traffic.peer), load(&traffic.platform), load(&traffic.backend)]
}
