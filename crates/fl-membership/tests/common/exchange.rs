//! A loop over pure states with a virtual clock, loss, cuts and pauses.

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
/// The gossip port of node 0; the others follow.
const FIRST_PORT: u16 = 10_000;
/// Steps between two looks at a condition, which costs more than a step in a large fleet.
const STEPS_PER_LOOK: u32 = 10;

pub struct Place {
    pub state: MembershipState,
    pub running: bool,
    pub cut: bool,
    pub changes: Vec<(Duration, MemberChange)>,
    inbox: Vec<Vec<u8>>,
}

pub struct Exchange {
    pub places: Vec<Place>,
    pub now: Duration,
    pub loss_percent: u32,
    random: ChaCha8Rng,
}

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

impl Exchange {
    pub fn new(nodes: usize, data_centers: usize, seed: u64) -> Self {
        let mut exchange = Exchange {
            places: Vec::new(),
            now: Duration::ZERO,
            loss_percent: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..nodes {
            exchange.start(member(index, data_centers, 1000));
        }
        exchange
    }

    /// Starts a node, in place of the one with its address if there was one.
    pub fn start(&mut self, own: Member) {
        let seeds = vec![member(0, 1, 0).gossip_address, member(1, 1, 0).gossip_address];
        let config = MembershipConfig::new(KEY, HEARTBEAT, SUSPICION, seeds);
        let random = Box::new(ChaCha8Rng::seed_from_u64(self.random.random()));
        let state = MembershipState::new(config, own.clone(), random, self.now);
        let place =
            Place { state, running: true, cut: false, changes: Vec::new(), inbox: Vec::new() };
        let address = own.gossip_address;
        match self.places.iter().position(|place| place.state.own().gossip_address == address) {
            Some(index) => self.places[index] = place,
            None => self.places.push(place),
        }
    }

    /// Runs until the condition holds; returns how long it took, `None` past the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Exchange) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        for step in 0.. {
            if self.now - start >= limit {
                break;
            }
            if step % STEPS_PER_LOOK == 0 && holds(self) {
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
        for (index, place) in self.places.iter_mut().enumerate() {
            if !place.running {
                continue;
            }
            for bytes in std::mem::take(&mut place.inbox) {
                let answers = place.state.on_datagram(self.now, &bytes).unwrap_or_default();
                sent.extend(answers.into_iter().map(|outgoing| (index, outgoing)));
            }
            let due = place.state.on_tick(self.now);
            sent.extend(due.into_iter().map(|outgoing| (index, outgoing)));
            let changes = place.state.take_changes();
            place.changes.extend(changes.into_iter().map(|change| (self.now, change)));
        }
        for (from, outgoing) in sent {
            self.deliver(from, outgoing);
        }
    }

    /// What one node believes of another.
    pub fn belief(&self, at: usize, about: usize) -> Option<MemberState> {
        let vm = &self.places[about].state.own().vm;
        let members = self.places[at].state.members();
        members.iter().find(|member| member.vm == *vm).map(|member| member.state)
    }

    /// Whether all running nodes believe the same of one.
    pub fn all_believe(&self, about: usize, state: MemberState) -> bool {
        let running = (0..self.places.len()).filter(|at| self.places[*at].running);
        running.filter(|at| *at != about).all(|at| self.belief(at, about) == Some(state))
    }

    /// Whether every running node believes every running node alive.
    pub fn settled(&self) -> bool {
        let running = (0..self.places.len()).filter(|about| self.places[*about].running);
        running.into_iter().all(|about| self.all_believe(about, MemberState::Alive))
    }

    fn deliver(&mut self, from: usize, outgoing: OutgoingDatagram) {
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        let from_cut = self.places[from].cut;
        let to =
            self.places.iter_mut().find(|place| place.state.own().gossip_address == outgoing.to);
        if let Some(place) = to.filter(|place| place.running && place.cut == from_cut) {
            place.inbox.push(outgoing.bytes);
        }
    }
}
