//! The micro-kernel: a registry where services find each other by name, their life cycle, and the
//! interfaces by which they meet.
//!
//! Services never name each other's types; they look up an interface of [`services`] by one of the
//! names of [`names`]. See `docs/design/010-packages.md`.

pub mod clock;
pub mod forward;
pub mod lifecycle;
pub mod names;
pub mod registry;
pub mod services;

pub use lifecycle::{Node, Running, Starting, Stopping};
pub use registry::{Registry, RegistryError};
