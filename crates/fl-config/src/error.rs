//! Errors in a file of settings or configuration, which are reported together.

use displaydoc::Display;
use std::fmt;
use thiserror::Error;

/// Error in a file; its message names the place, what is allowed and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ConfigError {
    /// [{section}] {key} = {value}: expected {allowed}; correct the value
    Value {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Value in the file; hidden if it is a secret.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// [{section}] {key} is missing: expected {allowed}; add the line
    Missing {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// [{section}] {key} is not a known key: expected one of {allowed}; correct or remove the line
    UnknownKey {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Known keys of the section, separated by commas.
        allowed: String,
    },
    /// [{section}] {key} occurs {count} times; keep one of the lines
    DuplicateKey {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Number of occurrences.
        count: usize,
    },
    /// [{section}] is not a known section: expected {allowed}; correct or remove it
    UnknownSection {
        /// Name of the section.
        section: String,
        /// Description of the known sections.
        allowed: String,
    },
    /// [{section}] occurs {count} times; merge the sections into one
    DuplicateSection {
        /// Name of the section.
        section: String,
        /// Number of occurrences.
        count: usize,
    },
    /// [{section}] refers to {what} {name}, which is not declared; {remedy}
    Undeclared {
        /// Name of the section.
        section: String,
        /// Kind of the missing declaration, such as `model`.
        what: String,
        /// Name that is not declared.
        name: String,
        /// Instruction how to correct the error.
        remedy: String,
    },
    /// [{section}] {text} is not a line of the form key = value; correct or remove it
    StrayLine {
        /// Name of the section.
        section: String,
        /// Text of the line.
        text: String,
    },
    /// line {line}: {message}; write sections as [name] and lines as key = value
    Syntax {
        /// Number of the line, starting at 1.
        line: usize,
        /// Message of the parser.
        message: String,
    },
    /// cannot read {path}: {message}; check the path and its permissions
    Unreadable {
        /// Path of the file.
        path: String,
        /// Message of the operating system.
        message: String,
    },
}

/// All errors of one file, in the order in which its sections are read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigErrors {
    /// Errors of the file; never empty.
    pub errors: Vec<ConfigError>,
}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors { errors: vec![error] }
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let noun = if self.errors.len() == 1 { "fault" } else { "faults" };
        write!(formatter, "{} {noun}", self.errors.len())?;
        for error in &self.errors {
            write!(formatter, "\n  {error}")?;
        }
        Ok(())
    }
}
