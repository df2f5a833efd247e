//! Settings of a node and the operators' configuration, read from INI and checked whole.
//!
//! All faults of a file come in one report; see `docs/OPERATING.md` and `docs/CONFIGURATION.md`.

mod check_configuration;
mod document;
pub mod error;
mod print_configuration;
mod read_configuration;
mod read_settings;
pub mod settings;
mod value;

pub use document::DocumentedKey;
pub use error::{ConfigError, ConfigErrors};
pub use print_configuration::print_configuration;
pub use read_configuration::{configuration_reference, is_configuration, read_configuration};
pub use settings::Settings;
