//! The error type of all commands, and their exit codes.

use displaydoc::Display;
use fl_config::ConfigErrors;
use fl_platform::HttpError;
use thiserror::Error;

/// Error of a command; its text is printed to standard error.
#[derive(Debug, Display, Error)]
pub enum CommandError {
    /// {0}; see filbertctl --help
    Usage(String),
    /// {path}: {errors}
    InvalidFile {
        /// Path of the settings or configuration file.
        path: String,
        /// All errors found in the file.
        errors: ConfigErrors,
    },
    /// {0}
    Failed(String),
    /// {0}
    Unreachable(HttpError),
    /// {0}
    Conflict(String),
    /// cannot read or write {path}: {message}; check the path and its permissions
    Io {
        /// Path of the file, or `standard input`.
        path: String,
        /// Error text of the operating system.
        message: String,
    },
}

impl CommandError {
    /// Returns the exit code of the process; `filbertctl --help` lists the codes.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::InvalidFile { .. } | CommandError::Failed(_) => 1,
            CommandError::Usage(_) | CommandError::Io { .. } => 2,
            CommandError::Unreachable(_) => 3,
            CommandError::Conflict(_) => 4,
        }
    }
}
