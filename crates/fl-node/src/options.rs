//! The command-line options of the node.

use gumdrop::Options;

/// Runs the node that serves callers on one entry VM.
#[derive(Debug, Options)]
pub struct NodeOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The path of the settings file, in INI format.
    #[options(help = "the settings file (INI); see docs/OPERATING.md", meta = "FILE")]
    pub settings: Option<String>,
    /// Serves on the users' platform; the path of its settings file comes from the environment.
    #[options(help = "serve on the users' platform; the environment names the settings")]
    pub platform: bool,
    /// Prints the version.
    #[options(help = "print the version")]
    pub version: bool,
}
