//! Small versioned payloads of other services, piggybacked on heartbeats.

use crate::codec::{MAX_PAYLOAD_BYTES, PiggybackedPayload};
use crate::gossip_queue::GossipQueue;
use fl_protocol::VmName;

/// Newest payload of each member, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub struct PiggybackedPayloads {
    payloads: Vec<PiggybackedPayload>,
    queue: GossipQueue,
}

impl PiggybackedPayloads {
    /// Stores a payload if it is newer than the known one, and returns whether it was stored.
    ///
    /// With `pass_on`, a stored payload is also queued for transmission. Payloads above
    /// [`MAX_PAYLOAD_BYTES`] are ignored.
    pub fn merge(&mut self, payload: PiggybackedPayload, pass_on: bool) -> bool {
        if payload.bytes.len() > MAX_PAYLOAD_BYTES {
            return false;
        }
        let vm = payload.vm.clone();
        match self.position(&vm) {
            Ok(index) if self.payloads[index].version >= payload.version => return false,
            Ok(index) => self.payloads[index] = payload,
            Err(index) => self.payloads.insert(index, payload),
        }
        if pass_on {
            self.queue.push(&vm);
        }
        true
    }

    /// Returns the newest payload of a member.
    pub fn find(&self, vm: &str) -> Option<&PiggybackedPayload> {
        let index = self.position(vm).ok()?;
        self.payloads.get(index)
    }

    /// Returns the members whose payloads still have to be transmitted, the least often sent first.
    pub fn pending(&self) -> Vec<VmName> {
        self.queue.pending()
    }

    /// Counts one transmission of a member's payload among `peers` peers.
    pub fn mark_sent(&mut self, vm: &str, peers: usize) {
        self.queue.mark_sent(vm, peers);
    }

    /// Removes the payloads of members for which `known` returns `false`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.payloads.retain(|payload| known(&payload.vm));
    }

    fn position(&self, vm: &str) -> Result<usize, usize> {
        self.payloads.binary_search_by(|payload| payload.vm.as_str().cmp(vm))
    }
}
