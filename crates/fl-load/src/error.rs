//! Errors of load runs and experiments.

use displaydoc::Display;
use thiserror::Error;

/// An error that ends a load run or an experiment without a result.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LoadError {
    /// no node to send calls to; name at least one with --nodes ip:port
    NoNodes,
    /// user {0} is unknown; choose piton-frost or zagadka
    UnknownUser(String),
    /// cannot read or write {path}: {message}; check the path and its permissions
    File {
        /// Path of the file or folder.
        path: String,
        /// Message of the I/O error.
        message: String,
    },
    /// {path} is not a result of filbertctl load: {message}; create it again with --out
    InvalidResult {
        /// Path of the file.
        path: String,
        /// Message of the JSON parser.
        message: String,
    },
    /// {0} contains no results; write some into it with filbertctl load --out
    NoResults(String),
    /// cannot draw {path}: {message}; check that the folder is writable
    Plot {
        /// Path of the plot.
        path: String,
        /// Message of the plotting library.
        message: String,
    },
}
