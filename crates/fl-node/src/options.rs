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
    /// Serves on the users' platform, whose settings file the environment names.
    #[options(help = "serve on the users' platform; the environment names the settings")]
    pub platform: bool,
    /// Prints the version.
    #[options(help = "print the version")]
    pub version: bool,
}
