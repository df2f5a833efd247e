//! Simulates a retry storm, in which half of the backend servers fail every call.

use fl_limits::RetryBudget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of backend servers, the first half of which fail.
const SERVERS: usize = 12;
/// Number of simulated calls.
const CALLS: usize = 20_000;
/// Maximum number of attempts per call.
const MAX_ATTEMPTS: usize = 5;
/// Retry budget in percent of the first attempts.
const BUDGET_PERCENT: u32 = 10;

/// Prints the number of attempts per 100 calls with and without a retry budget.
pub fn print_attempts(seeds: u64) {
    println!("\n### Half of the backend servers fail: attempts per 100 calls\n");
    println!("| retries | attempts |");
    println!("|---|---|");
    for (name, has_budget) in [("without a budget", false), ("budget of 10%", true)] {
        let attempts: Vec<f64> = (1..=seeds).map(|seed| simulate(has_budget, seed)).collect();
        let mean = attempts.iter().sum::<f64>() / attempts.len() as f64;
        println!("| {name} | {mean:.1} |");
    }
}

fn simulate(has_budget: bool, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = vec![RetryBudget::new(BUDGET_PERCENT); SERVERS];
    let mut attempts = 0;
    for _ in 0..CALLS {
        let mut server = random.random_range(0..SERVERS);
        budgets[server].count_first_attempt();
        attempts += 1;
        for _ in 1..MAX_ATTEMPTS {
            if server >= SERVERS / 2 || (has_budget && !budgets[server].try_retry()) {
                break;
            }
            server = random.random_range(0..SERVERS);
            attempts += 1;
        }
    }
    100.0 * attempts as f64 / CALLS as f64
}
