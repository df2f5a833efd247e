//! Compares the routing policies, and the effect of each of their options, in a simulation in
//! virtual time. Prints a table of the results.
//!
//! `cargo run --release -p fl-routing --example compare_policies -- [seeds] [seconds] [load]`

mod engine;
mod run;
mod workload;

use fl_routing::policy::{
    HomeBlockRule, LeastLoaded, Policy, PrefixAffinity, PrefixAffinityOptions, RoundRobin,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use run::{Conditions, Outcome, Run};
use workload::{Mix, PITON_FROST, ZAGADKA, generate_arrivals};

/// Conditions of the cases that set no others.
const BASE: Conditions = Conditions {
    lag_us: 1_000_000,
    lost_share: 0.0,
    correct_lag: true,
    expect_own: true,
    events: true,
    seed: 0,
};

type PolicyFactory = fn() -> Box<dyn Policy>;

struct Case {
    name: &'static str,
    conditions: Conditions,
    policy: PolicyFactory,
}

fn prefix(change: fn(&mut PrefixAffinityOptions)) -> Box<dyn Policy> {
    let mut options = PrefixAffinityOptions::default();
    change(&mut options);
    Box::new(PrefixAffinity::new(options))
}

fn cases() -> Vec<Case> {
    let round_robin: PolicyFactory = || Box::new(RoundRobin::default());
    let least_loaded: PolicyFactory = || Box::new(LeastLoaded);
    let default_prefix: PolicyFactory = || prefix(|_| {});
    let case = |name, conditions, policy| Case { name, conditions, policy };
    let lag = |lag_us| Conditions { lag_us, ..BASE };
    let lost_events = Conditions { lost_share: 0.3, ..BASE };
    vec![
        case("round-robin", BASE, round_robin),
        case("least-loaded", BASE, least_loaded),
        case("prefix", BASE, default_prefix),
        case("home by block 1", BASE, || prefix(|s| s.home_rule = HomeBlockRule::Block(1))),
        case("home by block 8", BASE, || prefix(|s| s.home_rule = HomeBlockRule::Block(8))),
        case("home by block 16", BASE, || prefix(|s| s.home_rule = HomeBlockRule::Block(16))),
        case("home by block 64", BASE, || prefix(|s| s.home_rule = HomeBlockRule::Block(64))),
        case("no bounded load", BASE, || prefix(|s| s.bound_load = false)),
        case("with random candidates", BASE, || prefix(|s| s.random_candidates = true)),
        case("no cache holder", BASE, || prefix(|s| s.cache_holder = false)),
        case("no wait for cached prefix", BASE, || prefix(|s| s.wait_for_cache_hit = false)),
        case("with preference for cheap", BASE, || prefix(|s| s.prefer_cheap = true)),
        case("no preference for local", BASE, || prefix(|s| s.prefer_local = false)),
        case("no preference for free slots", BASE, || prefix(|s| s.prefer_free_slots = false)),
        case("no lag correction", Conditions { correct_lag: false, ..BASE }, default_prefix),
        case("no own blocks", Conditions { expect_own: false, ..BASE }, default_prefix),
        case("no cache events", Conditions { events: false, ..BASE }, default_prefix),
        case("least-loaded, lag 0.1 s", lag(100_000), least_loaded),
        case("prefix, lag 0.1 s", lag(100_000), default_prefix),
        case("least-loaded, lag 5 s", lag(5_000_000), least_loaded),
        case("prefix, lag 5 s", lag(5_000_000), default_prefix),
        case("prefix, 30% of events lost", lost_events, default_prefix),
    ]
}

fn main() {
    let argument = |number: usize, default: f64| {
        std::env::args().nth(number).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (seeds, seconds, load) = (argument(1, 3.0), argument(2, 120.0), argument(3, 1.0));
    for mix in [ZAGADKA, PITON_FROST] {
        println!("\n### {}, {seeds} seeds, {seconds} s, {load} of the usual rate\n", mix.name);
        println!(
            "| policy | recomputed, % of prompt tokens | counter p50, ms | counter p95, ms \
             | counter p99, ms | deferrable p95, ms | cost of prefill |"
        );
        println!("|---|---|---|---|---|---|---|");
        for case in cases() {
            print_row(&case, mix, seeds as u64, seconds as u64, load);
        }
    }
}

fn print_row(case: &Case, mix: Mix, seeds: u64, seconds: u64, load: f64) {
    let run = |seed: u64| {
        let calls = generate_arrivals(mix, seconds, load, &mut ChaCha8Rng::seed_from_u64(seed));
        Run::new(Conditions { seed, ..case.conditions }, &calls, case.policy).run_to_end()
    };
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let threads: Vec<_> = (1..=seeds).map(|seed| scope.spawn(move || run(seed))).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    let mean = |value: fn(&Outcome) -> f64| {
        let values: Vec<f64> = outcomes.iter().map(value).collect();
        let sum: f64 = values.iter().sum();
        let min = values.iter().copied().fold(f64::INFINITY, f64::min);
        let max = values.iter().copied().fold(0.0, f64::max);
        format!("{:.1} ({min:.1} to {max:.1})", sum / values.len() as f64)
    };
    println!(
        "| {} | {} | {} | {} | {} | {} | {} |",
        case.name,
        mean(|o| 100.0 * o.recomputed_tokens as f64 / o.prompt_tokens as f64),
        mean(|o| percentile(&o.counter_ms, 0.50)),
        mean(|o| percentile(&o.counter_ms, 0.95)),
        mean(|o| percentile(&o.counter_ms, 0.99)),
        mean(|o| percentile(&o.deferrable_ms, 0.95)),
        mean(|o| o.cost / o.generated_tokens as f64 / 1_000.0),
    );
}

fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
