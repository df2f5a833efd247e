//! The serving node: one process on each entry VM.

use fl_node::options::NodeOptions;
use gumdrop::Options as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = NodeOptions::parse_args_default_or_exit();
    if options.version {
        println!("filbertlead {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match fl_node::start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
