//! Prints the control traffic of a node against the size of the fleet, over pure states with a
//! virtual clock.
//!
//! ```text
//! cargo run --release -p fl-membership --example traffic_by_fleet_size [NODES [with-payloads | without-payloads]]
//! ```

#[path = "../tests/common/exchange.rs"]
mod exchange;

use exchange::Exchange;
use fl_membership::Traffic;
use fl_protocol::MemberState;
use std::time::Duration;

const SETTLE: Duration = Duration::from_secs(120);
/// By then the news of the start has been sent often enough.
const QUIET: Duration = Duration::from_secs(120);
const SPAN: Duration = Duration::from_secs(60);
const RIDER_INTERVAL: Duration = Duration::from_secs(5);
const RIDER_BYTES: usize = 64;
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
    let mut exchange = Exchange::new(nodes, data_centers, 1);
    let settled = exchange.run_until(SETTLE, Exchange::settled).is_some();
    exchange.run_for(QUIET);
    let before = traffic(&exchange);
    let end = exchange.now + SPAN;
    while exchange.now < end {
        if payloads {
            for place in &mut exchange.places {
                place.state.set_payload(vec![exchange.now.as_millis() as u8; RIDER_BYTES]);
            }
        }
        exchange.run_for(RIDER_INTERVAL);
    }
    let after = traffic(&exchange);
    let rates: Vec<u64> = before.iter().zip(&after).map(|(a, b)| rate(a, b)).collect();
    let mean = rates.iter().sum::<u64>() / rates.len() as u64;
    let max = rates.iter().max().copied().unwrap_or(0);
    exchange.places[1].running = false;
    let known = |now: &Exchange| now.all_believe(1, MemberState::Dead);
    let detected = exchange.run_until(SETTLE, known).map(|took| took.as_millis());
    let detected = detected.map_or("never".to_string(), |took_ms| took_ms.to_string());
    let note = if settled { "" } else { " (not settled)" };
    println!("| {nodes} | {data_centers} | {payloads} | {mean} | {max} | {detected}{note} |");
}

fn traffic(exchange: &Exchange) -> Vec<Traffic> {
    exchange.places.iter().map(|place| place.state.traffic()).collect()
}

/// Bytes a second that a node sent and received, headers included.
fn rate(before: &Traffic, after: &Traffic) -> u64 {
    let sent_bytes = after.sent_bytes - before.sent_bytes;
    let received_bytes = after.received_bytes - before.received_bytes;
    (sent_bytes + received_bytes) / SPAN.as_secs()
}
