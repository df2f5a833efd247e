//! Which news still has to be sent, and how often.

use fl_protocol::VmName;

/// News is sent this many times the logarithm of the fleet's size, which reaches everybody with
/// high probability.
const TRANSMIT_FACTOR: u32 = 3;

/// Members whose statements changed, each with the number of times it was sent since.
#[derive(Debug, Clone, Default)]
pub struct GossipQueue {
    items: Vec<Item>,
}

#[derive(Debug, Clone)]
struct Item {
    vm: VmName,
    sent: u32,
}

impl GossipQueue {
    /// Queues the news of a member, counting from zero when it was queued already.
    pub fn push(&mut self, vm: &str) {
        match self.position(vm) {
            Ok(index) => self.items[index].sent = 0,
            Err(index) => self.items.insert(index, Item { vm: vm.to_string(), sent: 0 }),
        }
    }

    /// The members with news, the least often sent first.
    pub fn pending(&self) -> Vec<VmName> {
        let mut items: Vec<&Item> = self.items.iter().collect();
        items.sort_by_key(|item| item.sent);
        items.into_iter().map(|item| item.vm.clone()).collect()
    }

    /// Counts one sending and drops what was sent often enough for a fleet of this size.
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

/// How often news is sent in a fleet of this size.
pub fn transmit_limit(fleet_size: usize) -> u32 {
    TRANSMIT_FACTOR * (usize::BITS - fleet_size.leading_zeros()).max(1)
}
