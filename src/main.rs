//! Program of a serving node, which runs as one process on each entry VM.

use fl_node::options::NodeOptions;
use gumdrop::Options as _;
use std::process::ExitCode;

mod platform_node;

fn main() -> ExitCode {
    let options = NodeOptions::parse_args_default_or_exit();
    if options.version {
        println!("filbertlead {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let outcome = match options.platform {
        true => platform_node::run(),
        false => fl_node::start(&options).map_err(|error| error.to_string()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
