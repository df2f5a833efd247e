//! The documentation matches the code: links resolve, references are complete, examples are valid.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_config::{DocumentedKey, Settings, configuration_reference, parse_configuration};
use fl_protocol::Problem;
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

fn read_file(path: &str) -> String {
    fs::read_to_string(repository_root().join(path)).unwrap()
}

/// Returns all files with an extension, except in `target` and in hidden folders.
fn find_files(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let (path, name) = (entry.path(), entry.file_name());
        let name = name.to_string_lossy();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            found.extend(find_files(&path, extension));
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
    found
}

/// Returns the targets of Markdown links such as `[text](target)`.
fn link_targets(text: &str) -> Vec<String> {
    let after = text.split("](").skip(1);
    after.filter_map(|rest| rest.split(')').next()).map(String::from).collect()
}

fn heading_anchors(text: &str) -> Vec<String> {
    let headings = text.lines().filter(|line| line.starts_with('#'));
    let kept = |c: &char| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_');
    let anchor = |line: &str| {
        let title = line.trim_start_matches('#').trim().to_lowercase();
        title.chars().filter(kept).collect::<String>().replace(' ', "-")
    };
    headings.map(anchor).collect()
}

fn link_resolves(page: &Path, target: &str) -> bool {
    let (path, anchor) = target.split_once('#').unwrap_or((target, ""));
    let file = if path.is_empty() { page.to_path_buf() } else { page.parent().unwrap().join(path) };
    let has_anchor = || {
        anchor.is_empty()
            || heading_anchors(&fs::read_to_string(&file).unwrap()).contains(&anchor.to_string())
    };
    file.exists() && has_anchor()
}

#[test]
fn links_resolve() {
    let mut broken = Vec::new();
    for page in find_files(&repository_root(), "md") {
        for target in link_targets(&fs::read_to_string(&page).unwrap()) {
            if !target.starts_with("http") && !link_resolves(&page, &target) {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Pages that comments name, such as `docs/API.md`, exist at that path from the root.
#[test]
fn pages_in_comments_exist() {
    let mut broken = Vec::new();
    for source in find_files(&repository_root().join("crates"), "rs") {
        let text = fs::read_to_string(&source).unwrap();
        let comments = text.lines().filter(|line| line.trim_start().starts_with("//"));
        for word in comments.flat_map(|line| line.split(['`', ' ', '(', ')', ';', ','])) {
            let page = word.trim_end_matches('.');
            if page.starts_with("docs/") && !repository_root().join(page).exists() {
                broken.push(format!("{}: {page}", source.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Returns the cells of all table rows that begin with code, without backticks.
fn table_rows(text: &str) -> Vec<Vec<String>> {
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    let cells = |line: &str| {
        let inner = line.trim().trim_matches('|');
        inner.split(" | ").map(|cell| cell.trim().replace('`', "")).collect()
    };
    rows.map(cells).collect()
}

#[rstest]
#[case::settings("docs/OPERATING.md", Settings::reference())]
#[case::configuration("docs/CONFIGURATION.md", configuration_reference())]
fn reference_tables(#[case] page: &str, #[case] known: Vec<DocumentedKey>) {
    let rows = table_rows(&read_file(page));
    let described: Vec<&Vec<String>> = rows.iter().filter(|row| row[0].starts_with('[')).collect();
    for (key, row) in known.iter().zip(&described) {
        let default = key.default.clone().unwrap_or_else(|| "required".to_string());
        let default = if default.is_empty() { "empty".to_string() } else { default };
        let expected = [format!("[{}] {}", key.section, key.key), key.allowed.clone(), default];
        assert_eq!(row[..3], expected, "correct the row in {page}");
        assert!(row.len() == 4 && !row[3].is_empty(), "say what {expected:?} means in {page}");
    }
    assert_eq!(described.len(), known.len(), "{page} lists too many or too few keys");
}

/// Returns the string literals of a source file between two texts.
fn quoted_words(source: &str, from: &str, to: &str) -> Vec<String> {
    let text = read_file(source);
    let start = text.find(from).unwrap();
    let end = start + text[start..].find(to).unwrap();
    text[start..end].split('"').skip(1).step_by(2).map(String::from).collect()
}

#[test]
fn problem_list_complete() {
    let kinds = quoted_words("crates/fl-protocol/src/problem.rs", "pub fn kind", "pub fn status");
    let mut listed: Vec<&str> = all_problems().iter().map(Problem::kind).collect();
    listed.sort_unstable();
    let mut kinds: Vec<&str> = kinds.iter().map(String::as_str).collect();
    kinds.sort_unstable();
    assert_eq!(listed, kinds, "add the kind to all_problems");
}

/// Returns one problem of each kind.
fn all_problems() -> Vec<Problem> {
    let retry_after = Duration::from_secs(1);
    let text = String::new;
    vec![
        Problem::Malformed(text()),
        Problem::NoMemory { retry_after },
        Problem::UnknownWorkspace(text()),
        Problem::WrongKey,
        Problem::NotAllowed { kind: text(), name: text() },
        Problem::BodyTooLarge { limit_bytes: 1 },
        Problem::KeyReused,
        Problem::KeyRequired(text()),
        Problem::UnknownRequest(text()),
        Problem::OverLimit { workspace: text(), retry_after },
        Problem::Overloaded { retry_after },
        Problem::NoBackend { retry_after },
        Problem::PlatformUnavailable { retry_after },
        Problem::EarlierTryUnknown { retry_after },
        Problem::OutcomeUnknown,
        Problem::StillRunning { retry_after },
        Problem::Quarantined,
        Problem::GivenUp { retry_after },
        Problem::NotReady { reason: text(), retry_after },
        Problem::Cancelled,
        Problem::Internal(text()),
    ]
}

#[test]
fn problem_tables_complete() {
    let (api, operating) = (read_file("docs/API.md"), read_file("docs/OPERATING.md"));
    for problem in all_problems() {
        let (kind, status) = (problem.kind(), problem.status());
        let done = serde_json::to_string(&problem.execution_state()).unwrap().replace('"', "`");
        let row = format!("| `{kind}` | {status} | {done} |");
        assert!(api.contains(&row), "docs/API.md lacks {row}");
        let row = format!("| `{kind}` | {status} |");
        assert!(operating.contains(&row), "docs/OPERATING.md lacks {row}");
    }
}

#[test]
fn metrics_documented() {
    // Metrics of forwarded calls are listed in OPERATIONS.md.
    let page = read_file("docs/OPERATING.md") + &read_file("docs/OPERATIONS.md");
    let sources = find_files(&repository_root().join("crates"), "rs").into_iter();
    let sources_of_packages =
        sources.filter(|path| path.components().any(|part| part.as_os_str() == "src"));
    let text: String = sources_of_packages.map(|path| fs::read_to_string(path).unwrap()).collect();
    let names = ["counter!(", "gauge!(", "histogram!("]
        .into_iter()
        .flat_map(|call| text.split(call).skip(1))
        .filter_map(|rest| rest.trim_start().strip_prefix('"')?.split('"').next());
    let missing: Vec<&str> = names.filter(|name| !page.contains(&format!("`{name}`"))).collect();
    assert!(missing.is_empty(), "the pages lack the metrics {missing:?}");
}

#[test]
fn event_kinds_documented() {
    let text = read_file("crates/fl-protocol/src/event.rs");
    let variants = text.split("pub enum EventKind {").nth(1).unwrap();
    let names = variants.lines().map(str::trim).filter(|line| line.ends_with(','));
    let rows = table_rows(&read_file("docs/OPERATING.md"));
    let missing: Vec<String> = names
        .map(|name| kebab_case(name.trim_end_matches(',')))
        .filter(|name| !rows.iter().any(|row| row[0].split(", ").any(|cell| cell == name)))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

fn kebab_case(name: &str) -> String {
    let mut text = String::new();
    for character in name.chars() {
        if character.is_uppercase() && !text.is_empty() {
            text.push('-');
        }
        text.extend(character.to_lowercase());
    }
    text
}

#[rstest]
#[case::piton_frost("docs/examples/piton_frost.ini")]
#[case::zagadka("docs/examples/zagadka.ini")]
fn example_configurations(#[case] path: &str) {
    let configuration = parse_configuration(&read_file(path));
    assert_eq!(configuration.map(|found| found.workspaces.len()), Ok(5));
}

#[test]
fn example_settings() {
    let settings = Settings::parse(&read_file("docs/examples/node.ini"));
    assert_eq!(settings.map(|found| found.node.vm), Ok("entry-a1".to_string()));
}
