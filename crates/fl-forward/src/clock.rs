//! A clock that keeps running while the VM is suspended.
//!
//! The ages of leases and of state read from the store or from peers are measured on it. The usual
//! monotonic clock stops during a suspension, so state that is seconds old would look fresh.

pub use fl_kernel::clock::boot_time;
