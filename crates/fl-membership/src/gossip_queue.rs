//! Queue of member updates, each of which is transmitted a limited number of times.

use fl_protocol::VmName;

/// An update is transmitted this many times the logarithm of the fleet size, which reaches every
/// node with high probability.
const TRANSMIT_FACTOR: u32 = 3;

/// Members with a new update, each with the number of transmissions since.
#[derive(Debug, Clone, Default)]
pub struct GossipQueue {
    items: Vec<Item>,
}

/// A queued update and the number of its transmissions.
#[derive(Debug, Clone)]
struct Item {
    vm: VmName,
    sent: u32,
}

impl GossipQueue {
    /// Queues the update of a member; one that is queued already starts again at zero
    /// transmissions.
    pub fn push(&mut self, vm: &str) {
        match self.position(vm) {
            Ok(index) => self.items[index].sent = 0,
            Err(index) => self.items.insert(index, Item { vm: vm.to_string(), sent: 0 }),
        }
    }

    /// Returns the members with updates to transmit, the least often sent first.
    pub fn pending(&self) -> Vec<VmName> {
        let mut items: Vec<&Item> = self.items.iter().collect();
        items.sort_by_key(|item| item.sent);
        items.into_iter().map(|item| item.vm.clone()).collect()
    }

    /// Counts one transmission and removes the update once it reached the limit for this fleet
    /// size.
    pub fn mark_sent(&mut self, vm: &str, fleet_size: usize) {
        let Ok(index) = self.position(vm) else { return };
        self.items[index].sent += 1;
        if self.items[index].sent >= transmit_limit(fleet_size) {
            self.items.remove(index);
        }
    }

    fn position(&self, vm: &str) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.vm.as_str().cmp(vm))
    }
}

/// Returns how often an update is transmitted in a fleet of this size.
pub fn transmit_limit(fleet_size: usize) -> u32 {
    TRANSMIT_FACTOR * (usize::BITS - fleet_size.leading_zeros()).max(1)
}
