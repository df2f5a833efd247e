//! Probes that wait for an acknowledgement from their target.

use crate::codec::ProbeSequence;
use fl_protocol::{Incarnation, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// Stage of a probe that has not been acknowledged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStage {
    /// A ping was sent to the target only.
    Direct,
    /// Peers were also asked to ping the target.
    Indirect,
}

/// A ping that was sent and not acknowledged yet.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Sequence number, unique at the sender.
    pub sequence: ProbeSequence,
    /// Member that must acknowledge the ping.
    pub target: VmName,
    /// Incarnation of the target at the time of sending; a missing response does not count against
    /// a later one.
    pub incarnation: Incarnation,
    /// Time of sending.
    pub sent_at: Duration,
    /// Whether peers have been asked to ping the target, too.
    pub stage: ProbeStage,
    /// Node that asked for this probe; `None` for a probe of this node's own.
    pub relay_to: Option<Relay>,
}

/// Node that asked for an indirect probe and is sent its acknowledgement.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Gossip address of the node.
    pub address: SocketAddr,
    /// Sequence number of that node's own probe.
    pub sequence: ProbeSequence,
}

/// Probes without an acknowledgement, in the order of sending.
#[derive(Debug, Clone, Default)]
pub struct PendingProbes {
    waiting: Vec<Probe>,
    last_sequence: ProbeSequence,
}

impl PendingProbes {
    /// Returns the next sequence number; it wraps around.
    pub fn next_sequence(&mut self) -> ProbeSequence {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Adds a probe that is being sent.
    pub fn add(&mut self, probe: Probe) {
        self.waiting.push(probe);
    }

    /// Removes and returns the probe that an acknowledgement from a member belongs to.
    pub fn acknowledge(&mut self, sequence: ProbeSequence, from: &str) -> Option<Probe> {
        let index = self
            .waiting
            .iter()
            .position(|probe| probe.sequence == sequence && probe.target == from)?;
        Some(self.waiting.remove(index))
    }

    /// Moves this node's own probes that have waited for `after` to the indirect stage and returns
    /// them.
    pub fn take_indirect(&mut self, now: Duration, after: Duration) -> Vec<Probe> {
        let mut due = Vec::new();
        for probe in &mut self.waiting {
            let late = now.saturating_sub(probe.sent_at) >= after;
            if late && probe.stage == ProbeStage::Direct && probe.relay_to.is_none() {
                probe.stage = ProbeStage::Indirect;
                due.push(probe.clone());
            }
        }
        due
    }

    /// Removes the probes that have waited for `after` and returns this node's own ones; a probe
    /// for another node is that node's to evaluate.
    pub fn take_failed(&mut self, now: Duration, after: Duration) -> Vec<Probe> {
        let (failed, waiting): (Vec<Probe>, Vec<Probe>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|probe| now.saturating_sub(probe.sent_at) >= after);
        self.waiting = waiting;
        failed.into_iter().filter(|probe| probe.relay_to.is_none()).collect()
    }

    /// Removes all probes; for a node that was paused and could not receive the responses.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}
