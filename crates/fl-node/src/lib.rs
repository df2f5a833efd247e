//! The services of an entry VM's node.
//!
//! Each module starts one service and registers it by name in the kernel's registry; [`run`] starts
//! them in order. The decision logic is in packages without I/O; the services here add the sockets,
//! clocks and tasks. See `docs/design/010-packages.md`.

pub mod admin;
pub mod admission;
pub mod caller_api;
pub mod configuration;
pub mod context;
pub mod directory;
pub mod event_log;

pub mod lease;
pub mod ledger;
pub mod logging;
pub mod membership;
pub mod model_requests;
pub mod options;
pub mod placement;
pub mod quarantine;
pub mod readiness;
pub mod routing;
pub mod run;

pub use context::{ServiceContext, StartError};
pub use run::start;
