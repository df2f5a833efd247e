//! The command line of the node.

use gumdrop::Options;

/// Serves callers on one entry VM.
#[derive(Debug, Options)]
pub struct NodeOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file, in INI.
    #[options(help = "the settings file (INI); see docs/OPERATING.md", meta = "FILE")]
    pub settings: Option<String>,
    /// Prints the version.
    #[options(help = "print the version")]
    pub version: bool,
}
