//! How datagrams are filled: news first, then parts of the table, then payloads.

use super::{MembershipState, OutgoingDatagram};
use crate::budget::IP_UDP_HEADER_BYTES;
use crate::codec::{
    Body, ContactAge, Datagram, MAX_DATAGRAM_BYTES, PiggybackedPayload, TAG_BYTES, encode,
    encoded_bytes,
};
use fl_protocol::{Member, MemberState};
use std::net::SocketAddr;
use std::time::Duration;

/// Room for the lengths of a datagram's lists, in bytes.
const LENGTHS_BYTES: usize = 8;

impl MembershipState {
    /// Builds one datagram to a peer, with whatever rides on it.
    pub(super) fn compose(
        &mut self,
        now: Duration,
        peer: Option<&Member>,
        to: SocketAddr,
        body: Body,
    ) -> Option<OutgoingDatagram> {
        let near = peer.is_some_and(|peer| self.is_near(peer));
        let mut datagram = self.empty_datagram(now, near, body);
        let base_bytes = TAG_BYTES + LENGTHS_BYTES + encoded_bytes(&datagram);
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(base_bytes);
        self.add_news(peer, &mut datagram, &mut room);
        let allowed =
            self.budget.available_bytes().saturating_sub(base_bytes + IP_UDP_HEADER_BYTES);
        room = room.min(allowed);
        if self.digests_differ {
            self.add_table_part(&mut datagram, &mut room);
        }
        self.add_payloads(near, &mut datagram, &mut room);
        self.seal(to, &datagram)
    }

    /// Builds the datagrams that carry the whole table to a node that joins.
    pub(super) fn compose_table(
        &mut self,
        now: Duration,
        joiner: &Member,
    ) -> Vec<OutgoingDatagram> {
        let mut members = self.entries_where(|entry| entry.member.state != MemberState::Dead);
        members.push(self.own.clone());
        let mut outgoing = Vec::new();
        let mut rest = members.as_slice();
        while !rest.is_empty() {
            let body = Body::Table { from: self.own.clone() };
            let mut datagram = self.empty_datagram(now, self.is_near(joiner), body);
            let base_bytes = TAG_BYTES + LENGTHS_BYTES + encoded_bytes(&datagram);
            let mut room = MAX_DATAGRAM_BYTES.saturating_sub(base_bytes);
            let taken = rest.iter().take_while(|member| take_room(*member, &mut room)).count();
            datagram.updates = rest[..taken].to_vec();
            rest = &rest[taken.max(1)..];
            outgoing.extend(self.seal(joiner.gossip_address, &datagram));
        }
        outgoing
    }

    fn empty_datagram(&self, now: Duration, near: bool, body: Body) -> Datagram {
        let contacts: Vec<ContactAge> = if near { self.reachability.ages(now) } else { Vec::new() };
        Datagram {
            body,
            configuration_version: self.configuration_version,
            table_digest: self.digest,
            contacts,
            updates: Vec::new(),
            payloads: Vec::new(),
        }
    }

    fn add_news(&mut self, peer: Option<&Member>, datagram: &mut Datagram, room: &mut usize) {
        let about_peer = peer.and_then(|peer| self.table.find(&peer.vm));
        let wrong_belief = about_peer.filter(|entry| entry.member.state != MemberState::Alive);
        if let Some(entry) = wrong_belief
            && take_room(&entry.member, room)
        {
            datagram.updates.push(entry.member.clone());
        }
        let fleet_size = self.table.entries().len() + 1;
        for vm in self.gossip_queue.pending() {
            let own = (vm == self.own.vm).then_some(&self.own);
            let known = own.or_else(|| self.table.find(&vm).map(|entry| &entry.member));
            if let Some(member) = known {
                if !take_room(member, room) {
                    break;
                }
                datagram.updates.push(member.clone());
            }
            self.gossip_queue.mark_sent(&vm, fleet_size);
        }
    }

    /// Adds the next entries of the table, in at most half of the room, so that payloads still move
    /// while two tables differ.
    fn add_table_part(&mut self, datagram: &mut Datagram, room: &mut usize) {
        let part_bytes = *room / 2;
        let mut part_room = part_bytes;
        let entries = self.table.entries();
        for _ in 0..entries.len() {
            let Some(entry) = entries.get(self.sync_cursor % entries.len()) else { break };
            if entry.member.state != MemberState::Dead {
                if !take_room(&entry.member, &mut part_room) {
                    break;
                }
                datagram.updates.push(entry.member.clone());
            }
            self.sync_cursor = (self.sync_cursor + 1) % entries.len();
        }
        *room -= part_bytes - part_room;
    }

    fn add_payloads(&mut self, near: bool, datagram: &mut Datagram, room: &mut usize) {
        if !near {
            self.add_own_payload(datagram, room);
            return;
        }
        let peers = self.table.entries().iter().filter(|entry| self.is_near(&entry.member)).count();
        for vm in self.payloads.pending() {
            if let Some(payload) = self.payloads.find(&vm) {
                if !take_room(payload, room) {
                    break;
                }
                datagram.payloads.push(payload.clone());
            }
            self.payloads.mark_sent(&vm, peers);
        }
    }

    fn add_own_payload(&mut self, datagram: &mut Datagram, room: &mut usize) {
        let own: Option<&PiggybackedPayload> = self.payloads.find(&self.own.vm);
        if let Some(payload) = own.filter(|payload| take_room(*payload, room)) {
            datagram.payloads.push(payload.clone());
        }
    }

    fn seal(&mut self, to: SocketAddr, datagram: &Datagram) -> Option<OutgoingDatagram> {
        let bytes = encode(&self.config.key, datagram).ok()?;
        self.budget.spend(bytes.len());
        self.traffic.sent_bytes += (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        Some(OutgoingDatagram { to, bytes })
    }
}

fn take_room<T: serde::Serialize>(part: &T, room: &mut usize) -> bool {
    let part_bytes = encoded_bytes(part);
    if part_bytes > *room {
        return false;
    }
    *room -= part_bytes;
    true
}
