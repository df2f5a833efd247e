//! Routing decisions as pure functions: policies, prefix homes, load estimates.

pub mod cache_estimate;
pub mod in_flight;
pub mod load_estimate;
pub mod placement;
pub mod policy;
pub mod quarantine;
pub mod registry_view;
pub mod rendezvous;
pub mod runner_watch;
pub mod servers;
pub mod store_readers;
pub mod urgency;
pub mod zone_reachability;
