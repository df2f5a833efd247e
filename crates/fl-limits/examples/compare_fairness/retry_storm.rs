//! A storm of retries: half of the backend servers fail every call.

use fl_limits::RetryBudget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Backend servers, the first half of which fail.
const SERVERS: usize = 12;
/// Calls.
const CALLS: usize = 20_000;
/// Tries of one call at most.
const TRIES: usize = 5;
/// The budget, in percent.
const BUDGET_PERCENT: u32 = 10;

/// Prints how many tries a call took with and without a budget.
pub fn print(seeds: u64) {
    println!("\n### Half of the backend servers fail: tries for each 100 calls\n");
    println!("| retries | tries |");
    println!("|---|---|");
    for (name, budgeted) in [("without a budget", false), ("budget of 10%", true)] {
        let tries: Vec<f64> = (1..=seeds).map(|seed| run(budgeted, seed)).collect();
        let mean = tries.iter().sum::<f64>() / tries.len() as f64;
        println!("| {name} | {mean:.1} |");
    }
}

fn run(budgeted: bool, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = vec![RetryBudget::new(BUDGET_PERCENT); SERVERS];
    let mut tries = 0;
    for _ in 0..CALLS {
        let mut server = random.random_range(0..SERVERS);
        budgets[server].count_first_attempt();
        tries += 1;
        for _ in 1..TRIES {
            if server >= SERVERS / 2 || (budgeted && !budgets[server].try_retry()) {
                break;
            }
            server = random.random_range(0..SERVERS);
            tries += 1;
        }
    }
    100.0 * tries as f64 / CALLS as f64
}
