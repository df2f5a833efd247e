//! Routing decisions as pure functions without I/O: routing policies, placement by rendezvous
//! hashing, load and cache estimates, quarantine of crashing requests, and views of the backend
//! servers.
//!
//! `fl-node` routes calls to runners by [`policy`], `fl-forward` places calls on registered backend
//! servers by [`placement`]. See `docs/design/050-routing.md`.

pub mod backend_links;
pub mod cache_estimate;
pub mod call_announcements;
pub mod crash_suspects;
pub mod in_flight;
pub mod lease_contention;
pub mod load_estimate;
pub mod origin_log;
pub mod peer_loads;
pub mod placement;
pub mod policy;
pub mod prefill_rate;
pub mod quarantine;
pub mod registry_view;
pub mod rendezvous;
pub mod report_rounds;
pub mod rollout;
pub mod route_history;
pub mod runner_watch;
pub mod server_pace;
pub mod server_speed;
pub mod servers;
pub mod store_readers;
pub mod store_retries;
pub mod stream_origins;
pub mod urgency;
pub mod version_history;
pub mod zone_reachability;
