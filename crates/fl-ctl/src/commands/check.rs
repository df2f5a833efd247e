//! `filbertctl check`: validates settings and configuration files.

use crate::error::CommandError;
use fl_config::{ConfigErrors, Settings, is_configuration, parse_configuration};
use gumdrop::Options;

/// Checks settings and configuration files without starting a node.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings or configuration files")]
    files: Vec<String>,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl check node.ini
  filbertctl check docs/examples/zagadka.ini docs/examples/node.ini
";

/// Checks every file and reports all errors of all files; the last invalid file becomes the
/// command's error.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let mut invalid = Vec::new();
    for path in &arguments.files {
        match check_file(path)? {
            Ok(summary) => println!("{path}: {summary}"),
            Err(errors) => invalid.push(CommandError::InvalidFile { path: path.clone(), errors }),
        }
    }
    let last = invalid.pop();
    for error in invalid {
        eprintln!("{error}");
    }
    last.map_or(Ok(()), Err)
}

fn check_file(path: &str) -> Result<Result<String, ConfigErrors>, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::Io { path: path.to_string(), message: error.to_string() })?;
    if is_configuration(&text) { Ok(check_configuration(&text)) } else { Ok(check_settings(&text)) }
}

fn check_configuration(text: &str) -> Result<String, ConfigErrors> {
    let configuration = parse_configuration(text)?;
    Ok(format!(
        "valid configuration of {}, built on version {}: {} workspaces, {} models, {} services",
        configuration.operator,
        configuration.parent_version,
        configuration.workspaces.len(),
        configuration.models.len(),
        configuration.services.len(),
    ))
}

fn check_settings(text: &str) -> Result<String, ConfigErrors> {
    let settings = Settings::parse(text)?;
    Ok(format!(
        "valid settings of VM {} in data centre {}",
        settings.node.vm, settings.node.data_center
    ))
}
