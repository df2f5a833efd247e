//! Probes that wait for an acknowledgement.

use crate::codec::ProbeSequence;
use fl_protocol::{Incarnation, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// How a probe stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStage {
    /// Only the target was asked.
    Direct,
    /// Peers were asked to probe the target as well.
    Indirect,
}

/// A probe that was sent.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Its number at this node.
    pub sequence: ProbeSequence,
    /// Whom it asks.
    pub target: VmName,
    /// The life of the target that was asked; silence says nothing of a later one.
    pub incarnation: Incarnation,
    /// When it was sent.
    pub sent_at: Duration,
    /// How it stands.
    pub stage: ProbeStage,
    /// For whom it was sent, if another node asked for it.
    pub relay_to: Option<Relay>,
}

/// The node that asked for an indirect probe.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// The number of its own probe.
    pub sequence: ProbeSequence,
}

/// The probes that wait, in the order of their numbers.
#[derive(Debug, Clone, Default)]
pub struct Probes {
    waiting: Vec<Probe>,
    last_sequence: ProbeSequence,
}

impl Probes {
    /// Takes the next number.
    pub fn next_sequence(&mut self) -> ProbeSequence {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Adds a probe.
    pub fn add(&mut self, probe: Probe) {
        self.waiting.push(probe);
    }

    /// Ends the probe that an acknowledgement answers.
    pub fn acknowledge(&mut self, sequence: ProbeSequence, from: &str) -> Option<Probe> {
        let index = self
            .waiting
            .iter()
            .position(|probe| probe.sequence == sequence && probe.target == from)?;
        Some(self.waiting.remove(index))
    }

    /// Moves own probes without an answer to the indirect stage and returns them.
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

    /// Takes out probes that got no answer at all; those for other nodes just end.
    pub fn take_failed(&mut self, now: Duration, after: Duration) -> Vec<Probe> {
        let (failed, waiting): (Vec<Probe>, Vec<Probe>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|probe| now.saturating_sub(probe.sent_at) >= after);
        self.waiting = waiting;
        failed.into_iter().filter(|probe| probe.relay_to.is_none()).collect()
    }

    /// Drops all probes, since this node itself did not run.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}
