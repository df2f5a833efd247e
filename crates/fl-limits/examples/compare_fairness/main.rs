//! Compares admission with and without fairness, refusals and retry budgets in simulations in
//! virtual time. Prints tables of the results.
//!
//! `cargo run --release -p fl-limits --example compare_fairness -- [seeds] [seconds]`

mod admission;
mod retry_storm;

use admission::{AdmissionOptions, Arrival, Outcome, simulate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Capacity of the pool in calls per second: its concurrency limit over the mean running time of a
/// call.
const CAPACITY_PER_S: f64 = 64.0 / 0.8;
/// Number of workspaces.
const WORKSPACES: usize = 5;
/// Load of each small workspace, relative to an equal share of the capacity.
const SMALL_LOAD: f64 = 0.6;
/// Load of the largest workspace, relative to an equal share of the capacity.
const LARGE_LOAD: f64 = 10.0;

fn generate_arrivals(loads: &[f64], seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (workspace, load) in loads.iter().enumerate() {
        let rate_per_ms = CAPACITY_PER_S * load / 1_000.0;
        let mut at_ms = 0.0;
        while at_ms < seconds * 1_000.0 {
            at_ms += -(1.0 - random.random::<f64>()).ln() / rate_per_ms;
            let running_ms = random.random_range(400.0..1_200.0);
            arrivals.push(Arrival { at_ms, workspace, running_ms });
        }
    }
    arrivals.sort_by(|left, right| left.at_ms.total_cmp(&right.at_ms));
    arrivals
}

fn run_with_seeds(seeds: u64, run: impl Fn(u64) -> Outcome) -> Vec<Outcome> {
    (1..=seeds).map(run).collect()
}

fn format_mean(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64) -> String {
    let values: Vec<f64> = outcomes.iter().map(value).collect();
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    format!("{mean:.1} ({min:.1} to {max:.1})")
}

fn print_fairness(seeds: u64, seconds: f64) {
    println!("\n### The largest workspace offers ten times its share\n");
    println!(
        "| admission | p95 to the first token, small, ms | refused, small, % | p95, large, ms | refused, large, % | capacity used, % |"
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
        let outcomes = run_with_seeds(seeds, |seed| {
            simulate(options, &generate_arrivals(&loads, seconds, seed))
        });
        println!(
            "| {name} | {} | {} | {} | {} | {} |",
            format_mean(&outcomes, |o| o.p95_ms(1..WORKSPACES)),
            format_mean(&outcomes, |o| o.refused_percent(1..WORKSPACES)),
            format_mean(&outcomes, |o| o.p95_ms(0..1)),
            format_mean(&outcomes, |o| o.refused_percent(0..1)),
            format_mean(&outcomes, |o| o.used_percent),
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
            run_with_seeds(seeds, |seed| {
                simulate(
                    AdmissionOptions { fair: true, refuses },
                    &generate_arrivals(&loads, seconds, seed),
                )
            })
        };
        let (without, with) = (outcomes(false), outcomes(true));
        println!(
            "| {load} | {} | {} | {} | {} |",
            format_mean(&without, |o| o.in_time as f64 / seconds),
            format_mean(&with, |o| o.in_time as f64 / seconds),
            format_mean(&with, |o| o.refused_percent(0..WORKSPACES)),
            format_mean(&with, |o| 100.0 * o.refused_late as f64
                / (CAPACITY_PER_S * load * seconds)),
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
    retry_storm::print_attempts(seeds);
}
