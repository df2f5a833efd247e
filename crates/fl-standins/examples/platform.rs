//! Runs the stand-ins of the platform in one process: the table service on the given port; the
//! object store, the cloud with the VM list and the weight store on the next three ports.
//!
//! ```text
//! cargo run -p fl-standins --example platform -- --address 127.0.0.1:7200
//! ```

use fl_standins::{
    Cloud, CloudOptions, ObjectStore, TableService, TableServiceOptions, WeightStore,
    WeightStoreOptions,
};
use gumdrop::Options;
use std::error::Error;
use std::net::SocketAddr;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, no_short, help = "address of the table service, ip:port")]
    address: Option<SocketAddr>,
    #[options(no_short, help = "limit of transactions per second; 0: no limit")]
    writes_per_s: Option<u64>,
    #[options(no_short, help = "limit of reads per second; 0: no limit")]
    reads_per_s: Option<u64>,
    #[options(no_short, help = "delay until the VM list shows a change, ms")]
    list_lag_ms: Option<u64>,
    #[options(no_short, help = "time from the order of a VM until it appears, ms")]
    start_ms: Option<u64>,
    #[options(no_short, help = "bandwidth of the weight store, bytes per second; 0: no limit")]
    weights_bytes_per_s: Option<u64>,
}

fn address_at_offset(first: SocketAddr, offset: u16) -> SocketAddr {
    SocketAddr::new(first.ip(), first.port() + offset)
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse_args_default_or_exit();
    let address = args
        .address
        .ok_or("--address is missing: pass the address of the table service, ip:port")?;
    let defaults = TableServiceOptions::default();
    let table_options = TableServiceOptions {
        writes_per_s: args.writes_per_s.unwrap_or(defaults.writes_per_s),
        reads_per_s: args.reads_per_s.unwrap_or(defaults.reads_per_s),
    };
    let cloud_options = CloudOptions {
        list_lag_ms: args.list_lag_ms.unwrap_or_default(),
        start_ms: args.start_ms.unwrap_or_default(),
    };
    let defaults = WeightStoreOptions::default();
    let rate_bytes_per_s = args.weights_bytes_per_s.unwrap_or(defaults.rate_bytes_per_s);
    let table = TableService::start(address, table_options).await?;
    let objects = ObjectStore::start(address_at_offset(address, 1)).await?;
    let cloud = Cloud::start(address_at_offset(address, 2), cloud_options).await?;
    let weights_options = WeightStoreOptions { rate_bytes_per_s, ..defaults };
    let weights = WeightStore::start(address_at_offset(address, 3), weights_options).await?;
    println!("table service listening on {}", table.address());
    println!("object store listening on {}", objects.address());
    println!("cloud and VM list listening on {}", cloud.address());
    println!("weight store listening on {}", weights.address());
    table.wait_stopped().await;
    Ok(())
}
