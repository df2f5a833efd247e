//! Handling of received datagrams.

use super::{MembershipState, OutgoingDatagram};
use crate::budget::IP_UDP_HEADER_BYTES;
use crate::codec::{Body, CodecError, Datagram, ProbeSequence, decode};
use crate::member_table::MemberChange;
use crate::probes::{Probe, ProbeStage, Relay};
use fl_protocol::{Member, MemberState};
use std::time::Duration;

impl MembershipState {
    /// Applies a received datagram and returns the datagrams to send.
    ///
    /// # Errors
    ///
    /// Returns an error, and counts the datagram as refused, if it cannot be authenticated or
    /// decoded.
    pub fn on_datagram(
        &mut self,
        now: Duration,
        bytes: &[u8],
    ) -> Result<Vec<OutgoingDatagram>, CodecError> {
        let datagram = match decode(&self.config.key, bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                self.traffic.refused += 1;
                return Err(error);
            }
        };
        self.traffic.received_bytes += (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        self.last_received_at = now;
        self.budget.refill(now);
        self.apply_datagram(now, &datagram);
        Ok(self.respond(now, datagram))
    }

    fn apply_datagram(&mut self, now: Duration, datagram: &Datagram) {
        if let Some(from) = sender(&datagram.body) {
            self.apply_update(now, from);
        }
        for update in &datagram.updates {
            self.apply_update(now, update);
        }
        self.digests_differ = datagram.table_digest != self.digest;
        let sender_vm = sender_vm(&datagram.body).to_string();
        self.record_sender(now, &sender_vm, datagram);
        for payload in &datagram.payloads {
            let owner = self.table.find(&payload.vm).map(|entry| entry.member.clone());
            let local = owner.as_ref().is_some_and(|owner| self.is_local(owner));
            if payload.vm != self.own.vm {
                self.payloads.merge(payload.clone(), local);
            }
        }
    }

    fn record_sender(&mut self, now: Duration, sender_vm: &str, datagram: &Datagram) {
        let Some(entry) = self.table.find_mut(sender_vm) else { return };
        let version = datagram.configuration_version;
        entry.configuration_version = entry.configuration_version.max(version);
        let data_center = entry.member.data_center.clone();
        if data_center != self.own.data_center {
            self.record_contact(now, &data_center, now);
            return;
        }
        for contact in &datagram.contacts {
            let age = Duration::from_millis(u64::from(contact.age_ms));
            self.record_contact(now, &contact.data_center, now.saturating_sub(age));
        }
    }

    fn record_contact(&mut self, now: Duration, data_center: &str, at: Duration) {
        if !self.reachability.record_contact(data_center, at, now) {
            return;
        }
        for member in self.members_where(|entry| entry.member.data_center == data_center) {
            if member.state < MemberState::CutOff {
                let before = Some(MemberState::CutOff);
                self.record_change(MemberChange { vm: member.vm, before, after: member.state });
            }
        }
    }

    fn respond(&mut self, now: Duration, datagram: Datagram) -> Vec<OutgoingDatagram> {
        match datagram.body {
            Body::Ping { sequence, target, from } if target == self.own.vm => {
                let body = Body::Ack { sequence, from: self.own.vm.clone() };
                self.compose(now, Some(&from), from.gossip_address, body).into_iter().collect()
            }
            Body::Ping { .. } | Body::Table { .. } => Vec::new(),
            Body::Ack { sequence, from } => self.on_ack(now, sequence, &from),
            Body::IndirectPing { sequence, target, from } => {
                let relay = Relay { address: from.gossip_address, sequence };
                self.probe_for_peer(now, &target, relay)
            }
            Body::Join { from } if datagram.table_digest == self.digest => {
                let body = Body::Table { from: self.own.clone() };
                self.compose(now, Some(&from), from.gossip_address, body).into_iter().collect()
            }
            Body::Join { from } => self.compose_table(now, &from),
        }
    }

    fn on_ack(
        &mut self,
        now: Duration,
        sequence: ProbeSequence,
        from: &str,
    ) -> Vec<OutgoingDatagram> {
        let Some(probe) = self.probes.acknowledge(sequence, from) else { return Vec::new() };
        if let Some(entry) = self.table.find_mut(from)
            && entry.member.state == MemberState::Leaving
        {
            entry.suspected_at = None;
        }
        let Some(relay) = probe.relay_to else { return Vec::new() };
        let body = Body::Ack { sequence: relay.sequence, from: from.to_string() };
        // The receiver takes the configuration version of an acknowledgement for that of the probed
        // member, so this node's own version is left out.
        let version = std::mem::take(&mut self.configuration_version);
        let outgoing = self.compose(now, None, relay.address, body);
        self.configuration_version = version;
        outgoing.into_iter().collect()
    }

    fn probe_for_peer(
        &mut self,
        now: Duration,
        target: &str,
        relay: Relay,
    ) -> Vec<OutgoingDatagram> {
        let Some(entry) = self.table.find(target) else { return Vec::new() };
        let member = entry.member.clone();
        self.send_ping(now, &member, Some(relay)).into_iter().collect()
    }

    /// Builds a ping to a member and records the probe.
    pub(super) fn send_ping(
        &mut self,
        now: Duration,
        target: &Member,
        relay_to: Option<Relay>,
    ) -> Option<OutgoingDatagram> {
        let sequence = self.probes.next_sequence();
        self.probes.add(Probe {
            sequence,
            target: target.vm.clone(),
            incarnation: target.incarnation,
            sent_at: now,
            stage: ProbeStage::Direct,
            relay_to,
        });
        let from = self.own.clone();
        let body = Body::Ping { sequence, target: target.vm.clone(), from };
        self.compose(now, Some(target), target.gossip_address, body)
    }
}

fn sender(body: &Body) -> Option<&Member> {
    match body {
        Body::Ping { from, .. }
        | Body::IndirectPing { from, .. }
        | Body::Join { from }
        | Body::Table { from } => Some(from),
        Body::Ack { .. } => None,
    }
}

fn sender_vm(body: &Body) -> &str {
    match body {
        Body::Ack { from, .. } => from,
        Body::Ping { from, .. }
        | Body::IndirectPing { from, .. }
        | Body::Join { from }
        | Body::Table { from } => &from.vm,
    }
}
