//! Compares the door with and without its ideas in virtual time, and prints tables.
//!
//! `cargo run --release -p fl-limits --example compare_fairness -- [seeds] [seconds]`

mod admission;
mod storm;

use admission::{AdmissionOptions, Arrival, Outcome, run};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Calls a second that the pool serves: its places over the mean time a call holds one.
const CAPACITY_PER_S: f64 = 64.0 / 0.8;
/// Workspaces.
const WORKSPACES: usize = 5;
/// What the small workspaces ask for, relative to an equal share.
const SMALL_LOAD: f64 = 0.6;
/// What the largest one asks for, relative to an equal share.
const LARGE_LOAD: f64 = 10.0;

fn arrivals(loads: &[f64], seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut list = Vec::new();
    for (workspace, load) in loads.iter().enumerate() {
        let rate_per_ms = CAPACITY_PER_S * load / 1_000.0;
        let mut at_ms = 0.0;
        while at_ms < seconds * 1_000.0 {
            at_ms += -(1.0 - random.random::<f64>()).ln() / rate_per_ms;
            let held_ms = random.random_range(400.0..1_200.0);
            list.push(Arrival { at_ms, workspace, held_ms });
        }
    }
    list.sort_by(|left, right| left.at_ms.total_cmp(&right.at_ms));
    list
}

fn over_seeds(seeds: u64, run: impl Fn(u64) -> Outcome) -> Vec<Outcome> {
    (1..=seeds).map(run).collect()
}

fn mean(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64) -> String {
    let values: Vec<f64> = outcomes.iter().map(value).collect();
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    format!("{mean:.1} ({least:.1} to {most:.1})")
}

fn print_fairness(seeds: u64, seconds: f64) {
    println!("\n### The largest workspace offers ten times its share\n");
    println!(
        "| options | p95 to the first token, small, ms | refused, small, % | p95, large, ms | refused, large, % | places used, % |"
    );
    println!("|---|---|---|---|---|---|");
    let share = 1.0 / WORKSPACES as f64;
    let mut loads = vec![SMALL_LOAD * share; WORKSPACES];
    loads[0] = LARGE_LOAD * share;
    let cases = [
        ("first come, first served", AdmissionOptions { fair: false, refuses: false }),
        ("first come, refusals", AdmissionOptions { fair: false, refuses: true }),
        ("fair queue", AdmissionOptions { fair: true, refuses: false }),
        ("fair queue, refusals", AdmissionOptions { fair: true, refuses: true }),
    ];
    for (name, options) in cases {
        let outcomes = over_seeds(seeds, |seed| run(options, &arrivals(&loads, seconds, seed)));
        println!(
            "| {name} | {} | {} | {} | {} | {} |",
            mean(&outcomes, |o| o.p95_ms(1..WORKSPACES)),
            mean(&outcomes, |o| o.refused_percent(1..WORKSPACES)),
            mean(&outcomes, |o| o.p95_ms(0..1)),
            mean(&outcomes, |o| o.refused_percent(0..1)),
            mean(&outcomes, |o| o.used_percent),
        );
    }
}

fn print_overload(seeds: u64, seconds: f64) {
    println!("\n### Overload: calls within their deadline, a second\n");
    println!(
        "| times capacity | without refusals | with refusals | refused, % | refused late, % |"
    );
    println!("|---|---|---|---|---|");
    for load in [0.8, 1.0, 1.5, 2.0, 4.0] {
        let loads = vec![load / WORKSPACES as f64; WORKSPACES];
        let outcomes = |refuses| {
            over_seeds(seeds, |seed| {
                run(AdmissionOptions { fair: true, refuses }, &arrivals(&loads, seconds, seed))
            })
        };
        let (without, with) = (outcomes(false), outcomes(true));
        println!(
            "| {load} | {} | {} | {} | {} |",
            mean(&without, |o| o.in_time as f64 / seconds),
            mean(&with, |o| o.in_time as f64 / seconds),
            mean(&with, |o| o.refused_percent(0..WORKSPACES)),
            mean(&with, |o| 100.0 * o.refused_late as f64 / (CAPACITY_PER_S * load * seconds)),
        );
    }
}

fn main() {
    let argument = |number: usize, default: f64| {
        std::env::args().nth(number).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (seeds, seconds) = (argument(1, 5.0) as u64, argument(2, 120.0));
    print_fairness(seeds, seconds);
    print_overload(seeds, seconds);
    storm::print(seeds);
}
