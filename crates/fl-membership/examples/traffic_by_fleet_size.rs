//! Prints a node's membership traffic by fleet size, from a simulation on a virtual clock.
//!
//! ```text
//! cargo run --release -p fl-membership --example traffic_by_fleet_size \
//!     [NODES [with-payloads | without-payloads]]
//! ```

#[path = "../tests/common/simulation.rs"]
mod simulation;

use fl_membership::Traffic;
use fl_protocol::MemberState;
use simulation::Simulation;
use std::time::Duration;

const CONVERGENCE_LIMIT: Duration = Duration::from_secs(120);
/// Time until the updates of the start reached their transmit limit.
const QUIET_PERIOD: Duration = Duration::from_secs(120);
const MEASURED_PERIOD: Duration = Duration::from_secs(60);
const PAYLOAD_INTERVAL: Duration = Duration::from_secs(5);
const PAYLOAD_BYTES: usize = 64;
const SIZES: [(usize, usize); 6] = [(6, 3), (12, 3), (24, 3), (42, 1), (84, 2), (340, 8)];

fn main() {
    println!("| nodes | data centres | payloads | mean B/s | max B/s | death known to all, ms |");
    println!("|---|---|---|---|---|---|");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let chosen = |nodes: usize| arguments.first().is_none_or(|only| *only == nodes.to_string());
    for (nodes, data_centers) in SIZES {
        for (name, payloads) in [("without-payloads", false), ("with-payloads", true)] {
            if chosen(nodes) && arguments.get(1).is_none_or(|only| only == name) {
                measure(nodes, data_centers, payloads);
            }
        }
    }
}

fn measure(nodes: usize, data_centers: usize, payloads: bool) {
    let mut simulation = Simulation::new(nodes, data_centers, 1);
    let converged = simulation.run_until(CONVERGENCE_LIMIT, Simulation::has_converged).is_some();
    simulation.run_for(QUIET_PERIOD);
    let before = traffic(&simulation);
    let end = simulation.now + MEASURED_PERIOD;
    while simulation.now < end {
        if payloads {
            for node in &mut simulation.nodes {
                node.state.set_payload(vec![simulation.now.as_millis() as u8; PAYLOAD_BYTES]);
            }
        }
        simulation.run_for(PAYLOAD_INTERVAL);
    }
    let after = traffic(&simulation);
    let rates: Vec<u64> = before.iter().zip(&after).map(|(a, b)| rate(a, b)).collect();
    let mean = rates.iter().sum::<u64>() / rates.len() as u64;
    let max = rates.iter().max().copied().unwrap_or(0);
    simulation.nodes[1].running = false;
    let known = |simulation: &Simulation| simulation.all_observe(1, MemberState::Dead);
    let detected = simulation.run_until(CONVERGENCE_LIMIT, known).map(|took| took.as_millis());
    let detected = detected.map_or("never".to_string(), |took_ms| took_ms.to_string());
    let note = if converged { "" } else { " (not converged)" };
    println!("| {nodes} | {data_centers} | {payloads} | {mean} | {max} | {detected}{note} |");
}

fn traffic(simulation: &Simulation) -> Vec<Traffic> {
    simulation.nodes.iter().map(|node| node.state.traffic()).collect()
}

/// Returns the traffic of a node, sent and received, in bytes per second with headers.
fn rate(before: &Traffic, after: &Traffic) -> u64 {
    let sent_bytes = after.sent_bytes - before.sent_bytes;
    let received_bytes = after.received_bytes - before.received_bytes;
    (sent_bytes + received_bytes) / MEASURED_PERIOD.as_secs()
}
