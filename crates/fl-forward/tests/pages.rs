//! `docs/OPERATIONS.md` lists exactly the events and metrics that exist, and only existing reasons.

use fl_forward::log::event::KINDS;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn operations_page() -> String {
    std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap_or_default()
}

/// Returns the words in backticks in the first column of the table below a heading.
fn listed(operations_page: &str, heading: &str) -> Vec<String> {
    let section = operations_page.split(heading).nth(1).unwrap_or_default();
    let section = section.split("\n## ").next().unwrap_or_default();
    let cells = section.lines().filter_map(|line| line.strip_prefix("| `")?.split(" | ").next());
    let words = cells.flat_map(|cell| cell.split("`, `"));
    words.map(|word| word.trim_matches('`').to_string()).collect()
}

fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        text += &match path.is_dir() {
            true => sources(&path),
            false => std::fs::read_to_string(&path).unwrap_or_default(),
        };
    }
    text
}

#[test]
fn events_listed() {
    let mut listed = listed(&operations_page(), "\n## Events");
    let mut known: Vec<String> = KINDS.iter().map(ToString::to_string).collect();
    listed.sort();
    known.sort();
    assert_eq!(listed, known);
}

#[test]
fn metrics_listed() {
    let packages = ["crates/fl-forward/src", "crates/fl-clients/src"];
    let source = packages.map(|package| sources(&root().join(package))).concat();
    let listed = listed(&operations_page(), "\n## Metrics");
    for metric in &listed {
        assert!(source.contains(&format!("\"{metric}\"")), "{metric} does not exist");
    }
    let named = source.split('"').filter(|word| word.starts_with("fl_") && !word.contains(' '));
    for metric in named {
        assert!(listed.iter().any(|known| known == metric), "{metric} is not on the page");
    }
}

#[test]
fn reasons_exist() {
    let source = sources(&root().join("crates/fl-forward/src"));
    for reason in listed(&operations_page(), "| `reason` | what to look at |") {
        assert!(source.contains(&format!("\"{reason}\"")), "{reason} is not given");
    }
}
