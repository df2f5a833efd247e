//! Fault injection that several stand-ins share.

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

/// The kind of outage of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The service works.
    #[default]
    None,
    /// The service responds with status 503 at once.
    Unavailable,
    /// The service closes each connection without a response.
    Closed,
    /// The service accepts connections and never responds.
    Frozen,
}

/// The faults of one stand-in, shared between its tasks and always replaced as a whole.
#[derive(Default)]
pub struct FaultSwitches<F> {
    faults: RwLock<F>,
}

impl<F: Clone> FaultSwitches<F> {
    /// Returns a copy of the faults.
    pub fn get(&self) -> F {
        self.faults.read().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        *self.faults.write() = faults;
    }

    /// Changes the faults atomically and returns what `update` returns.
    pub fn update<R>(&self, update: impl FnOnce(&mut F) -> R) -> R {
        update(&mut self.faults.write())
    }
}

/// Decrements a count of requests that a fault still applies to; returns whether one remained.
pub fn consume_one(remaining: &mut u64) -> bool {
    if *remaining == 0 {
        return false;
    }
    *remaining -= 1;
    true
}
