//! `filbertctl experiment`: compares the results of load runs in tables and plots.

use crate::error::CommandError;
use fl_load::LoadError;
use fl_load::experiment::{read_results, write_report};
use gumdrop::Options;
use std::path::Path;

/// Compares the results of load runs and writes tables and plots.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "folder with the results of filbertctl load", meta = "FOLDER")]
    results: String,
    #[options(required, help = "folder for the tables and plots", meta = "FOLDER")]
    out: String,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  scripts/measure-routing.py target/release results --seeds 1 2 3
  filbertctl experiment --results results --out docs/measurements/load
";

/// Reads all results of a folder and writes the report to another.
pub async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let results = read_results(Path::new(&arguments.results)).map_err(command_error)?;
    write_report(&results, Path::new(&arguments.out)).map_err(command_error)?;
    println!("compared {} results in {}", results.len(), arguments.out);
    Ok(())
}

fn command_error(error: LoadError) -> CommandError {
    CommandError::Failed(error.to_string())
}
