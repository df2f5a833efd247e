//! Routing decisions as pure functions: policies, prefix homes, load estimates.

pub mod cache_estimate;
pub mod cut_off;
pub mod estimate;
pub mod placement;
pub mod policy;
pub mod quarantine;
pub mod readers;
pub mod registered;
pub mod rendezvous;
pub mod sent;
pub mod servers;
pub mod urgency;
pub mod watch;
