//! Results are read, summarised over their seeds, and written as tables and plots.

#![allow(clippy::unwrap_used, reason = "a step that fails shall fail the test")]

use fl_load::experiment::{SeedStatistics, read_results, summarise_by_policy, write_report};
use fl_load::{GroupResult, LoadError, LoadResult, Percentiles};
use std::path::PathBuf;

fn result(label: &str, seed: u64, recomputed_tokens: u64, refused: u64) -> LoadResult {
    let group = |workspace: &str| GroupResult {
        workspace: workspace.to_string(),
        class: "counter".to_string(),
        sent: 10,
        refused,
        first_token: Percentiles { p95_ms: seed as f64, ..Percentiles::default() },
        ..GroupResult::default()
    };
    LoadResult {
        label: label.to_string(),
        scenario: "steady".to_string(),
        user: "zagadka".to_string(),
        seed,
        recomputed_tokens,
        groups: vec![group("*"), group("sofia")],
        ..LoadResult::default()
    }
}

fn create_temp_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fl-load-{:x}", rand::random::<u64>()));
    std::fs::create_dir(&folder).unwrap();
    folder
}

#[test]
fn seeds_summarised() {
    let results =
        [result("least-loaded", 1, 100, 0), result("prefix", 1, 10, 1), result("prefix", 3, 30, 2)];
    let summaries = summarise_by_policy(&results);
    let shape: Vec<(&str, usize)> =
        summaries.iter().map(|summary| (summary.label.as_str(), summary.seeds)).collect();
    assert_eq!(shape, [("least-loaded", 1), ("prefix", 2)]);
    let prefix = &summaries[1];
    assert_eq!(prefix.recomputed_tokens, SeedStatistics { mean: 20.0, min: 10.0, max: 30.0 });
    let counter = &prefix.classes[0];
    assert_eq!(counter.first_token_p95_ms, SeedStatistics { mean: 2.0, min: 1.0, max: 3.0 });
    assert_eq!(counter.refused_percent, SeedStatistics { mean: 15.0, min: 10.0, max: 20.0 });
}

#[test]
fn report_written() {
    let (results, report) = (create_temp_folder(), create_temp_folder());
    for (name, result) in
        [("a", result("least-loaded", 1, 100, 0)), ("b", result("prefix", 1, 25, 0))]
    {
        let text = serde_json::to_string(&result).unwrap();
        std::fs::write(results.join(format!("{name}.json")), text).unwrap();
    }
    write_report(&read_results(&results).unwrap(), &report).unwrap();
    let tables = std::fs::read_to_string(report.join("tables.md")).unwrap();
    assert!(tables.contains("| steady | prefix | 25 (25 to 25) | 25% |"), "{tables}");
    for plot in ["recomputed", "counter-p95", "deferrable-p95", "cost"] {
        let svg = std::fs::read_to_string(report.join(format!("zagadka-{plot}.svg"))).unwrap();
        assert!(svg.contains("least-loaded"), "{plot}");
    }
    std::fs::remove_dir_all(results).unwrap();
    std::fs::remove_dir_all(report).unwrap();
}

#[test]
fn invalid_folders_rejected() {
    let folder = create_temp_folder();
    assert!(matches!(read_results(&folder), Err(LoadError::NoResults(_))));
    std::fs::write(folder.join("a.json"), "{}x").unwrap();
    assert!(matches!(read_results(&folder), Err(LoadError::InvalidResult { .. })));
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(matches!(read_results(&folder), Err(LoadError::File { .. })));
}
