//! `filbertctl check`: checks files of settings and configurations.

use crate::error::CommandError;
use fl_config::{ConfigErrors, Settings, is_configuration, read_configuration};
use gumdrop::Options;

/// What to check.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Asks for the help.
    #[options(help = "print this help")]
    help: bool,
    /// The files.
    #[options(free, required, help = "files of settings or configurations")]
    files: Vec<String>,
}

/// Examples for the help.
pub const EXAMPLES: &str = "  filbertctl check node.ini
  filbertctl check docs/examples/zagadka.ini docs/examples/node.ini
";

/// Checks every file and reports all faults of all files.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let mut faulty = Vec::new();
    for path in &arguments.files {
        match check_file(path)? {
            Ok(summary) => println!("{path}: {summary}"),
            Err(errors) => faulty.push(CommandError::InvalidFile { path: path.clone(), errors }),
        }
    }
    let last = faulty.pop();
    for error in faulty {
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
    let configuration = read_configuration(text)?;
    Ok(format!(
        "sound configuration of {}, built on version {}: {} workspaces, {} models, {} services",
        configuration.operator,
        configuration.parent_version,
        configuration.workspaces.len(),
        configuration.models.len(),
        configuration.services.len(),
    ))
}

fn check_settings(text: &str) -> Result<String, ConfigErrors> {
    let settings = Settings::read(text)?;
    Ok(format!(
        "sound settings of VM {} in data centre {}",
        settings.node.vm, settings.node.data_center
    ))
}
