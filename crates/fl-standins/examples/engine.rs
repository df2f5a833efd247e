//! Runs a stand-in engine as a process.
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
    #[options(no_short, help = "limit of streams in the batch")]
    slots: Option<u32>,
    #[options(no_short, help = "prompt tokens computed per second; 0: prefill takes no time")]
    prefill_tokens_per_s: Option<u64>,
    #[options(no_short, help = "duration of a decoding step with one stream, ms; 0: no time")]
    between_tokens_ms: Option<u64>,
    #[options(no_short, help = "extra duration of a step per further stream, percent")]
    step_growth_percent: Option<u64>,
    #[options(no_short, help = "limit of blocks in the prefix cache")]
    cache_blocks: Option<usize>,
    #[options(no_short, help = "fencing tokens of orders: check or ignore")]
    fencing: Option<FencingMode>,
    #[options(
        no_short,
        help = "models loaded at the start, separated by commas; none: serves any"
    )]
    models: Option<String>,
    #[options(no_short, help = "delay before an order is applied, ms")]
    order_ms: Option<u64>,
    #[options(no_short, help = "age of the published load reports, ms")]
    load_lag_ms: Option<u64>,
    #[options(no_short, help = "delay until a cache event is published, ms")]
    cache_event_lag_ms: Option<u64>,
    #[options(no_short, help = "share of cache events that are never published, percent")]
    cache_event_loss_percent: Option<u32>,
    #[options(no_short, help = "cached blocks exported or imported per second; 0: no time")]
    kv_blocks_per_s: Option<u64>,
    #[options(no_short, help = "how long a stream that ended can be resumed, ms")]
    keep_ms: Option<u64>,
    #[options(no_short, help = "seed of random delays and event losses")]
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
    let address =
        args.address.ok_or("--address is missing: pass the address to listen on, ip:port")?;
    let engine = Engine::start(address, engine_options(args)).await?;
    println!("engine listening on {}", engine.address());
    engine.wait_stopped().await;
    Ok(())
}
