//! Runs a stand-in plain service as a process.
//!
//! ```text
//! cargo run -p fl-standins --example service -- --address 127.0.0.1:7101 --vm application-1
//! ```

use fl_standins::{PlainService, PlainServiceOptions};
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
    #[options(no_short, help = "concurrent calls that the load report states as the capacity")]
    slots: Option<u32>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse_args_default_or_exit();
    let address =
        args.address.ok_or("--address is missing: pass the address to listen on, ip:port")?;
    let defaults = PlainServiceOptions::default();
    let options = PlainServiceOptions {
        vm: args.vm.unwrap_or(defaults.vm),
        slots: args.slots.unwrap_or(defaults.slots),
    };
    let service = PlainService::start(address, options).await?;
    println!("service listening on {}", service.address());
    service.wait_stopped().await;
    Ok(())
}
