//! Riders: small versioned payloads of other services that spread on heartbeats.

use crate::codec::{MAX_RIDER_BYTES, Rider};
use crate::spread::SpreadQueue;
use fl_protocol::VmName;

/// The newest rider of each member, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct Riders {
    riders: Vec<Rider>,
    queue: SpreadQueue,
}

impl Riders {
    /// Keeps a rider if it is newer, and queues it when it is to be passed on.
    pub fn merge(&mut self, rider: Rider, pass_on: bool) -> bool {
        if rider.payload.len() > MAX_RIDER_BYTES {
            return false;
        }
        let vm = rider.vm.clone();
        match self.position(&vm) {
            Ok(index) if self.riders[index].version >= rider.version => return false,
            Ok(index) => self.riders[index] = rider,
            Err(index) => self.riders.insert(index, rider),
        }
        if pass_on {
            self.queue.push(&vm);
        }
        true
    }

    /// The newest rider of a member.
    pub fn find(&self, vm: &str) -> Option<&Rider> {
        let index = self.position(vm).ok()?;
        self.riders.get(index)
    }

    /// Riders that are still to be passed on.
    pub fn pending(&self) -> Vec<VmName> {
        self.queue.pending()
    }

    /// Counts one sending.
    pub fn mark_sent(&mut self, vm: &str, peers: usize) {
        self.queue.mark_sent(vm, peers);
    }

    /// Drops the riders of members that are gone.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.riders.retain(|rider| known(&rider.vm));
    }

    fn position(&self, vm: &str) -> Result<usize, usize> {
        self.riders.binary_search_by(|rider| rider.vm.as_str().cmp(vm))
    }
}
