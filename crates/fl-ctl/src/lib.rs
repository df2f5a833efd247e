//! filbertctl, the operators' command line.
//!
//! Each command stands in a file of its own under [`commands`]. `docs/OPERATING.md` is the page for
//! operators.

pub mod command_line;
pub mod commands;
pub mod error;
pub mod node_discovery;
