//! Composes datagrams: queued updates first, then a part of the member table, then payloads.

use super::{MembershipState, OutgoingDatagram};
use crate::budget::IP_UDP_HEADER_BYTES;
use crate::codec::{
    Body, ContactAge, Datagram, MAX_DATAGRAM_BYTES, PiggybackedPayload, TAG_BYTES, encode,
    encoded_len,
};
use fl_protocol::{Member, MemberState};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes reserved for the encoded lengths of a datagram's lists.
const LIST_LENGTHS_BYTES: usize = 8;

impl MembershipState {
    /// Builds a datagram to a peer, with piggybacked updates, table entries and payloads.
    pub(super) fn compose(
        &mut self,
        now: Duration,
        peer: Option<&Member>,
        to: SocketAddr,
        body: Body,
    ) -> Option<OutgoingDatagram> {
        let local = peer.is_some_and(|peer| self.is_local(peer));
        let mut datagram = self.empty_datagram(now, local, body);
        let base_bytes = TAG_BYTES + LIST_LENGTHS_BYTES + encoded_len(&datagram);
        let mut free_bytes = MAX_DATAGRAM_BYTES.saturating_sub(base_bytes);
        self.add_updates(peer, &mut datagram, &mut free_bytes);
        let budgeted_bytes =
            self.budget.available_bytes().saturating_sub(base_bytes + IP_UDP_HEADER_BYTES);
        free_bytes = free_bytes.min(budgeted_bytes);
        if self.digests_differ {
            self.add_table_part(&mut datagram, &mut free_bytes);
        }
        self.add_payloads(local, &mut datagram, &mut free_bytes);
        self.encode_datagram(to, &datagram)
    }

    /// Builds the datagrams that carry the whole member table to a joining node.
    pub(super) fn compose_table(
        &mut self,
        now: Duration,
        joiner: &Member,
    ) -> Vec<OutgoingDatagram> {
        let mut members = self.members_where(|entry| entry.member.state != MemberState::Dead);
        members.push(self.own.clone());
        let mut outgoing = Vec::new();
        let mut rest = members.as_slice();
        while !rest.is_empty() {
            let body = Body::Table { from: self.own.clone() };
            let mut datagram = self.empty_datagram(now, self.is_local(joiner), body);
            let base_bytes = TAG_BYTES + LIST_LENGTHS_BYTES + encoded_len(&datagram);
            let mut free_bytes = MAX_DATAGRAM_BYTES.saturating_sub(base_bytes);
            let taken =
                rest.iter().take_while(|member| reserve_bytes(*member, &mut free_bytes)).count();
            datagram.updates = rest[..taken].to_vec();
            rest = &rest[taken.max(1)..];
            outgoing.extend(self.encode_datagram(joiner.gossip_address, &datagram));
        }
        outgoing
    }

    fn empty_datagram(&self, now: Duration, local: bool, body: Body) -> Datagram {
        let contacts: Vec<ContactAge> =
            if local { self.reachability.ages(now) } else { Vec::new() };
        Datagram {
            body,
            configuration_version: self.configuration_version,
            table_digest: self.digest,
            contacts,
            updates: Vec::new(),
            payloads: Vec::new(),
        }
    }

    fn add_updates(
        &mut self,
        peer: Option<&Member>,
        datagram: &mut Datagram,
        free_bytes: &mut usize,
    ) {
        // A peer that is not considered alive gets its own entry first, so that it can refute it.
        let about_peer = peer.and_then(|peer| self.table.find(&peer.vm));
        let not_alive = about_peer.filter(|entry| entry.member.state != MemberState::Alive);
        if let Some(entry) = not_alive
            && reserve_bytes(&entry.member, free_bytes)
        {
            datagram.updates.push(entry.member.clone());
        }
        let fleet_size = self.table.entries().len() + 1;
        for vm in self.gossip_queue.pending() {
            let own = (vm == self.own.vm).then_some(&self.own);
            let known = own.or_else(|| self.table.find(&vm).map(|entry| &entry.member));
            if let Some(member) = known {
                if !reserve_bytes(member, free_bytes) {
                    break;
                }
                datagram.updates.push(member.clone());
            }
            self.gossip_queue.mark_sent(&vm, fleet_size);
        }
    }

    /// Adds the next entries of the member table, in at most half of the free bytes, so that
    /// payloads are still sent while two tables differ.
    fn add_table_part(&mut self, datagram: &mut Datagram, free_bytes: &mut usize) {
        let part_bytes = *free_bytes / 2;
        let mut part_free_bytes = part_bytes;
        let entries = self.table.entries();
        for _ in 0..entries.len() {
            let Some(entry) = entries.get(self.sync_cursor % entries.len()) else { break };
            if entry.member.state != MemberState::Dead {
                if !reserve_bytes(&entry.member, &mut part_free_bytes) {
                    break;
                }
                datagram.updates.push(entry.member.clone());
            }
            self.sync_cursor = (self.sync_cursor + 1) % entries.len();
        }
        *free_bytes -= part_bytes - part_free_bytes;
    }

    fn add_payloads(&mut self, local: bool, datagram: &mut Datagram, free_bytes: &mut usize) {
        if !local {
            self.add_own_payload(datagram, free_bytes);
            return;
        }
        let peers =
            self.table.entries().iter().filter(|entry| self.is_local(&entry.member)).count();
        for vm in self.payloads.pending() {
            if let Some(payload) = self.payloads.find(&vm) {
                if !reserve_bytes(payload, free_bytes) {
                    break;
                }
                datagram.payloads.push(payload.clone());
            }
            self.payloads.mark_sent(&vm, peers);
        }
    }

    fn add_own_payload(&mut self, datagram: &mut Datagram, free_bytes: &mut usize) {
        let own: Option<&PiggybackedPayload> = self.payloads.find(&self.own.vm);
        if let Some(payload) = own.filter(|payload| reserve_bytes(*payload, free_bytes)) {
            datagram.payloads.push(payload.clone());
        }
    }

    fn encode_datagram(&mut self, to: SocketAddr, datagram: &Datagram) -> Option<OutgoingDatagram> {
        let bytes = encode(&self.config.key, datagram).ok()?;
        self.budget.spend(bytes.len());
        self.traffic.sent_bytes += (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        Some(OutgoingDatagram { to, bytes })
    }
}

fn reserve_bytes<T: serde::Serialize>(part: &T, free_bytes: &mut usize) -> bool {
    let part_bytes = encoded_len(part);
    if part_bytes > *free_bytes {
        return false;
    }
    *free_bytes -= part_bytes;
    true
}
