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
    /// {path}: {report}
    Faulty {
        /// The file.
        path: String,
        /// What is wrong with it.
        report: ConfigErrors,
    },
    /// {0}
    Failed(String),
    /// {0}
    Unreachable(HttpError),
    /// {0}
    NotAccepted(String),
    /// cannot read or write {path}: {message}; check the path and its permissions
    File {
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
            CommandError::Faulty { .. } | CommandError::Failed(_) => 1,
            CommandError::Usage(_) | CommandError::File { .. } => 2,
            CommandError::Unreachable(_) => 3,
            CommandError::NotAccepted(_) => 4,
        }
    }
}
