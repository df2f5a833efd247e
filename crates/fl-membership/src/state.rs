//! State machine of one node's membership.

mod compose;
mod receive;
mod tick;

use crate::budget::{ByteBudget, SEND_BUDGET_BYTES_PER_S};
use crate::codec::PiggybackedPayload;
use crate::data_center_reachability::DataCenterReachability;
use crate::gossip_queue::GossipQueue;
use crate::member_table::{MemberChange, MemberEntry, MemberTable, member_digest};
use crate::piggyback::PiggybackedPayloads;
use crate::probes::PendingProbes;
use fl_protocol::{ConfigurationVersion, Member, MemberState, VmName};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Source of random numbers; tests pass a seeded one.
pub type RandomSource = Box<dyn rand::Rng + Send>;

/// Settings of membership.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Fleet key, which all nodes of the fleet share.
    pub key: [u8; 32],
    /// Interval between two heartbeats of this node.
    pub heartbeat: Duration,
    /// Time in which a suspect may refute, and silence after which a data centre is unreachable.
    pub suspicion: Duration,
    /// Gossip addresses of the nodes to join.
    pub seeds: Vec<SocketAddr>,
    /// Budget of sent traffic in bytes per second, headers included; limits payloads and parts of
    /// the member table.
    pub send_budget_bytes_per_s: u64,
}

impl MembershipConfig {
    /// Creates settings with the default send budget.
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

/// An encoded datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Gossip address of the receiver.
    pub to: SocketAddr,
    /// Encoded datagram.
    pub bytes: Vec<u8>,
}

/// Membership traffic since the start, IP and UDP headers included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received from nodes of the fleet.
    pub received_bytes: u64,
    /// Number of datagrams refused.
    pub refused: u64,
}

/// Members that reported the highest version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationHint {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Members that have it, those in this node's data centre first.
    pub members: Vec<Member>,
}

/// One node's view of the fleet, and its protocol state.
pub struct MembershipState {
    config: MembershipConfig,
    own: Member,
    table: MemberTable,
    reachability: DataCenterReachability,
    probes: PendingProbes,
    gossip_queue: GossipQueue,
    payloads: PiggybackedPayloads,
    budget: ByteBudget,
    random: RandomSource,
    configuration_version: ConfigurationVersion,
    digest: u32,
    digests_differ: bool,
    sync_cursor: usize,
    probe_round: Vec<VmName>,
    heartbeat_count: u64,
    next_heartbeat_at: Duration,
    last_tick_at: Duration,
    last_received_at: Duration,
    changes: Vec<MemberChange>,
    revision: u64,
    traffic: Traffic,
}

impl MembershipState {
    /// Creates the state of a node that knows no other node yet.
    pub fn new(config: MembershipConfig, own: Member, random: RandomSource, now: Duration) -> Self {
        let budget = ByteBudget::new(config.send_budget_bytes_per_s, now);
        let reachability = DataCenterReachability::new(config.suspicion);
        let mut state = MembershipState {
            config,
            own,
            table: MemberTable::default(),
            reachability,
            probes: PendingProbes::default(),
            gossip_queue: GossipQueue::default(),
            payloads: PiggybackedPayloads::default(),
            budget,
            random,
            configuration_version: 0,
            digest: 0,
            digests_differ: false,
            sync_cursor: 0,
            probe_round: Vec::new(),
            heartbeat_count: 0,
            next_heartbeat_at: now,
            last_tick_at: now,
            last_received_at: now,
            changes: Vec::new(),
            revision: 0,
            traffic: Traffic::default(),
        };
        state.update_digest();
        state
    }

    /// Returns this node's own entry.
    pub fn own_member(&self) -> &Member {
        &self.own
    }

    /// Returns all known nodes, including this one, sorted by VM name.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> =
            self.table.entries().iter().map(|entry| self.observed_member(entry)).collect();
        let index = members.partition_point(|member| member.vm < self.own.vm);
        members.insert(index, self.own.clone());
        members
    }

    /// Returns a number that grows with each change of [`MembershipState::members`].
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the traffic since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Sets the payload that is piggybacked on this node's heartbeats, and returns whether it was
    /// accepted; one above the size limit is not.
    pub fn set_payload(&mut self, bytes: Vec<u8>) -> bool {
        let known = self.payloads.find(&self.own.vm);
        // A later process instance has a greater incarnation, so that its payloads replace those of
        // the earlier ones.
        let initial_version = self.own.incarnation << 16;
        let version = known.map_or(initial_version, |payload| payload.version + 1);
        let payload = PiggybackedPayload { vm: self.own.vm.clone(), version, bytes };
        self.payloads.merge(payload, true)
    }

    /// Returns the newest known payload of a member.
    pub fn payload(&self, vm: &str) -> Option<Vec<u8>> {
        self.payloads.find(vm).map(|payload| payload.bytes.clone())
    }

    /// Raises the configuration version that this node's heartbeats carry; a lower one has no
    /// effect.
    pub fn set_configuration_version(&mut self, version: ConfigurationVersion) {
        self.configuration_version = self.configuration_version.max(version);
    }

    /// Returns the members with the highest version of the configuration, if it is higher than this
    /// node's.
    pub fn configuration_hint(&self) -> Option<ConfigurationHint> {
        let mut hint: Option<ConfigurationHint> = None;
        for entry in self.table.entries() {
            let version = entry.configuration_version;
            let floor = hint.as_ref().map_or(self.configuration_version + 1, |hint| hint.version);
            if version < floor || self.observed_member(entry).state >= MemberState::CutOff {
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

    /// Returns a member as this node observes it: as gossiped, or [`MemberState::CutOff`] if its
    /// data centre is unreachable.
    fn observed_member(&self, entry: &MemberEntry) -> Member {
        let mut member = entry.member.clone();
        let unreachable = self.reachability.is_unreachable(&member.data_center);
        if unreachable && member.state < MemberState::CutOff {
            member.state = MemberState::CutOff;
        }
        member
    }

    /// Applies an update about any node and queues it for gossip if it is new.
    fn apply_update(&mut self, now: Duration, update: &Member) {
        if update.vm == self.own.vm {
            self.refute(update);
            return;
        }
        if update.data_center != self.own.data_center {
            self.reachability.watch(&update.data_center, now);
        }
        if let Some(change) = self.table.merge(now, update) {
            self.gossip_queue.push(&change.vm);
            self.record_change(change);
        }
    }

    /// Refutes a false update about this node by a greater incarnation.
    fn refute(&mut self, update: &Member) {
        let newer_incarnation = update.incarnation > self.own.incarnation;
        let greater_state = update.state > self.own.state;
        let current = update.incarnation == self.own.incarnation;
        if newer_incarnation || (current && greater_state) {
            self.own.incarnation = update.incarnation + 1;
            self.revision += 1;
            self.update_digest();
            let vm = self.own.vm.clone();
            self.gossip_queue.push(&vm);
        }
    }

    fn record_change(&mut self, change: MemberChange) {
        self.changes.push(change);
        self.revision += 1;
        self.update_digest();
    }

    fn update_digest(&mut self) {
        self.digest = self.table.digest() ^ member_digest(&self.own);
    }

    /// Returns one of the candidates at random.
    fn choose_random<T: Clone>(&mut self, candidates: &[T]) -> Option<T> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..candidates.len());
        candidates.get(index).cloned()
    }

    fn members_where(&self, predicate: impl Fn(&MemberEntry) -> bool) -> Vec<Member> {
        let entries = self.table.entries().iter().filter(|entry| predicate(entry));
        entries.map(|entry| entry.member.clone()).collect()
    }

    fn is_local(&self, member: &Member) -> bool {
        member.data_center == self.own.data_center
    }
}
