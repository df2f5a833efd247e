//! The state machine of one node's membership.

mod compose;
mod receive;
mod tick;

use crate::budget::{ByteBudget, SEND_BUDGET_BYTES_PER_S};
use crate::codec::PiggybackedPayload;
use crate::data_center_reachability::DataCenterReachability;
use crate::gossip_queue::GossipQueue;
use crate::piggyback::PiggybackedPayloads;
use crate::probes::Probes;
use crate::table::{Entry, MemberChange, MemberTable, member_digest};
use fl_protocol::{ConfigurationVersion, Member, MemberState, VmName};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// The source of random choices; tests pass one with a seed.
pub type RandomSource = Box<dyn rand::Rng + Send>;

/// What membership is set to.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// The key that all nodes of the fleet share.
    pub key: [u8; 32],
    /// Time between two probes of this node.
    pub heartbeat: Duration,
    /// How long a suspect may refute, and how long a data centre must be silent to be cut off.
    pub suspicion: Duration,
    /// Gossip addresses of nodes to join.
    pub seeds: Vec<SocketAddr>,
    /// Bytes a second that payloads and parts of the table may fill, headers included.
    pub send_budget_bytes_per_s: u64,
}

impl MembershipConfig {
    /// The usual budget with the given key, times and seeds.
    pub fn new(
        key: [u8; 32],
        heartbeat: Duration,
        suspicion: Duration,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let send_budget_bytes_per_s = SEND_BUDGET_BYTES_PER_S;
        MembershipConfig { key, heartbeat, suspicion, seeds, send_budget_bytes_per_s }
    }
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// To whom.
    pub to: SocketAddr,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// What membership sent and received, IP and UDP headers included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received from nodes of the fleet.
    pub received_bytes: u64,
    /// Datagrams refused.
    pub refused: u64,
}

/// Members that have the highest version of the configuration this node has heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationHint {
    /// The version.
    pub version: ConfigurationVersion,
    /// Who has it, those of this node's data centre first.
    pub members: Vec<Member>,
}

/// One node's membership.
pub struct MembershipState {
    config: MembershipConfig,
    own: Member,
    table: MemberTable,
    reachability: DataCenterReachability,
    probes: Probes,
    gossip_queue: GossipQueue,
    payloads: PiggybackedPayloads,
    budget: ByteBudget,
    random: RandomSource,
    configuration_version: ConfigurationVersion,
    digest: u32,
    digests_differ: bool,
    sync_cursor: usize,
    round: Vec<VmName>,
    heartbeats: u64,
    next_heartbeat_at: Duration,
    last_tick_at: Duration,
    last_received_at: Duration,
    changes: Vec<MemberChange>,
    revision: u64,
    traffic: Traffic,
}

impl MembershipState {
    /// Starts with this node alone.
    pub fn new(config: MembershipConfig, own: Member, random: RandomSource, now: Duration) -> Self {
        let budget = ByteBudget::new(config.send_budget_bytes_per_s, now);
        let reachability = DataCenterReachability::new(config.suspicion);
        let mut state = MembershipState {
            config,
            own,
            table: MemberTable::default(),
            reachability,
            probes: Probes::default(),
            gossip_queue: GossipQueue::default(),
            payloads: PiggybackedPayloads::default(),
            budget,
            random,
            configuration_version: 0,
            digest: 0,
            digests_differ: false,
            sync_cursor: 0,
            round: Vec::new(),
            heartbeats: 0,
            next_heartbeat_at: now,
            last_tick_at: now,
            last_received_at: now,
            changes: Vec::new(),
            revision: 0,
            traffic: Traffic::default(),
        };
        state.digest_changed();
        state
    }

    /// This node.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All nodes known, this one included, sorted by VM name.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> =
            self.table.entries().iter().map(|entry| self.believed(entry)).collect();
        let index = members.partition_point(|member| member.vm < self.own.vm);
        members.insert(index, self.own.clone());
        members
    }

    /// Grows with each change of [`MembershipState::members`].
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// What was sent and received.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Sets the small payload that spreads with this node's heartbeats.
    pub fn set_payload(&mut self, bytes: Vec<u8>) -> bool {
        let known = self.payloads.find(&self.own.vm);
        let earlier_life = self.own.incarnation << 16;
        let version = known.map_or(earlier_life, |payload| payload.version + 1);
        let payload = PiggybackedPayload { vm: self.own.vm.clone(), version, bytes };
        self.payloads.merge(payload, true)
    }

    /// The newest payload of a member.
    pub fn payload(&self, vm: &str) -> Option<Vec<u8>> {
        self.payloads.find(vm).map(|payload| payload.bytes.clone())
    }

    /// Sets the version that this node's heartbeats carry.
    pub fn set_configuration_version(&mut self, version: ConfigurationVersion) {
        self.configuration_version = self.configuration_version.max(version);
    }

    /// Who has a higher version of the configuration than this node.
    pub fn configuration_hint(&self) -> Option<ConfigurationHint> {
        let mut hint: Option<ConfigurationHint> = None;
        for entry in self.table.entries() {
            let version = entry.configuration_version;
            let floor = hint.as_ref().map_or(self.configuration_version + 1, |hint| hint.version);
            if version < floor || self.believed(entry).state >= MemberState::CutOff {
                continue;
            }
            if hint.as_ref().is_none_or(|hint| hint.version < version) {
                hint = Some(ConfigurationHint { version, members: Vec::new() });
            }
            if let Some(hint) = hint.as_mut() {
                hint.members.push(entry.member.clone());
            }
        }
        if let Some(hint) = hint.as_mut() {
            hint.members.sort_by_key(|member| member.data_center != self.own.data_center);
        }
        hint
    }

    /// What this node believes of a member: its statement, or that its data centre is cut off.
    fn believed(&self, entry: &Entry) -> Member {
        let mut member = entry.member.clone();
        let cut_off = self.reachability.is_unreachable(&member.data_center);
        if cut_off && member.state < MemberState::CutOff {
            member.state = MemberState::CutOff;
        }
        member
    }

    /// Takes a statement about any node and passes it on if it is news.
    fn learn(&mut self, now: Duration, statement: &Member) {
        if statement.vm == self.own.vm {
            self.refute(statement);
            return;
        }
        if statement.data_center != self.own.data_center {
            self.reachability.watch(&statement.data_center, now);
        }
        if let Some(change) = self.table.merge(now, statement) {
            self.gossip_queue.push(&change.vm);
            self.note(change);
        }
    }

    /// Answers a statement about this node that is not true by a greater incarnation.
    fn refute(&mut self, statement: &Member) {
        let newer_life = statement.incarnation > self.own.incarnation;
        let graver = statement.state > self.own.state;
        let current = statement.incarnation == self.own.incarnation;
        if newer_life || (current && graver) {
            self.own.incarnation = statement.incarnation + 1;
            self.revision += 1;
            self.digest_changed();
            let vm = self.own.vm.clone();
            self.gossip_queue.push(&vm);
        }
    }

    fn note(&mut self, change: MemberChange) {
        self.changes.push(change);
        self.revision += 1;
        self.digest_changed();
    }

    fn digest_changed(&mut self) {
        self.digest = self.table.digest() ^ member_digest(&self.own);
    }

    /// Picks one of several at random.
    fn pick<T: Clone>(&mut self, candidates: &[T]) -> Option<T> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..candidates.len());
        candidates.get(index).cloned()
    }

    fn entries_where(&self, holds: impl Fn(&Entry) -> bool) -> Vec<Member> {
        let entries = self.table.entries().iter().filter(|entry| holds(entry));
        entries.map(|entry| entry.member.clone()).collect()
    }

    fn is_near(&self, member: &Member) -> bool {
        member.data_center == self.own.data_center
    }
}
