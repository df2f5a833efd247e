//! The lease that lets one node of a data centre give orders to its engines.
//!
//! Only a few nodes of each data centre, chosen by rendezvous hashing, contend for it, so that the
//! reads of the table do not grow with the number of nodes. See
//! `docs/design/080-leases-and-fencing.md`.

use crate::context::{ServiceContext, StartError};
use fl_fleet::{Held, Lease, LeaseRow, LeaseWrite, Observed, RenewalOutcome};
use fl_kernel::services::{EventLog, Membership};
use fl_kernel::{Registry, names};
use fl_platform::lease_store::{LeaseStore, RowWithRevision};
use fl_protocol::event::EventKind;
use fl_protocol::rendezvous::sort_by_rank;
use fl_protocol::{DataCenterName, FencingToken, Member, MemberState, VmName};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The registry name of the [`LeaseService`].
pub const LEASE: &str = "lease";
/// How long the lease is valid after it is acquired or renewed.
pub const LEASE_TERM: Duration = Duration::from_secs(10);
/// The timeout of an order to an engine.
///
/// A new holder waits this long before its first order, since the last order of the former holder
/// may still be in flight.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Nodes of each data centre that contend for its lease.
const CONTENDERS_PER_DATA_CENTER: usize = 3;
/// Time between two checks of the lease, before jitter is applied.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// The rendezvous hashing key by which the nodes of a data centre agree on their contenders.
const CONTENDER_KEY: &[u8] = b"lease-contender";

/// The service that acquires, renews and releases the lease of this node's data centre.
pub struct LeaseService {
    held: Mutex<Option<HeldLease>>,
    started_at: Instant,
    registry: Arc<Registry>,
    own_vm: VmName,
    data_center: DataCenterName,
    store: LeaseStore,
}

#[derive(Clone)]
struct HeldLease {
    lease: Lease<Held>,
    acquired_at: Duration,
}

/// A write of the lease row that was sent and whose response was lost.
struct UnconfirmedWrite {
    write: LeaseWrite,
    sent_at: Duration,
}

/// The state of the lease between two checks.
enum State {
    Observed(Lease<Observed>, Option<UnconfirmedWrite>),
    Held(HeldLease),
}

/// Starts the lease service; it contends for the lease if the settings allow this node to.
pub fn start(context: &ServiceContext) -> Result<Arc<LeaseService>, StartError> {
    let settings = &context.settings;
    let timeout = settings.platform.request_timeout;
    let service = Arc::new(LeaseService {
        held: Mutex::new(None),
        started_at: Instant::now(),
        registry: context.registry.clone(),
        own_vm: settings.node.vm.clone(),
        data_center: settings.node.data_center.clone(),
        store: LeaseStore::new(settings.platform.table, timeout),
    });
    context.registry.register::<LeaseService>(LEASE, service.clone())?;
    if settings.fleet.control {
        context.spawn(contend(context.clone(), service.clone()));
    }
    Ok(service)
}

impl LeaseService {
    /// Returns the fencing token for an order that is sent now; `None` without a valid lease.
    ///
    /// Call this directly before each order: the process may have been paused since the last call
    /// for longer than the lease was valid.
    pub fn fencing_token(&self) -> Option<FencingToken> {
        let now = self.now();
        let held = self.held.lock();
        let held = held.as_ref()?;
        if now < fl_fleet::engine_orders::earliest_order_at(held.acquired_at, ORDER_TIMEOUT) {
            return None;
        }
        held.lease.fencing_token(now).ok()
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn record(&self, detail: String) {
        if let Ok(log) = self.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            log.record(EventKind::LeaseChanged, None, detail);
        }
    }

    fn is_contender(&self) -> bool {
        let Ok(membership) = self.registry.find::<dyn Membership>(names::MEMBERSHIP) else {
            return true;
        };
        let mut local_members: Vec<Member> = membership
            .members()
            .into_iter()
            .filter(|member| member.data_center == self.data_center)
            .filter(|member| member.state == MemberState::Alive || member.vm == self.own_vm)
            .collect();
        sort_by_rank(&mut local_members, CONTENDER_KEY, |member| &member.vm);
        local_members.iter().take(CONTENDERS_PER_DATA_CENTER).any(|member| member.vm == self.own_vm)
    }

    async fn update(&self, state: State) -> State {
        let state = match state {
            State::Observed(lease, sent) if self.is_contender() => self.acquire(lease, sent).await,
            State::Observed(lease, sent) => State::Observed(lease, sent),
            State::Held(held) => self.renew(held).await,
        };
        self.publish(&state);
        state
    }

    /// Reads the row, and writes it to acquire the lease if the lease is free.
    ///
    /// If the row is that of an unconfirmed write, the write took effect although its response was
    /// lost.
    async fn acquire(
        &self,
        lease: Lease<Observed>,
        unconfirmed: Option<UnconfirmedWrite>,
    ) -> State {
        let Ok(found) = self.store.read::<LeaseRow>(&self.data_center).await else {
            return State::Observed(lease, unconfirmed);
        };
        if let Some(unconfirmed) = unconfirmed
            && let Some((revision, row)) = &found
            && *row == unconfirmed.write.row
        {
            return self.become_holder(lease, unconfirmed.sent_at, unconfirmed.write, *revision);
        }
        let lease = lease.observe(self.now(), found);
        match lease.acquire_write(self.now(), rand::random()) {
            Some(write) => self.send_write(lease, write).await,
            None => State::Observed(lease, None),
        }
    }

    async fn send_write(&self, lease: Lease<Observed>, write: LeaseWrite) -> State {
        let sent_at = self.now();
        match self.write(&write).await {
            Ok(Some((revision, row))) if row == write.row => {
                self.become_holder(lease, sent_at, write, revision)
            }
            Ok(found) => State::Observed(lease.observe(self.now(), found), None),
            Err(()) => State::Observed(lease, Some(UnconfirmedWrite { write, sent_at })),
        }
    }

    fn become_holder(
        &self,
        lease: Lease<Observed>,
        sent_at: Duration,
        write: LeaseWrite,
        revision: u64,
    ) -> State {
        self.record(format!("{}: held, fencing {}", self.data_center, write.row.fencing));
        let lease = lease.into_held(sent_at, write, revision);
        State::Held(HeldLease { lease, acquired_at: self.now() })
    }

    /// Renews the lease when it is due, and drops it if it expired or another node took it over.
    async fn renew(&self, held: HeldLease) -> State {
        if held.lease.fencing_token(self.now()).is_err() {
            self.record(format!("{}: lapsed", self.data_center));
            return State::Observed(held.lease.into_observed(self.now(), None), None);
        }
        if !held.lease.is_renewal_due(self.now()) {
            return State::Held(held);
        }
        let sent_at = self.now();
        let renewal = held.lease.renewal_write(rand::random());
        let found = match self.write(&renewal).await {
            Ok(found) => found,
            Err(()) => match self.store.read::<LeaseRow>(&self.data_center).await {
                Ok(found) => found,
                Err(_) => return State::Held(held),
            },
        };
        match held.lease.resolve_write(self.now(), sent_at, &renewal, found) {
            RenewalOutcome::Held(lease) => State::Held(HeldLease { lease, ..held }),
            RenewalOutcome::Lost(lease) => {
                self.record(format!("{}: taken over by another node", self.data_center));
                State::Observed(lease, None)
            }
        }
    }

    async fn write(&self, write: &LeaseWrite) -> Result<RowWithRevision<LeaseRow>, ()> {
        self.store.write(&self.data_center, write.revision, &write.row).await.map_err(|_| ())
    }

    fn publish(&self, state: &State) {
        *self.held.lock() = match state {
            State::Held(held) => Some(held.clone()),
            State::Observed(..) => None,
        };
    }

    /// Releases the lease, so that a peer need not wait for it to expire.
    async fn release(&self, state: State) {
        *self.held.lock() = None;
        if let State::Held(held) = state {
            // If the write fails, the lease expires by itself.
            let _ = self.write(&held.lease.release_write(rand::random())).await;
            self.record(format!("{}: released", self.data_center));
        }
    }
}

async fn contend(context: ServiceContext, service: Arc<LeaseService>) {
    let mut state = State::Observed(Lease::new(&service.own_vm, LEASE_TERM, service.now()), None);
    loop {
        state = service.update(state).await;
        let interval = CHECK_INTERVAL.mul_f64(rand::random_range(0.75..1.25));
        tokio::select! {
            () = context.draining.cancelled() => break,
            () = tokio::time::sleep(interval) => {}
        }
    }
    service.release(state).await;
}
