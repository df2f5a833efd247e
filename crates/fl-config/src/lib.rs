//! Reads and validates the settings of a node and the operators' configuration, both INI files.
//!
//! All errors of a file are reported at once. See `docs/OPERATING.md` and `docs/CONFIGURATION.md`.

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
pub use read_configuration::{configuration_reference, is_configuration, parse_configuration};
pub use settings::Settings;
