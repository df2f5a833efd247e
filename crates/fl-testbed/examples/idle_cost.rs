//! What control costs a node that serves nobody, at several sizes of the fleet.
//!
//! `cargo build --release --bin filbertlead`, then
//! `cargo run --release -p fl-testbed --example idle_cost -- target/release/filbertlead 6 24`.
//! Prints a row a size: processor share, resident memory, and bytes a second by use.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use fl_testbed::network::Traffic;
use fl_testbed::{Testbed, TestbedOptions};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const RUNNERS: usize = 12;
const SETTLE: Duration = Duration::from_secs(15);
const SPAN: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let binary = arguments.next().expect("name the node's binary");
    println!("nodes  cpu %  memory MB  gossip B/s  peer B/s  platform B/s  backend B/s");
    for nodes in arguments {
        measure(&binary, nodes.parse().expect("a number of nodes")).await;
    }
}

async fn measure(binary: &str, nodes: usize) {
    let mut options = TestbedOptions::new(binary);
    options.nodes = nodes;
    options.runners = RUNNERS;
    options.relay_backends = true;
    let bed = Testbed::start(options).await;
    tokio::time::sleep(SETTLE).await;
    let cpu_before: f64 = bed.nodes.iter().map(|node| node.cpu_seconds()).sum();
    let before = counts(bed.network.traffic());
    let begun = Instant::now();
    tokio::time::sleep(SPAN).await;
    let elapsed_s = begun.elapsed().as_secs_f64();
    let after = counts(bed.network.traffic());
    let cpu_after: f64 = bed.nodes.iter().map(|node| node.cpu_seconds()).sum();
    let memory_bytes: u64 = bed.nodes.iter().map(|node| node.memory_bytes()).sum();
    let per_node = nodes as f64 * elapsed_s;
    let rate = |index: usize| (after[index] - before[index]) as f64 / per_node;
    println!(
        "{nodes:5}  {:5.2}  {:9.1}  {:10.0}  {:8.0}  {:12.0}  {:11.0}",
        (cpu_after - cpu_before) / per_node * 100.0,
        memory_bytes as f64 / nodes as f64 / 1e6,
        rate(0),
        rate(1),
        rate(2),
        rate(3),
    );
}

fn counts(traffic: &Traffic) -> [u64; 4] {
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    [load(&traffic.gossip), load(&traffic.peer), load(&traffic.platform), load(&traffic.backend)]
}
