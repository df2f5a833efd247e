//! Sends datagrams to peers and handles those that arrive.

use super::paces::PaceRounds;
use super::report::{PeerReport, build_report, instance_id};
use crate::admission::WorkspaceQuotaReport;
use crate::crash_suspects;
use crate::log::event::{PeerChanged, ZoneChanged};
use crate::node::Node;
use crate::rollouts::RolloutReport;
use crate::servers::{
    ReportedBrittleServer, ReportedNotices, apply_reported_brittle_servers, apply_reported_notices,
};
use crate::shared_reads::{self, StoreQuery, StoreReply};
use fl_limits::QuotaReport;
use fl_routing::crash_suspects::Suspect;
use fl_routing::peer_loads::AnnouncedCall;
use fl_routing::rendezvous::name_hash;
use fl_routing::report_rounds::ReportRounds;
use fl_routing::server_pace::SharedPaces;
use fl_routing::server_speed::AnnouncedSlowdown;
use fl_routing::stream_origins::{StreamHash, StreamOrigin};
use fl_routing::zone_reachability::unreachable_zones;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Size limit of a received datagram. A longer one is cut off, so it cannot be decoded.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;

/// How often all that is quarantined is repeated, for nodes that started or missed it.
const SUSPECTS_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A message between nodes, encoded with postcard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// The state that a node reports to all others.
    Report(Box<PeerReport>),
    /// A query for a node's state of the store.
    Query(StoreQuery),
    /// The reply of an earlier build, whose revisions say nothing of the store's incarnation. It is
    /// ignored: a node reads the store itself while it hears no other reply.
    RevisionReply,
    /// What backend servers asked of all nodes in responses to the sending node. A message of its
    /// own, so that nodes of an earlier build still understand the reports.
    Notices(Vec<ReportedNotices>),
    /// The reply to a query.
    Reply(StoreReply),
    /// What the sending node knows of what crashes servers.
    CrashSuspects(Vec<Suspect>),
    /// A stream and what began it: news for the nodes that remember it, or the reply to a query.
    StreamBegan(StreamHash, StreamOrigin),
    /// A query for what began a stream. There is no reply if it is not known.
    OriginQuery(StreamHash),
    /// The sending node reaches no backend server. Repeated with each report for as long as that
    /// holds.
    LinksLost,
    /// What the sending node heard of brittle servers.
    BrittleServers(Vec<ReportedBrittleServer>),
    /// The sending node has just sent a call with a long prompt to a backend server.
    CallAnnounced(AnnouncedCall),
    /// What the sending node observed of servers' speed.
    ServerPaces(SharedPaces),
    /// A backend server has just stated to the sending node that it became slower or faster.
    SlowdownStated(AnnouncedSlowdown),
    /// What the sending node knows of the moves of services to new software versions.
    Rollouts(Vec<RolloutReport>),
}

impl Datagram {
    /// Sends the datagram. A failure is ignored, as the next datagram makes up for it.
    pub fn send(&self, socket: &UdpSocket, to: SocketAddr) {
        if let Ok(bytes) = postcard::to_stdvec(self) {
            send_bytes(socket, &bytes, to);
        }
    }
}

/// Sends an encoded datagram. A failure is only counted, as the next datagram makes up for it.
fn send_bytes(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    metrics::counter!("fl_peer_datagrams_sent_total").increment(1);
    metrics::counter!("fl_peer_bytes_sent_total").increment(bytes.len() as u64);
    if let Err(error) = socket.try_send_to(bytes, to) {
        let labels = [("cause", error.kind().to_string())];
        metrics::counter!("fl_peer_datagrams_unsent_total", &labels).increment(1);
    }
}

/// Sends reports to the peers, as [`ReportRounds`] decides, until the node ends.
pub async fn send_reports(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut rounds = ReportRounds::default();
    let mut suspects_repeated_at = Instant::now();
    let mut repeats_suspects = false;
    let mut paces = PaceRounds::default();
    loop {
        if rounds.begins_round() {
            update_peer_state(&node);
            repeats_suspects = suspects_repeated_at.elapsed() >= SUSPECTS_REPEAT_INTERVAL;
            if repeats_suspects {
                suspects_repeated_at = Instant::now();
            }
            paces.begin_round(&node);
        }
        let receivers = rounds.next_receivers(&node.peers.addresses());
        send_state(&node, &socket, &receivers, repeats_suspects);
        paces.send(&socket, &receivers);
        let peers = node.peers.addresses().len();
        let (pause, urgent_pause) = rounds.pauses();
        if node.sleep(urgent_pause).await.is_none() {
            return;
        }
        tokio::select! {
            () = node.cancel.cancelled() => return,
            () = tokio::time::sleep(pause.saturating_sub(urgent_pause)) => {}
            () = node.peers.urgent_report.notified() => rounds.hurry(peers),
            () = node.rollouts.wait_for_urgent() => rounds.hurry(peers),
        }
    }
}

/// Updates what follows from the peers' reports.
fn update_peer_state(node: &Node) {
    let silent_peers = node.peers.update_silent_peers();
    node.servers.forget_peer_loads(silent_peers.iter().map(|peer| peer.address_hash));
    for peer in &silent_peers {
        let silent_ms = peer.silence.as_millis() as u64;
        node.log.write(&PeerChanged { peer: &peer.vm, change: "silent", silent_ms });
    }
    let owns_slots = !node.is_leaving() && !node.links.are_lost();
    let nodes = node.peers.admitting_nodes_ranked(owns_slots);
    node.servers.set_admitting_nodes(nodes, node.peers.silence_limit());
    update_unreachable_zones(node);
    let instance_ids = node.peers.quota_instance_ids();
    node.quotas.retain_peers(|peer| instance_ids.contains(&peer));
    node.quotas.set_sharing(node.peers.quota_sharing());
}

/// Sends all that peers have to know to some of them.
fn send_state(node: &Node, socket: &UdpSocket, receivers: &[SocketAddr], repeats_suspects: bool) {
    if receivers.is_empty() {
        return;
    }
    send_to(socket, receivers, &Datagram::Report(Box::new(build_report(node))));
    if node.links.are_lost() {
        send_to(socket, receivers, &Datagram::LinksLost);
    }
    let notices = node.servers.notices_to_report();
    if !notices.is_empty() {
        send_to(socket, receivers, &Datagram::Notices(notices));
    }
    let brittle = node.servers.brittle_servers_to_report();
    if !brittle.is_empty() {
        send_to(socket, receivers, &Datagram::BrittleServers(brittle));
    }
    let suspects = node.crash_suspects.report(repeats_suspects);
    if !suspects.is_empty() {
        send_to(socket, receivers, &Datagram::CrashSuspects(suspects));
    }
    let servers = &node.servers;
    let rollouts = node.rollouts.reports(|service, to| servers.in_flight_at_others(service, to));
    if !rollouts.is_empty() {
        send_to(socket, receivers, &Datagram::Rollouts(rollouts));
    }
}

/// Sends a datagram to several peers.
pub(super) fn send_to(socket: &UdpSocket, receivers: &[SocketAddr], datagram: &Datagram) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else { return };
    for address in receivers {
        send_bytes(socket, &bytes, *address);
    }
}

fn update_unreachable_zones(node: &Node) {
    let zones =
        unreachable_zones(&node.peers.report_ages(), &node.settings.zone, node.peers.interval());
    for (zone, change) in node.servers.set_unreachable_zones(zones) {
        node.log.write(&ZoneChanged { data_centre: &zone, change });
    }
}

/// Receives and handles datagrams until the node ends.
pub async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    while let Some(received) = node.cancel.run_until_cancelled(socket.recv_from(&mut buffer)).await
    {
        let Ok((size, from)) = received else { continue };
        metrics::counter!("fl_peer_datagrams_received_total").increment(1);
        match postcard::from_bytes::<Datagram>(&buffer[..size]) {
            Ok(Datagram::Report(report)) => receive_report(&node, from, *report),
            Ok(Datagram::Query(query)) => {
                let reply = shared_reads::reply_to(&node, query);
                Datagram::Reply(reply).send(&socket, from);
            }
            Ok(Datagram::RevisionReply) => {}
            Ok(Datagram::Reply(reply)) => shared_reads::apply_reply(&node, reply),
            Ok(Datagram::StreamBegan(stream, origin)) => node.stream_origins.record(stream, origin),
            Ok(Datagram::OriginQuery(stream)) => {
                if let Some(origin) = node.stream_origins.find(stream) {
                    Datagram::StreamBegan(stream, origin).send(&socket, from);
                }
            }
            Ok(Datagram::CrashSuspects(suspects)) => {
                crash_suspects::merge(&node, &suspects, "peer")
            }
            Ok(Datagram::LinksLost) => node.peers.note_links_lost(from),
            Ok(Datagram::BrittleServers(reported)) => {
                apply_reported_brittle_servers(&node, &reported);
            }
            Ok(Datagram::CallAnnounced(call)) => {
                node.servers.apply_announced_call(name_hash(&from.to_string()), call);
            }
            Ok(Datagram::ServerPaces(shared)) => {
                node.servers.apply_shared_paces(name_hash(&from.to_string()), &shared);
            }
            Ok(Datagram::SlowdownStated(slowdown)) => {
                node.servers.apply_announced_slowdown(slowdown);
            }
            Ok(Datagram::Rollouts(reports)) => {
                node.rollouts.merge(from, reports, || node.peers.reporting_addresses());
            }
            Ok(Datagram::Notices(notices)) => apply_reported_notices(&node, &notices),
            Err(_) => metrics::counter!("fl_peer_reports_unreadable_total").increment(1),
        }
    }
}

fn receive_report(node: &Node, from: SocketAddr, mut report: PeerReport) {
    node.route_table.note_version(report.table_version);
    let vm = report.vm.clone();
    let quota_reports =
        report.quotas.iter().map(|(workspace, taken, level, provisional)| WorkspaceQuotaReport {
            workspace: workspace.clone(),
            report: QuotaReport { taken: *taken, level: *level, is_provisional: *provisional },
        });
    node.quotas.apply_reports(instance_id(&report), &quota_reports.collect::<Vec<_>>());
    let list_changed = report.is_fresh && report.registry_digest != node.servers.digest();
    let (report_id, loads) = (report.id(), std::mem::take(&mut report.loads));
    if let Some(applied) = node.peers.apply_report(from, report) {
        node.servers.apply_peer_loads(applied.address_hash, report_id, &loads);
        if let Some(silence) = applied.silence {
            let silent_ms = silence.as_millis() as u64;
            node.log.write(&PeerChanged { peer: &vm, change: "heard", silent_ms });
        }
    }
    if list_changed && shared_reads::chosen_reader(node) == Some(from) {
        node.peers.notify_reader_list_change();
    }
}
