//! The node: services around the decisions, wired by the kernel.
//!
//! Each module starts one service and registers it under its name; `run` starts them in order. See
//! `docs/design/010-packages.md`.

pub mod admin;
pub mod context;
pub mod event_log;
pub mod logging;
pub mod front;
pub mod readiness;
pub mod streams;
pub mod directory;
pub mod routing;

pub use context::{ServiceContext, StartError};
