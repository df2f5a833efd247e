//! `filbertctl load`: sends a user's mix of calls and reports how they were served.

use crate::error::CommandError;
use fl_config::print_configuration;
use fl_load::{LoadPlan, LoadResult, User, build_configuration};
use gumdrop::Options;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Calls per second without `--rate`.
const DEFAULT_RATE_PER_S: f64 = 20.0;
/// How long calls are sent without `--seconds`.
const DEFAULT_DURATION_S: u64 = 10;
/// Longest run, so that a mistyped `--seconds` does not load a system for hours.
const MAX_DURATION_S: u64 = 3_600;
/// Highest rate that one process sends.
const MAX_RATE_PER_S: f64 = 5_000.0;
/// Timeout of a whole call without `--answer-timeout`.
const DEFAULT_ANSWER_TIMEOUT_S: u64 = 60;
/// Price of one engine per hour without `--price`.
const DEFAULT_PRICE_MILLICENTS_PER_H: u64 = 250_000;

/// Sends a mix of calls and reports how they were served.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of a node for callers; may be repeated", meta = "ADDRESS")]
    node: Vec<SocketAddr>,
    #[options(
        no_short,
        help = "address of a stand-in engine, to read its counters; may be repeated",
        meta = "ADDRESS"
    )]
    engine: Vec<SocketAddr>,
    #[options(
        no_short,
        help = "address of a stand-in plain service, to read its runs; may be repeated",
        meta = "ADDRESS"
    )]
    service: Vec<SocketAddr>,
    #[options(help = "mix of calls: piton-frost (default) or zagadka", meta = "NAME")]
    user: Option<String>,
    #[options(help = "calls per second", meta = "N")]
    rate: Option<f64>,
    #[options(help = "how long calls are sent", meta = "SECONDS")]
    seconds: Option<u64>,
    #[options(no_short, help = "timeout of a whole call", meta = "SECONDS")]
    answer_timeout: Option<u64>,
    #[options(no_short, help = "seed of the schedule", meta = "N")]
    seed: Option<u64>,
    #[options(no_short, help = "price of one engine in millicents per hour", meta = "N")]
    price: Option<u64>,
    #[options(no_short, help = "name of the compared variant, for experiments", meta = "NAME")]
    label: Option<String>,
    #[options(no_short, help = "name of the test conditions, for experiments", meta = "NAME")]
    scenario: Option<String>,
    #[options(help = "write the result as JSON", meta = "FILE")]
    out: Option<String>,
    #[options(no_short, help = "print the configuration that the mix needs, and send nothing")]
    print_configuration: bool,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl load --user zagadka --print-configuration > zagadka.ini
  filbertctl load --node 127.0.1.1:8080 --user zagadka --rate 40 --seconds 20 --out result.json
";

/// Runs the load; fails if the system broke one of its guarantees.
pub async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let plan = build_plan(arguments)?;
    if arguments.print_configuration {
        print!("{}", print_configuration(&build_configuration(plan.user)));
        return Ok(());
    }
    let cancel = CancellationToken::new();
    let result = fl_load::run_load(plan, &cancel).await.map_err(usage_error)?;
    print!("{}", result.render_table());
    if let Some(path) = &arguments.out {
        write_result(path, &result)?;
    }
    if result.guarantees_held() {
        return Ok(());
    }
    let message =
        "the system broke a guarantee: see failed, wrong, run twice, contradicted and not counted";
    Err(CommandError::Failed(message.to_string()))
}

fn build_plan(arguments: &Arguments) -> Result<LoadPlan, CommandError> {
    let user = arguments.user.as_deref().unwrap_or("piton-frost");
    let rate_per_s = arguments.rate.unwrap_or(DEFAULT_RATE_PER_S);
    if !(rate_per_s > 0.0 && rate_per_s <= MAX_RATE_PER_S) {
        let message = format!("--rate: expected above 0 and up to {MAX_RATE_PER_S}");
        return Err(CommandError::Usage(message));
    }
    let duration_s = arguments.seconds.unwrap_or(DEFAULT_DURATION_S);
    if !(1..=MAX_DURATION_S).contains(&duration_s) {
        let message = format!("--seconds: expected 1 to {MAX_DURATION_S}");
        return Err(CommandError::Usage(message));
    }
    let answer_timeout_s = arguments.answer_timeout.unwrap_or(DEFAULT_ANSWER_TIMEOUT_S);
    Ok(LoadPlan {
        label: arguments.label.clone().unwrap_or_default(),
        scenario: arguments.scenario.clone().unwrap_or_default(),
        user: user.parse::<User>().map_err(usage_error)?,
        seed: arguments.seed.unwrap_or(1),
        rate_per_s,
        duration: Duration::from_secs(duration_s),
        answer_timeout: Duration::from_secs(answer_timeout_s),
        nodes: arguments.node.clone(),
        engines: arguments.engine.clone(),
        services: arguments.service.clone(),
        engine_price_millicents_per_h: arguments.price.unwrap_or(DEFAULT_PRICE_MILLICENTS_PER_H),
    })
}

fn usage_error(error: fl_load::LoadError) -> CommandError {
    CommandError::Usage(error.to_string())
}

fn write_result(path: &str, result: &LoadResult) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(result)
        .map_err(|error| CommandError::Failed(error.to_string()))?;
    std::fs::write(path, text + "\n")
        .map_err(|error| CommandError::Io { path: path.to_string(), message: error.to_string() })
}
