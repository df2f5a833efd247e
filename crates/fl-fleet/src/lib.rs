//! Leases, model placement and server scaling as functions without I/O.
//!
//! Nothing here reads a clock or a socket; callers pass the time of their monotonic clock. See
//! `docs/design/080-leases-and-fencing.md` and `docs/design/090-fleet.md`.

pub mod demand;
pub mod engine_orders;
pub mod handover;
pub mod lease;
pub mod placement;
pub mod scaling;

pub use lease::{Held, Lease, LeaseError, LeaseRow, LeaseWrite, Observed, RenewalOutcome};
