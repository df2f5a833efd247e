//! Times between which this node may send calls of the duties under the lease that it holds.
//!
//! Where the platform does not check fencing tokens, a new holder waits until no call of the former
//! one can arrive any more. See `docs/design/080-leases-and-fencing.md`.

use crate::clock::boot_time;
use crate::node::Node;
use fl_fleet::handover::{CallBounds, LastCall};
use fl_fleet::{Held, Lease};
use fl_kernel::forward::DutyLease;
use fl_protocol::FencingToken;
use std::time::Duration;

/// Times of calls under this node's leases.
#[derive(Debug)]
pub struct Tenure {
    last_call: LastCall,
    /// Boot time from which calls may be sent under the lease that this node holds.
    sends_from: Duration,
}

impl Tenure {
    /// Creates the tenure of a node that has not held the lease since it started.
    pub fn new() -> Self {
        let last_call = LastCall { fencing: 0, ended_at: boot_time() };
        Tenure { last_call, sends_from: Duration::ZERO }
    }

    /// Begins the tenure under a lease that was just acquired. Returns the wait until the first call.
    pub fn begin(&mut self, node: &Node, fencing: FencingToken) -> Duration {
        let now = boot_time();
        self.sends_from = match call_bounds(node) {
            Some(bounds) => bounds.first_call_at(now, fencing, self.last_call),
            None => now,
        };
        self.sends_from - now
    }

    /// Returns the right to send calls under a lease that this node holds.
    pub fn duty_lease(&self, node: &Node, lease: &Lease<Held>, fencing: FencingToken) -> DutyLease {
        DutyLease {
            holder: node.settings.vm.clone(),
            fencing,
            sends_from: self.sends_from,
            sends_until: lease.sends_until(boot_time()),
            released: node.duty_lease.released.clone(),
        }
    }

    /// Notes that calls may have been sent under a lease until now.
    pub fn note_calls(&mut self, fencing: FencingToken) {
        let now = boot_time();
        if now >= self.sends_from {
            self.last_call = LastCall { fencing, ended_at: now };
        }
    }
}

/// Returns the time that a new holder of the lease waits before its first call; zero where the platform
/// checks fencing tokens.
pub fn first_call_wait(node: &Node) -> Duration {
    call_bounds(node).map_or(Duration::ZERO, |bounds| bounds.first_call_wait())
}

/// Returns the bounds on calls, or `None` where the platform checks fencing tokens.
fn call_bounds(node: &Node) -> Option<CallBounds> {
    let bounds = &node.settings.bounds;
    let duties = node.platform.duties.as_ref().filter(|_| !bounds.fencing_enforced)?;
    Some(CallBounds { term: bounds.lease_duration, longest_call: duties.longest_call() })
}
