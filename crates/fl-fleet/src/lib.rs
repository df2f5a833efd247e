//! Leases and fleet decisions as pure functions.
