//! What is wrong with a file, and the report that holds all of it.

use displaydoc::Display;
use std::fmt;
use thiserror::Error;

/// One fault of a file. Each message names the place, what is allowed and the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ConfigError {
    /// [{section}] {key} = {value}: expected {allowed}; correct the value
    Value {
        /// The section's name.
        section: String,
        /// The key.
        key: String,
        /// What stands there; hidden when it is a secret.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// [{section}] {key} is missing: expected {allowed}; add the line
    Missing {
        /// The section's name.
        section: String,
        /// The key.
        key: String,
        /// What is allowed.
        allowed: String,
    },
    /// [{section}] {key} is no known key: expected one of {allowed}; correct or remove the line
    UnknownKey {
        /// The section's name.
        section: String,
        /// The key.
        key: String,
        /// The keys of the section.
        allowed: String,
    },
    /// [{section}] {key} stands there {count} times; keep one of the lines
    DuplicateKey {
        /// The section's name.
        section: String,
        /// The key.
        key: String,
        /// How often it stands there.
        count: usize,
    },
    /// [{section}] is no known section: expected {allowed}; correct or remove it
    UnknownSection {
        /// The section's name.
        section: String,
        /// The known sections.
        allowed: String,
    },
    /// [{section}] stands there {count} times; merge the sections into one
    DuplicateSection {
        /// The section's name.
        section: String,
        /// How often it stands there.
        count: usize,
    },
    /// [{section}] refers to {what} {name}, which is not declared; {remedy}
    Undeclared {
        /// The section's name.
        section: String,
        /// What kind of thing is missing.
        what: String,
        /// Its name.
        name: String,
        /// What to do.
        remedy: String,
    },
    /// [{section}] {text} is no line of the form key = value; correct or remove it
    StrayLine {
        /// The section's name.
        section: String,
        /// What stands there.
        text: String,
    },
    /// line {line}: {message}; write sections as [name] and lines as key = value
    Syntax {
        /// The line, counted from 1.
        line: usize,
        /// What the parser met.
        message: String,
    },
    /// cannot read {path}: {message}; check the path and its permissions
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        message: String,
    },
}

/// All faults of one file, in the order of the file's sections.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigErrors {
    /// The faults; never empty.
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
