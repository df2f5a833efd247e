//! Periodic work: heartbeats, probe timeouts and failure detection.

use super::{MembershipState, OutgoingDatagram};
use crate::codec::Body;
use crate::member_table::MemberChange;
use crate::probes::Probe;
use fl_protocol::{DataCenterName, Member, MemberState};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of peers that are asked to ping a member that did not answer.
const INDIRECT_PEERS: usize = 3;
/// Number of peers that are notified directly when this node leaves.
const LEAVE_PEERS: usize = 8;
/// Heartbeats between two attempts to reach seeds and dead members again.
const REJOIN_HEARTBEATS: u64 = 10;
/// Number of seeds that a node without live members contacts in one heartbeat.
const JOIN_SEEDS: usize = 3;
/// Average number of nodes of one data centre that probe another one in one heartbeat.
const PROBES_PER_REMOTE_DATA_CENTER: f64 = 2.0;
/// Suspicion timeouts without contact after which every node probes a data centre itself; a contact
/// of another node takes a few heartbeats to become known.
const OVERDUE_SUSPICIONS: u32 = 2;
/// Suspicion timeouts that a node which receives nothing waits before it marks a peer dead, because
/// the fault is then most likely its own.
const ISOLATED_SUSPICIONS: u32 = 5;

impl MembershipState {
    /// Performs the work that is due and returns the datagrams to send; call it several times per
    /// heartbeat.
    pub fn on_tick(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        self.budget.refill(now);
        self.handle_own_pause(now);
        let mut outgoing = self.send_indirect_probes(now);
        self.handle_failed_probes(now);
        self.mark_suspects_dead(now);
        self.mark_unreachable(now);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.config.heartbeat;
            outgoing.extend(self.send_heartbeat(now));
        }
        outgoing
    }

    /// Marks this node as leaving; notifies some peers directly and the others by gossip.
    pub fn leave(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        self.own.state = MemberState::Leaving;
        self.revision += 1;
        self.update_digest();
        let vm = self.own.vm.clone();
        self.gossip_queue.push(&vm);
        let mut peers = self.members_where(|entry| entry.member.state == MemberState::Alive);
        peers.shuffle(&mut self.random);
        peers.truncate(LEAVE_PEERS);
        peers.iter().filter_map(|peer| self.send_ping(now, peer, None)).collect()
    }

    /// Resets probes and timeouts after a pause of this node, because it could not receive the
    /// responses of its peers meanwhile.
    fn handle_own_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        if gap < self.config.heartbeat {
            return;
        }
        self.probes.clear();
        self.reachability.reset_silence(now);
        let suspects = self.members_where(|entry| entry.suspected_at.is_some());
        for suspect in suspects {
            if let Some(entry) = self.table.find_mut(&suspect.vm) {
                entry.suspected_at = Some(now);
            }
        }
    }

    fn send_heartbeat(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        self.heartbeat_count += 1;
        self.table.remove_expired(now);
        let table = &self.table;
        let own_vm = &self.own.vm;
        self.payloads.retain(|vm| vm == own_vm || table.find(vm).is_some());
        let mut outgoing: Vec<OutgoingDatagram> =
            self.probe_local_member(now).into_iter().collect();
        outgoing.extend(self.probe_other_data_centers(now));
        outgoing.extend(self.rejoin(now));
        outgoing
    }

    /// Probes the next member of this data centre; each round visits all of them in random order.
    fn probe_local_member(&mut self, now: Duration) -> Option<OutgoingDatagram> {
        for _ in 0..=self.table.entries().len() {
            if self.probe_round.is_empty() {
                self.refill_probe_round();
            }
            let vm = self.probe_round.pop()?;
            let target = self.table.find(&vm).map(|entry| entry.member.clone());
            if let Some(target) = target.filter(|member| member.state != MemberState::Dead) {
                return self.send_ping(now, &target, None);
            }
        }
        None
    }

    fn refill_probe_round(&mut self) {
        let local = self.local_members();
        self.probe_round = local.into_iter().map(|member| member.vm).collect();
        self.probe_round.shuffle(&mut self.random);
    }

    fn local_members(&self) -> Vec<Member> {
        self.members_where(|entry| {
            entry.member.state != MemberState::Dead && self.is_local(&entry.member)
        })
    }

    /// Probes other data centres without a contact during the last heartbeat.
    ///
    /// The nodes of a data centre share these probes, so that each node sends fewer as its data
    /// centre grows. Once a contact is overdue, every node probes the data centre itself.
    fn probe_other_data_centers(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let local_count = self.local_members().len() + 1;
        let share = (PROBES_PER_REMOTE_DATA_CENTER / local_count as f64).min(1.0);
        let heartbeat = self.config.heartbeat;
        let overdue_after = self.config.suspicion * OVERDUE_SUSPICIONS;
        let mut due: Vec<DataCenterName> = Vec::new();
        for contact in self.reachability.contacts() {
            let age = now.saturating_sub(contact.last_contact_at);
            let overdue = age >= overdue_after && !contact.unreachable;
            if overdue || (age >= heartbeat && self.random.random_bool(share)) {
                due.push(contact.data_center.clone());
            }
        }
        due.iter().filter_map(|data_center| self.probe_random_member_of(now, data_center)).collect()
    }

    fn probe_random_member_of(
        &mut self,
        now: Duration,
        data_center: &str,
    ) -> Option<OutgoingDatagram> {
        let members = self.members_where(|entry| {
            entry.member.state != MemberState::Dead && entry.member.data_center == data_center
        });
        let target = self.choose_random(&members)?;
        self.send_ping(now, &target, None)
    }

    /// Asks seeds for the member table while this node knows no live member, and from time to time
    /// contacts unreached seeds and dead members.
    fn rejoin(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let alone = self.members_where(|entry| entry.member.state != MemberState::Dead).is_empty();
        if !alone && !self.heartbeat_count.is_multiple_of(REJOIN_HEARTBEATS) {
            return Vec::new();
        }
        let mut outgoing = Vec::new();
        let mut unreached = self.unreached_seeds();
        unreached.shuffle(&mut self.random);
        unreached.truncate(if alone { JOIN_SEEDS } else { 1 });
        for seed in unreached {
            let body = Body::Join { from: self.own.clone() };
            outgoing.extend(self.compose(now, None, seed, body));
        }
        let dead = self.members_where(|entry| entry.member.state == MemberState::Dead);
        if let Some(target) = self.choose_random(&dead) {
            outgoing.extend(self.send_ping(now, &target, None));
        }
        outgoing
    }

    fn unreached_seeds(&self) -> Vec<SocketAddr> {
        let live = self.members_where(|entry| entry.member.state != MemberState::Dead);
        let known = |seed: &SocketAddr| live.iter().any(|member| member.gossip_address == *seed);
        let seeds = self.config.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.own.gossip_address && !known(seed)).collect()
    }

    fn send_indirect_probes(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        // A probe fails after one heartbeat; the rest of it is left for the indirect pings.
        let after = self.config.heartbeat * 2 / 5;
        let mut outgoing = Vec::new();
        for probe in self.probes.take_indirect(now, after) {
            let Some(entry) = self.table.find(&probe.target) else { continue };
            let target = entry.member.clone();
            if self.is_local(&target) && target.state != MemberState::Dead {
                outgoing.extend(self.send_indirect_pings(now, &probe));
            }
        }
        outgoing
    }

    /// Asks peers to ping a member that did not answer, peers in this data centre first.
    fn send_indirect_pings(&mut self, now: Duration, probe: &Probe) -> Vec<OutgoingDatagram> {
        let mut peers = self.members_where(|entry| {
            entry.member.state == MemberState::Alive && entry.member.vm != probe.target
        });
        peers.shuffle(&mut self.random);
        peers.sort_by_key(|peer| !self.is_local(peer));
        peers.truncate(INDIRECT_PEERS);
        let mut outgoing = Vec::new();
        for peer in peers {
            let (sequence, target) = (probe.sequence, probe.target.clone());
            let body = Body::IndirectPing { sequence, target, from: self.own.clone() };
            outgoing.extend(self.compose(now, Some(&peer), peer.gossip_address, body));
        }
        outgoing
    }

    fn handle_failed_probes(&mut self, now: Duration) {
        for probe in self.probes.take_failed(now, self.config.heartbeat) {
            let Some(entry) = self.table.find(&probe.target) else { continue };
            let member = entry.member.clone();
            if member.data_center != self.own.data_center {
                self.reachability.record_failed_probe(&member.data_center);
            } else if member.incarnation == probe.incarnation {
                self.suspect(now, &member);
            }
        }
    }

    /// Suspects a member of this node's data centre.
    ///
    /// Members of other data centres are left to their local peers, because their silence may be a
    /// network partition.
    fn suspect(&mut self, now: Duration, member: &Member) {
        match member.state {
            MemberState::Alive => {
                self.apply_update(now, &Member { state: MemberState::Suspect, ..member.clone() });
            }
            MemberState::Leaving => {
                if let Some(entry) = self.table.find_mut(&member.vm) {
                    entry.suspected_at.get_or_insert(now);
                }
            }
            MemberState::Suspect | MemberState::CutOff | MemberState::Dead => {}
        }
    }

    fn mark_suspects_dead(&mut self, now: Duration) {
        let local_suspects =
            self.table.entries().iter().filter(|entry| self.is_local(&entry.member));
        let mut dead = Vec::new();
        for entry in local_suspects {
            let Some(suspected_at) = entry.suspected_at else { continue };
            let isolated = self.last_received_at <= suspected_at;
            let factor = if isolated { ISOLATED_SUSPICIONS } else { 1 };
            if now.saturating_sub(suspected_at) >= self.config.suspicion * factor {
                dead.push(Member { state: MemberState::Dead, ..entry.member.clone() });
            }
        }
        for member in dead {
            self.apply_update(now, &member);
        }
    }

    fn mark_unreachable(&mut self, now: Duration) {
        for data_center in self.reachability.detect_unreachable(now) {
            for member in self.members_where(|entry| entry.member.data_center == data_center) {
                if member.state < MemberState::CutOff {
                    let before = Some(member.state);
                    self.record_change(MemberChange {
                        vm: member.vm,
                        before,
                        after: MemberState::CutOff,
                    });
                }
            }
        }
    }
}
