//! Why a load run or an experiment gave no result.

use displaydoc::Display;
use thiserror::Error;

/// Why a load run or an experiment gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LoadError {
    /// no node to send calls to; name at least one with --nodes ip:port
    NoNodes,
    /// user {0} is unknown; choose piton-frost or zagadka
    UnknownUser(String),
    /// cannot read or write {path}: {message}; check the path and its permissions
    File {
        /// The file or folder.
        path: String,
        /// What the system said.
        message: String,
    },
    /// {path} is no result of filbertctl load: {message}; make it again with --out
    InvalidResult {
        /// The file.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// {0} holds no results; run filbertctl load with --out into it first
    NoResults(String),
    /// cannot draw {path}: {message}; check that the folder can be written
    Plot {
        /// The file.
        path: String,
        /// What the library said.
        message: String,
    },
}
