//! Why a command did not do its work, and the exit code that says so.

use displaydoc::Display;
use fl_config::ConfigErrors;
use fl_platform::HttpError;
use thiserror::Error;

/// Why a command did not do its work.
#[derive(Debug, Display, Error)]
pub enum CommandError {
    /// {0}; see filbertctl --help
    Usage(String),
    /// {path}: {errors}
    InvalidFile {
        /// The file.
        path: String,
        /// What is wrong with it.
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
        /// The file.
        path: String,
        /// What the system said.
        message: String,
    },
}

impl CommandError {
    /// The exit code; the codes are listed in the program's help.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::InvalidFile { .. } | CommandError::Failed(_) => 1,
            CommandError::Usage(_) | CommandError::Io { .. } => 2,
            CommandError::Unreachable(_) => 3,
            CommandError::Conflict(_) => 4,
        }
    }
}
