//! Shared types, ids and errors, and the messages of all protocols.
//!
//! All other packages depend on this one, and it depends on none of them, so that all share the
//! same types. See `docs/design/010-packages.md`.

pub mod admin;
pub mod call;
pub mod chat;
pub mod configuration;
pub mod engine;
pub mod event;
pub mod forward;
pub mod ids;
pub mod member;
pub mod platform;
pub mod problem;
pub mod rendezvous;
pub mod request;
pub mod vm_limits;

pub use configuration::{CallClass, Configuration, Model, PlainService, Priority, Workspace};
pub use ids::*;
pub use member::{Member, MemberState};
pub use problem::{ExecutionState, Problem, ProblemBody};
pub use request::RequestRecord;
pub use vm_limits::VmLimits;
