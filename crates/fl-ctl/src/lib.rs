//! filbertctl, the command line tool for operators.
//!
//! Each command is a module under [`commands`]. `docs/OPERATING.md` describes the commands for
//! operators.

pub mod command_line;
pub mod commands;
pub mod error;
pub mod node_discovery;
