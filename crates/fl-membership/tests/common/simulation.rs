//! Simulation of a fleet on a virtual clock, with packet loss, network partitions and pauses.

use fl_membership::{MemberChange, MembershipConfig, MembershipState, OutgoingDatagram};
use fl_protocol::{Member, MemberState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;

pub const HEARTBEAT: Duration = Duration::from_millis(500);
pub const SUSPICION: Duration = Duration::from_millis(2000);
const STEP: Duration = Duration::from_millis(50);
const KEY: [u8; 32] = [7; 32];
/// Gossip port of node 0; the other nodes use the following ones.
const FIRST_PORT: u16 = 10_000;
/// Steps between two checks of a condition, which costs more than a step in a large fleet.
const STEPS_PER_CHECK: u32 = 10;

/// A node with its received datagrams and the changes that it reported.
pub struct SimulatedNode {
    pub state: MembershipState,
    pub running: bool,
    pub partitioned: bool,
    pub changes: Vec<(Duration, MemberChange)>,
    inbox: Vec<Vec<u8>>,
}

/// A fleet of nodes that exchange datagrams on a virtual clock.
pub struct Simulation {
    pub nodes: Vec<SimulatedNode>,
    pub now: Duration,
    pub loss_percent: u32,
    random: ChaCha8Rng,
}

/// Returns the entry of a node, which belongs to one of the data centres in turn.
pub fn member(index: usize, data_centers: usize, incarnation: u64) -> Member {
    let port = FIRST_PORT + index as u16;
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Member {
        vm: format!("entry-{index:03}"),
        data_center: format!("dc-{}", index % data_centers),
        peer_address: address,
        gossip_address: address,
        admin_address: address,
        incarnation,
        state: MemberState::Alive,
    }
}

impl Simulation {
    pub fn new(nodes: usize, data_centers: usize, seed: u64) -> Self {
        let mut simulation = Simulation {
            nodes: Vec::new(),
            now: Duration::ZERO,
            loss_percent: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..nodes {
            simulation.start(member(index, data_centers, 1000));
        }
        simulation
    }

    /// Starts a node; it replaces the node with the same address, if any.
    pub fn start(&mut self, own: Member) {
        let seeds = vec![member(0, 1, 0).gossip_address, member(1, 1, 0).gossip_address];
        let config = MembershipConfig::new(KEY, HEARTBEAT, SUSPICION, seeds);
        let random = Box::new(ChaCha8Rng::seed_from_u64(self.random.random()));
        let state = MembershipState::new(config, own.clone(), random, self.now);
        let node = SimulatedNode {
            state,
            running: true,
            partitioned: false,
            changes: Vec::new(),
            inbox: Vec::new(),
        };
        let address = own.gossip_address;
        match self.nodes.iter().position(|node| node.state.own_member().gossip_address == address) {
            Some(index) => self.nodes[index] = node,
            None => self.nodes.push(node),
        }
    }

    /// Runs until the condition holds and returns the virtual time it took; `None` if the limit is
    /// reached first.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        for step in 0.. {
            if self.now - start >= limit {
                break;
            }
            if step % STEPS_PER_CHECK == 0 && condition(self) {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    pub fn run_for(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let mut sent = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.running {
                continue;
            }
            for bytes in std::mem::take(&mut node.inbox) {
                let responses = node.state.on_datagram(self.now, &bytes).unwrap_or_default();
                sent.extend(responses.into_iter().map(|outgoing| (index, outgoing)));
            }
            let due = node.state.on_tick(self.now);
            sent.extend(due.into_iter().map(|outgoing| (index, outgoing)));
            let changes = node.state.take_changes();
            node.changes.extend(changes.into_iter().map(|change| (self.now, change)));
        }
        for (from, outgoing) in sent {
            self.deliver(from, outgoing);
        }
    }

    /// Returns the state in which one node observes another.
    pub fn observed_state(&self, at: usize, about: usize) -> Option<MemberState> {
        let vm = &self.nodes[about].state.own_member().vm;
        let members = self.nodes[at].state.members();
        members.iter().find(|member| member.vm == *vm).map(|member| member.state)
    }

    /// Returns whether all other running nodes observe a node in this state.
    pub fn all_observe(&self, about: usize, state: MemberState) -> bool {
        let running = (0..self.nodes.len()).filter(|at| self.nodes[*at].running);
        running.filter(|at| *at != about).all(|at| self.observed_state(at, about) == Some(state))
    }

    /// Returns whether every running node observes every running node alive.
    pub fn has_converged(&self) -> bool {
        let running = (0..self.nodes.len()).filter(|about| self.nodes[*about].running);
        running.into_iter().all(|about| self.all_observe(about, MemberState::Alive))
    }

    fn deliver(&mut self, from: usize, outgoing: OutgoingDatagram) {
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        let from_partitioned = self.nodes[from].partitioned;
        let to = self
            .nodes
            .iter_mut()
            .find(|node| node.state.own_member().gossip_address == outgoing.to);
        if let Some(node) = to.filter(|node| node.running && node.partitioned == from_partitioned) {
            node.inbox.push(outgoing.bytes);
        }
    }
}
