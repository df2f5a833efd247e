//! Runs one stand-in engine as a process.
//!
//! ```text
//! cargo run -p fl-standins --example engine -- --address 127.0.0.1:7001 --vm runner-1
//! ```

use fl_standins::{Engine, EngineOptions, FencingMode};
use gumdrop::Options;
use std::error::Error;
use std::net::SocketAddr;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, no_short, help = "address to listen on, ip:port")]
    address: Option<SocketAddr>,
    #[options(no_short, help = "name of the VM")]
    vm: Option<String>,
    #[options(no_short, help = "streams in the batch at most")]
    slots: Option<u32>,
    #[options(no_short, help = "prompt tokens computed a second; 0 takes no time")]
    prefill_tokens_per_s: Option<u64>,
    #[options(no_short, help = "time between two tokens; 0 takes no time")]
    between_tokens_ms: Option<u64>,
    #[options(no_short, help = "what each further stream adds to a step")]
    step_growth_percent: Option<u64>,
    #[options(no_short, help = "blocks in the prefix cache at most")]
    cache_blocks: Option<usize>,
    #[options(no_short, help = "check or ignore fencing numbers")]
    fencing: Option<FencingMode>,
    #[options(no_short, help = "models loaded at the start, separated by commas; none: any")]
    models: Option<String>,
    #[options(no_short, help = "time to obey an order")]
    order_ms: Option<u64>,
    #[options(no_short, help = "age of the load reports")]
    load_lag_ms: Option<u64>,
    #[options(no_short, help = "delay of the cache events")]
    cache_event_lag_ms: Option<u64>,
    #[options(no_short, help = "share of the cache events that are lost")]
    cache_event_loss_percent: Option<u32>,
    #[options(no_short, help = "cached blocks exported or imported a second; 0 takes no time")]
    kv_blocks_per_s: Option<u64>,
    #[options(no_short, help = "how long an ended stream can be read again")]
    keep_ms: Option<u64>,
    #[options(no_short, help = "seed of the random choices")]
    seed: Option<u64>,
}

fn engine_options(args: Args) -> EngineOptions {
    let defaults = EngineOptions::default();
    let models = args.models.unwrap_or_default();
    let models = models.split(',').filter(|model| !model.is_empty());
    let mut models: Vec<String> = models.map(str::to_string).collect();
    models.sort();
    EngineOptions {
        vm: args.vm.unwrap_or(defaults.vm),
        slots: args.slots.unwrap_or(defaults.slots),
        prefill_tokens_per_s: args.prefill_tokens_per_s.unwrap_or(defaults.prefill_tokens_per_s),
        between_tokens_ms: args.between_tokens_ms.unwrap_or(defaults.between_tokens_ms),
        step_growth_percent: args.step_growth_percent.unwrap_or(defaults.step_growth_percent),
        cache_blocks: args.cache_blocks.unwrap_or(defaults.cache_blocks),
        fencing: args.fencing.unwrap_or(defaults.fencing),
        models,
        order_delay_ms: args.order_ms.unwrap_or(defaults.order_delay_ms),
        load_lag_ms: args.load_lag_ms.unwrap_or(defaults.load_lag_ms),
        cache_event_lag_ms: args.cache_event_lag_ms.unwrap_or(defaults.cache_event_lag_ms),
        cache_event_loss_percent: args
            .cache_event_loss_percent
            .unwrap_or(defaults.cache_event_loss_percent),
        kv_blocks_per_s: args.kv_blocks_per_s.unwrap_or(defaults.kv_blocks_per_s),
        retention_ms: args.keep_ms.unwrap_or(defaults.retention_ms),
        seed: args.seed.unwrap_or(defaults.seed),
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse_args_default_or_exit();
    let address = args.address.ok_or("--address: expected ip:port")?;
    let engine = Engine::start(address, engine_options(args)).await?;
    println!("engine listening on {}", engine.address());
    engine.wait_stopped().await;
    Ok(())
}
