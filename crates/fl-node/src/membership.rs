//! Membership over UDP: the socket and the timer that drive [`fl_membership::MembershipState`].
//!
//! See `docs/design/060-membership.md`.

use crate::context::{ServiceContext, StartError};
use fl_config::Settings;
use fl_kernel::clock::unix_ms;
use fl_kernel::services::{EventLog, Membership};
use fl_kernel::{Registry, names};
use fl_membership::state::ConfigurationHint;
use fl_membership::{MemberChange, MembershipConfig, MembershipState, OutgoingDatagram, Traffic};
use fl_protocol::event::EventKind;
use fl_protocol::{ConfigurationVersion, Member, MemberState};
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::StdRng};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The registry name of the service itself, for services that piggyback on heartbeats.
pub const MEMBERSHIP_SERVICE: &str = "membership-service";
/// Ticks in one heartbeat interval; several, so that an unanswered probe is noticed early.
const TICKS_PER_HEARTBEAT: u32 = 10;
/// The shortest time between two ticks, however short the heartbeat interval is.
const MIN_TICK: Duration = Duration::from_millis(10);
/// Larger than the largest valid datagram, so that a longer one is recognized and not truncated to
/// a valid length.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// The membership service of this node.
pub struct MembershipService {
    state: Mutex<MembershipState>,
    socket: UdpSocket,
    started_at: Instant,
    revision: watch::Sender<u64>,
    registry: Arc<Registry>,
}

/// Starts membership and registers it.
pub async fn start(context: &ServiceContext) -> Result<Arc<MembershipService>, StartError> {
    let settings = &context.settings;
    let gossip = settings.listen.gossip;
    let socket = UdpSocket::bind(gossip)
        .await
        .map_err(|error| StartError::Listen(gossip.to_string(), error.to_string()))?;
    let config = MembershipConfig::new(
        settings.fleet.key,
        settings.membership.heartbeat,
        settings.membership.suspicion,
        settings.fleet.seeds.clone(),
    );
    let random = Box::new(StdRng::from_rng(&mut rand::rng()));
    let state = MembershipState::new(config, build_own_member(settings), random, Duration::ZERO);
    let service = Arc::new(MembershipService {
        state: Mutex::new(state),
        socket,
        started_at: Instant::now(),
        revision: watch::Sender::new(0),
        registry: context.registry.clone(),
    });
    context.registry.register::<dyn Membership>(names::MEMBERSHIP, service.clone())?;
    context.registry.register::<MembershipService>(MEMBERSHIP_SERVICE, service.clone())?;
    let tick = (settings.membership.heartbeat / TICKS_PER_HEARTBEAT).max(MIN_TICK);
    context.spawn(receive_datagrams(service.clone(), context.shutdown.clone()));
    context.spawn(run_ticks(service.clone(), tick, context.shutdown.clone()));
    Ok(service)
}

impl MembershipService {
    /// Sets the payload, at most 64 bytes, that is piggybacked on this node's heartbeats.
    ///
    /// Returns whether the payload was accepted.
    pub fn set_payload(&self, payload: Vec<u8>) -> bool {
        self.state.lock().set_payload(payload)
    }

    /// Returns the newest piggybacked payload of a member.
    pub fn payload(&self, vm: &str) -> Option<Vec<u8>> {
        self.state.lock().payload(vm)
    }

    /// Sets the version of the configuration that this node's heartbeats carry.
    pub fn set_configuration_version(&self, version: ConfigurationVersion) {
        self.state.lock().set_configuration_version(version);
    }

    /// Returns the members that have a higher version of the configuration than this node.
    pub fn configuration_hint(&self) -> Option<ConfigurationHint> {
        self.state.lock().configuration_hint()
    }

    /// Returns the totals of traffic sent, received and refused.
    pub fn traffic(&self) -> Traffic {
        self.state.lock().traffic()
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Sends the datagrams that the state asks for, and records its changes.
    async fn send_and_report(&self, outgoing: Vec<OutgoingDatagram>) {
        for datagram in outgoing {
            // The next heartbeat makes up for a lost datagram.
            let _ = self.socket.send_to(&datagram.bytes, datagram.to).await;
        }
        let (changes, revision, traffic) = {
            let mut state = self.state.lock();
            (state.take_changes(), state.revision(), state.traffic())
        };
        metrics::counter!("membership_sent_bytes").absolute(traffic.sent_bytes);
        metrics::counter!("membership_received_bytes").absolute(traffic.received_bytes);
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        for change in changes {
            self.record(&change);
        }
    }

    fn record(&self, change: &MemberChange) {
        let before = change.before.map_or("unknown".to_string(), |state| format!("{state:?}"));
        let detail = format!("{}: {before} to {:?}", change.vm, change.after);
        metrics::counter!("membership_changes", "to" => format!("{:?}", change.after)).increment(1);
        if let Ok(log) = self.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            log.record(EventKind::MemberChanged, None, detail);
        }
    }

    fn record_refused_datagram(&self, reason: String) {
        metrics::counter!("membership_datagrams_refused").increment(1);
        if let Ok(log) = self.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            log.record(EventKind::StrangerRefused, None, reason);
        }
    }
}

impl Membership for MembershipService {
    fn self_member(&self) -> Member {
        self.state.lock().own_member().clone()
    }

    fn members(&self) -> Vec<Member> {
        self.state.lock().members()
    }

    fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    fn leave(&self) {
        let outgoing = self.state.lock().leave(self.now());
        for datagram in outgoing {
            // If the socket buffer is full, the next heartbeats carry the same information.
            let _ = self.socket.try_send_to(&datagram.bytes, datagram.to);
        }
        let revision = self.state.lock().revision();
        self.revision.send_replace(revision);
    }
}

fn build_own_member(settings: &Settings) -> Member {
    Member {
        vm: settings.node.vm.clone(),
        data_center: settings.node.data_center.clone(),
        peer_address: settings.listen.peer_advertised,
        gossip_address: settings.listen.gossip_advertised,
        admin_address: settings.listen.admin,
        incarnation: unix_ms(),
        state: MemberState::Alive,
    }
}

async fn receive_datagrams(service: Arc<MembershipService>, cancel: CancellationToken) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let received = tokio::select! {
            () = cancel.cancelled() => return,
            received = service.socket.recv_from(&mut buffer) => received,
        };
        // An error here is the ICMP reply to an earlier datagram that was sent to a peer that is
        // gone.
        let Ok((size_bytes, source)) = received else { continue };
        let now = service.now();
        let result = service.state.lock().on_datagram(now, &buffer[..size_bytes]);
        match result {
            Ok(outgoing) => service.send_and_report(outgoing).await,
            Err(error) => service.record_refused_datagram(format!("{source}: {error}")),
        }
    }
}

async fn run_ticks(service: Arc<MembershipService>, tick: Duration, cancel: CancellationToken) {
    let mut interval = tokio::time::interval(tick);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = interval.tick() => {}
        }
        let now = service.now();
        let outgoing = service.state.lock().on_tick(now);
        service.send_and_report(outgoing).await;
    }
}
