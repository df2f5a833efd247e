//! `filbertctl experiment`: puts the results of load runs side by side.

use crate::error::CommandError;
use fl_load::LoadError;
use fl_load::experiment::{read_results, write_report};
use gumdrop::Options;
use std::path::Path;

/// Which results to compare, and where to write.
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

/// Reads the results and writes the report.
pub async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let results = read_results(Path::new(&arguments.results)).map_err(failed)?;
    write_report(&results, Path::new(&arguments.out)).map_err(failed)?;
    println!("{} results compared in {}", results.len(), arguments.out);
    Ok(())
}

fn failed(error: LoadError) -> CommandError {
    CommandError::Failed(error.to_string())
}
