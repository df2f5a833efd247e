//! Compares the results of many runs in tables and plots.

mod summary;
mod tables;

pub use summary::{ClassSummary, PolicySummary, SeedStatistics, summarise_by_policy};
pub use tables::render_tables;

use crate::error::LoadError;
use crate::plot;
use crate::report::LoadResult;
use std::fs;
use std::path::Path;

/// Reads all results (`*.json`) of a folder, sorted by file name.
pub fn read_results(folder: &Path) -> Result<Vec<LoadResult>, LoadError> {
    let entries = fs::read_dir(folder).map_err(|error| new_file_error(folder, &error))?;
    let mut paths: Vec<_> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "json"));
    paths.sort();
    if paths.is_empty() {
        return Err(LoadError::NoResults(folder.display().to_string()));
    }
    paths.iter().map(|path| read_result(path)).collect()
}

fn read_result(path: &Path) -> Result<LoadResult, LoadError> {
    let text = fs::read_to_string(path).map_err(|error| new_file_error(path, &error))?;
    serde_json::from_str(&text).map_err(|error| LoadError::InvalidResult {
        path: path.display().to_string(),
        message: error.to_string(),
    })
}

/// Writes `tables.md` and the plots of every user into a folder, creating it if necessary.
pub fn write_report(results: &[LoadResult], folder: &Path) -> Result<(), LoadError> {
    fs::create_dir_all(folder).map_err(|error| new_file_error(folder, &error))?;
    let summaries = summarise_by_policy(results);
    let tables_path = folder.join("tables.md");
    fs::write(&tables_path, render_tables(&summaries, results))
        .map_err(|error| new_file_error(&tables_path, &error))?;
    plot::draw_plots(&summaries, folder)
}

fn new_file_error(path: &Path, error: &std::io::Error) -> LoadError {
    LoadError::File { path: path.display().to_string(), message: error.to_string() }
}
