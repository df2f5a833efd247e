//! What the passing of time brings about.

use super::{MembershipState, OutgoingDatagram};
use crate::codec::Body;
use crate::probes::Probe;
use crate::table::MemberChange;
use fl_protocol::{DataCenterName, Member, MemberState};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Peers that are asked to probe a member that did not answer.
const INDIRECT_PEERS: usize = 3;
/// Peers that are told at once that this node leaves.
const LEAVE_PEERS: usize = 8;
/// Heartbeats between two tries to reach seeds and dead members again.
const REJOIN_HEARTBEATS: u64 = 10;
/// Seeds a node that knows nobody asks in one heartbeat.
const JOIN_SEEDS: usize = 3;
/// Nodes of one data centre that probe another in one heartbeat, on average.
const CROSS_PROBES: f64 = 2.0;
/// Suspicion timeouts without word of a data centre after which each node probes it for itself;
/// word from others takes a few heartbeats to come around.
const OVERDUE_SUSPICIONS: u32 = 2;
/// A node that hears from nobody waits so many suspicion timeouts before it calls a peer dead,
/// since the fault is then most likely its own.
const ISOLATED_SUSPICIONS: u32 = 5;

impl MembershipState {
    /// Does what is due and gives the datagrams to send; call it several times a heartbeat.
    pub fn on_tick(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        self.budget.refill(now);
        self.excuse_own_pause(now);
        let mut outgoing = self.ask_peers(now);
        self.fail_probes(now);
        self.bury_suspects(now);
        self.judge_contacts(now);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.config.heartbeat;
            outgoing.extend(self.beat(now));
        }
        outgoing
    }

    /// Says that this node leaves, to some peers at once and to all by and by.
    pub fn leave(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        self.own.state = MemberState::Leaving;
        self.revision += 1;
        self.digest_changed();
        let vm = self.own.vm.clone();
        self.gossip_queue.push(&vm);
        let mut peers = self.entries_where(|entry| entry.member.state == MemberState::Alive);
        peers.shuffle(&mut self.random);
        peers.truncate(LEAVE_PEERS);
        peers.iter().filter_map(|peer| self.send_ping(now, peer, None)).collect()
    }

    /// A node that was paused must not blame its peers for the silence of that time.
    fn excuse_own_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        if gap < self.config.heartbeat {
            return;
        }
        self.probes.clear();
        self.reachability.reset_silence(now);
        let suspects = self.entries_where(|entry| entry.suspected_at.is_some());
        for suspect in suspects {
            if let Some(entry) = self.table.find_mut(&suspect.vm) {
                entry.suspected_at = Some(now);
            }
        }
    }

    fn beat(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        self.heartbeats += 1;
        self.table.remove_expired(now);
        let table = &self.table;
        let own_vm = &self.own.vm;
        self.payloads.retain(|vm| vm == own_vm || table.find(vm).is_some());
        let mut outgoing: Vec<OutgoingDatagram> = self.probe_near(now).into_iter().collect();
        outgoing.extend(self.probe_across(now));
        outgoing.extend(self.rejoin(now));
        outgoing
    }

    /// Probes the next member of the own data centre, all in turn in a random order.
    fn probe_near(&mut self, now: Duration) -> Option<OutgoingDatagram> {
        for _ in 0..=self.table.entries().len() {
            if self.round.is_empty() {
                self.refill_round();
            }
            let vm = self.round.pop()?;
            let target = self.table.find(&vm).map(|entry| entry.member.clone());
            if let Some(target) = target.filter(|member| member.state != MemberState::Dead) {
                return self.send_ping(now, &target, None);
            }
        }
        None
    }

    fn refill_round(&mut self) {
        let near = self.near_members();
        self.round = near.into_iter().map(|member| member.vm).collect();
        self.round.shuffle(&mut self.random);
    }

    fn near_members(&self) -> Vec<Member> {
        self.entries_where(|entry| {
            entry.member.state != MemberState::Dead && self.is_near(&entry.member)
        })
    }

    /// Probes data centres that were not heard from during the last heartbeat.
    ///
    /// The nodes of a data centre share these probes, so that a node's part of them shrinks as
    /// its data centre grows; when a contact grows old each node sees for itself.
    fn probe_across(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let near_count = self.near_members().len() + 1;
        let share = (CROSS_PROBES / near_count as f64).min(1.0);
        let heartbeat = self.config.heartbeat;
        let overdue_after = self.config.suspicion * OVERDUE_SUSPICIONS;
        let mut due: Vec<DataCenterName> = Vec::new();
        for contact in self.reachability.all() {
            let age = now.saturating_sub(contact.last_contact_at);
            let overdue = age >= overdue_after && !contact.unreachable;
            if overdue || (age >= heartbeat && self.random.random_bool(share)) {
                due.push(contact.data_center.clone());
            }
        }
        due.iter().filter_map(|data_center| self.probe_any_of(now, data_center)).collect()
    }

    fn probe_any_of(&mut self, now: Duration, data_center: &str) -> Option<OutgoingDatagram> {
        let members = self.entries_where(|entry| {
            entry.member.state != MemberState::Dead && entry.member.data_center == data_center
        });
        let target = self.pick(&members)?;
        self.send_ping(now, &target, None)
    }

    /// Asks seeds for the table while this node is alone, and now and then those it has lost.
    fn rejoin(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let alone = self.entries_where(|entry| entry.member.state != MemberState::Dead).is_empty();
        if !alone && !self.heartbeats.is_multiple_of(REJOIN_HEARTBEATS) {
            return Vec::new();
        }
        let mut outgoing = Vec::new();
        let mut lost = self.lost_seeds();
        lost.shuffle(&mut self.random);
        lost.truncate(if alone { JOIN_SEEDS } else { 1 });
        for seed in lost {
            let body = Body::Join { from: self.own.clone() };
            outgoing.extend(self.compose(now, None, seed, body));
        }
        let dead = self.entries_where(|entry| entry.member.state == MemberState::Dead);
        if let Some(target) = self.pick(&dead) {
            outgoing.extend(self.send_ping(now, &target, None));
        }
        outgoing
    }

    fn lost_seeds(&self) -> Vec<SocketAddr> {
        let live = self.entries_where(|entry| entry.member.state != MemberState::Dead);
        let known = |seed: &SocketAddr| live.iter().any(|member| member.gossip_address == *seed);
        let seeds = self.config.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.own.gossip_address && !known(seed)).collect()
    }

    fn ask_peers(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let after = self.config.heartbeat * 2 / 5;
        let mut outgoing = Vec::new();
        for probe in self.probes.take_indirect(now, after) {
            let Some(entry) = self.table.find(&probe.target) else { continue };
            let target = entry.member.clone();
            if self.is_near(&target) && target.state != MemberState::Dead {
                outgoing.extend(self.send_indirect(now, &probe));
            }
        }
        outgoing
    }

    /// Asks peers to probe a silent member, those of the own data centre first.
    fn send_indirect(&mut self, now: Duration, probe: &Probe) -> Vec<OutgoingDatagram> {
        let mut peers = self.entries_where(|entry| {
            entry.member.state == MemberState::Alive && entry.member.vm != probe.target
        });
        peers.shuffle(&mut self.random);
        peers.sort_by_key(|peer| !self.is_near(peer));
        peers.truncate(INDIRECT_PEERS);
        let mut outgoing = Vec::new();
        for peer in peers {
            let (sequence, target) = (probe.sequence, probe.target.clone());
            let body = Body::IndirectPing { sequence, target, from: self.own.clone() };
            outgoing.extend(self.compose(now, Some(&peer), peer.gossip_address, body));
        }
        outgoing
    }

    fn fail_probes(&mut self, now: Duration) {
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

    /// Only members of the own data centre are suspected: their peers there know best, and a
    /// silence from afar may be a cut.
    fn suspect(&mut self, now: Duration, member: &Member) {
        match member.state {
            MemberState::Alive => {
                self.learn(now, &Member { state: MemberState::Suspect, ..member.clone() });
            }
            MemberState::Leaving => {
                if let Some(entry) = self.table.find_mut(&member.vm) {
                    entry.suspected_at.get_or_insert(now);
                }
            }
            MemberState::Suspect | MemberState::CutOff | MemberState::Dead => {}
        }
    }

    fn bury_suspects(&mut self, now: Duration) {
        let near_suspects = self.table.entries().iter().filter(|entry| self.is_near(&entry.member));
        let mut dead = Vec::new();
        for entry in near_suspects {
            let Some(suspected_at) = entry.suspected_at else { continue };
            let isolated = self.last_received_at <= suspected_at;
            let factor = if isolated { ISOLATED_SUSPICIONS } else { 1 };
            if now.saturating_sub(suspected_at) >= self.config.suspicion * factor {
                dead.push(Member { state: MemberState::Dead, ..entry.member.clone() });
            }
        }
        for member in dead {
            self.learn(now, &member);
        }
    }

    fn judge_contacts(&mut self, now: Duration) {
        for data_center in self.reachability.detect_unreachable(now) {
            for member in self.entries_where(|entry| entry.member.data_center == data_center) {
                if member.state < MemberState::CutOff {
                    let before = Some(member.state);
                    self.note(MemberChange { vm: member.vm, before, after: MemberState::CutOff });
                }
            }
        }
    }
}
