//! Core of a node: the registry in which services find each other by name, the life cycle of the
//! node, and the interfaces of its services.
//!
//! Services do not depend on each other's types. They look up an interface of [`services`] by one
//! of the names in [`names`]. See `docs/design/010-packages.md`.

pub mod clock;
pub mod forward;
pub mod lifecycle;
pub mod names;
pub mod registry;
pub mod services;

pub use lifecycle::{Node, Running, Starting, Stopping};
pub use registry::{Registry, RegistryError};
