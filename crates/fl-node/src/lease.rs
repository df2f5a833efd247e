//! The lease under which one node of a data centre gives fleet orders.
//!
//! A few nodes of each data centre, chosen by rendezvous hashing, contend for it, so that the reads
//! of the table do not grow with the fleet. See `docs/design/080-leases-and-fencing.md`.

use crate::context::{ServiceContext, StartError};
use fl_fleet::{Claim, Held, Lease, LeaseRow, Observed, Renewal};
use fl_kernel::services::{EventLog, Membership};
use fl_kernel::{Registry, names};
use fl_platform::lease_store::{FoundRow, LeaseStore};
use fl_protocol::event::EventKind;
use fl_protocol::rendezvous::sort_by_rank;
use fl_protocol::{DataCenterName, FencingNumber, Member, MemberState, VmName};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The name under which the lease is registered.
pub const LEASE: &str = "lease";
/// How long a renewal lasts.
pub const LEASE_TERM: Duration = Duration::from_secs(10);
/// How long an order to an engine may take; a new holder waits so long before its first one.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Nodes of a data centre that contend for its lease.
const CONTENDERS: usize = 3;
/// Time between two looks at the lease, before jitter.
const LOOK: Duration = Duration::from_millis(1000);
/// The rendezvous key by which a data centre agrees on its contenders.
const CONTENDER_KEY: &[u8] = b"lease-contender";

/// What this node believes of the lease of its data centre.
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

/// A claim whose answer did not come.
struct OpenClaim {
    claim: Claim,
    sent_at: Duration,
}

/// The state between two looks.
enum View {
    Observed(Lease<Observed>, Option<OpenClaim>),
    Held(HeldLease),
}

/// Starts to contend for the lease, if the settings let this node take part.
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
    /// The fencing number for an order that is sent now; `None` without a valid lease.
    ///
    /// Ask directly before each order: a node may have been paused since the last answer.
    pub fn fencing_token(&self) -> Option<FencingNumber> {
        let now = self.now();
        let held = self.held.lock();
        let held = held.as_ref()?;
        if now < fl_fleet::orders::first_order_at(held.acquired_at, ORDER_TIMEOUT) {
            return None;
        }
        held.lease.fencing(now).ok()
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
        let mut near: Vec<Member> = membership
            .members()
            .into_iter()
            .filter(|member| member.data_center == self.data_center)
            .filter(|member| member.state == MemberState::Alive || member.vm == self.own_vm)
            .collect();
        sort_by_rank(&mut near, CONTENDER_KEY, |member| &member.vm);
        near.iter().take(CONTENDERS).any(|member| member.vm == self.own_vm)
    }

    async fn look(&self, view: View) -> View {
        let view = match view {
            View::Observed(lease, open) if self.is_contender() => self.watch(lease, open).await,
            View::Observed(lease, open) => View::Observed(lease, open),
            View::Held(held) => self.keep(held).await,
        };
        self.publish(&view);
        view
    }

    /// Reads the row and claims the lease when it is free.
    async fn watch(&self, lease: Lease<Observed>, open: Option<OpenClaim>) -> View {
        let Ok(found) = self.store.read::<LeaseRow>(&self.data_center).await else {
            return View::Observed(lease, open);
        };
        if let Some(open) = open
            && let Some((revision, row)) = &found
            && *row == open.claim.row
        {
            return self.acquired(lease, open.sent_at, open.claim, *revision);
        }
        let lease = lease.observe(self.now(), found);
        match lease.claim(self.now(), rand::random()) {
            Some(claim) => self.claim(lease, claim).await,
            None => View::Observed(lease, None),
        }
    }

    async fn claim(&self, lease: Lease<Observed>, claim: Claim) -> View {
        let sent_at = self.now();
        match self.write(&claim).await {
            Ok(Some((revision, row))) if row == claim.row => {
                self.acquired(lease, sent_at, claim, revision)
            }
            Ok(found) => View::Observed(lease.observe(self.now(), found), None),
            Err(()) => View::Observed(lease, Some(OpenClaim { claim, sent_at })),
        }
    }

    fn acquired(
        &self,
        lease: Lease<Observed>,
        sent_at: Duration,
        claim: Claim,
        revision: u64,
    ) -> View {
        self.record(format!("{}: held, fencing {}", self.data_center, claim.row.fencing));
        let lease = lease.acquired(sent_at, claim, revision);
        View::Held(HeldLease { lease, acquired_at: self.now() })
    }

    /// Renews the lease in time, and stops believing in it when it lapsed or was taken.
    async fn keep(&self, held: HeldLease) -> View {
        if held.lease.fencing(self.now()).is_err() {
            self.record(format!("{}: lapsed", self.data_center));
            return View::Observed(held.lease.into_observed(self.now(), None), None);
        }
        if !held.lease.is_renewal_due(self.now()) {
            return View::Held(held);
        }
        let sent_at = self.now();
        let renewal = held.lease.renewal(rand::random());
        let found = match self.write(&renewal).await {
            Ok(found) => found,
            Err(()) => match self.store.read::<LeaseRow>(&self.data_center).await {
                Ok(found) => found,
                Err(_) => return View::Held(held),
            },
        };
        match held.lease.written(self.now(), sent_at, &renewal, found) {
            Renewal::Held(lease) => View::Held(HeldLease { lease, ..held }),
            Renewal::Lost(lease) => {
                self.record(format!("{}: taken over by another node", self.data_center));
                View::Observed(lease, None)
            }
        }
    }

    async fn write(&self, claim: &Claim) -> Result<FoundRow<LeaseRow>, ()> {
        self.store.write(&self.data_center, claim.revision, &claim.row).await.map_err(|_| ())
    }

    fn publish(&self, view: &View) {
        *self.held.lock() = match view {
            View::Held(held) => Some(held.clone()),
            View::Observed(..) => None,
        };
    }

    /// Gives the lease back, so that a peer need not wait for its end.
    async fn release(&self, view: View) {
        *self.held.lock() = None;
        if let View::Held(held) = view {
            // Without an answer the lease ends by itself.
            let _ = self.write(&held.lease.release(rand::random())).await;
            self.record(format!("{}: released", self.data_center));
        }
    }
}

async fn contend(context: ServiceContext, service: Arc<LeaseService>) {
    let mut view = View::Observed(Lease::new(&service.own_vm, LEASE_TERM, service.now()), None);
    loop {
        view = service.look(view).await;
        let pause = LOOK.mul_f64(rand::random_range(0.75..1.25));
        tokio::select! {
            () = context.accepting.cancelled() => break,
            () = tokio::time::sleep(pause) => {}
        }
    }
    service.release(view).await;
}
