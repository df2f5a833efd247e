//! Faults that several stand-ins share.

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

/// How a service is out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It answers 503 at once.
    Unavailable,
    /// It closes each connection without an answer.
    Closed,
    /// It accepts connections and never answers.
    Frozen,
}

/// The switches of one stand-in, set whole.
#[derive(Default)]
pub struct FaultSwitches<F> {
    faults: RwLock<F>,
}

impl<F: Clone> FaultSwitches<F> {
    /// The switches as they are.
    pub fn get(&self) -> F {
        self.faults.read().clone()
    }

    /// Sets all switches.
    pub fn set(&self, faults: F) {
        *self.faults.write() = faults;
    }

    /// Changes the switches in one step and gives what the change returns.
    pub fn update<R>(&self, update: impl FnOnce(&mut F) -> R) -> R {
        update(&mut self.faults.write())
    }
}

/// Takes one of the answers that are to be lost; false when none is left.
pub fn consume_one(left: &mut u64) -> bool {
    if *left == 0 {
        return false;
    }
    *left -= 1;
    true
}
