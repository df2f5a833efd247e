//! Settings of a node and the operators' configuration, read from INI and checked whole.
//!
//! All faults of a file come in one report; see `docs/OPERATING.md` and `docs/CONFIGURATION.md`.

pub mod settings;

pub use settings::Settings;
