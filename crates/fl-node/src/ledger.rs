//! Runs calls of plain services; calls that must not be repeated run at most once.
//!
//! The decision logic is in `fl-ledger`; this module does the I/O around it. See
//! `docs/design/040-non-repeatable-calls.md`.

mod claim_status;
mod claim_store;
mod dispatch;
mod execution;
mod in_flight_calls;
mod repeatable;
mod settlement;
mod write_batcher;

use crate::context::{ServiceContext, StartError};
use async_trait::async_trait;
use claim_status::LocalClaims;
use claim_store::ClaimStore;
use fl_kernel::names;
use fl_kernel::services::{ClaimStatus, ConfigurationSource, EventLog, Ledger};
use fl_ledger::InstanceId;
use fl_platform::{ConnectionReuse, ServiceClient};
use fl_protocol::call::{ServiceCall, ServiceResponse};
use fl_protocol::event::EventKind;
use fl_protocol::{ClaimNonce, PlainService, Problem, RequestId};
use in_flight_calls::InFlightCalls;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// The registry name of the [`NodeLedger`] itself, which is drained when the node stops.
const NODE_LEDGER: &str = "calls";
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The ledger service of one node.
pub struct NodeLedger {
    /// A reference to the ledger itself for the tasks that outlive their callers.
    weak_self: Weak<NodeLedger>,
    context: ServiceContext,
    instance_id: InstanceId,
    store: ClaimStore,
    /// Never reuses a connection: on a stale one a call can be lost without a trace.
    unpooled_client: ServiceClient,
    pooled_client: ServiceClient,
    local_claims: LocalClaims,
    in_flight_calls: InFlightCalls,
}

/// Starts the ledger and registers it.
pub fn start(context: &ServiceContext) -> Result<Arc<NodeLedger>, StartError> {
    let ledger = Arc::new_cyclic(|weak_self| NodeLedger {
        weak_self: weak_self.clone(),
        context: context.clone(),
        instance_id: rand::random(),
        store: ClaimStore::start(context),
        unpooled_client: ServiceClient::new(ConnectionReuse::Never),
        pooled_client: ServiceClient::new(ConnectionReuse::Pooled),
        local_claims: LocalClaims::default(),
        in_flight_calls: InFlightCalls::default(),
    });
    context.registry.register::<dyn Ledger>(names::LEDGER, ledger.clone())?;
    context.registry.register(NODE_LEDGER, ledger.clone())?;
    Ok(ledger)
}

/// Waits for the calls of the node's ledger to end; see [`NodeLedger::drain`].
pub async fn drain(context: &ServiceContext, deadline: Instant) {
    if let Ok(ledger) = context.registry.find::<NodeLedger>(NODE_LEDGER) {
        ledger.drain(deadline).await;
    }
}

impl NodeLedger {
    /// Waits until no call is in flight and all outcomes are recorded, or until the deadline.
    pub async fn drain(&self, deadline: Instant) {
        while Instant::now() < deadline
            && !(self.in_flight_calls.is_empty() && self.local_claims.is_empty())
        {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn service(&self, name: &str) -> Result<PlainService, Problem> {
        let not_allowed =
            || Problem::NotAllowed { kind: "service".to_string(), name: name.to_string() };
        let source = self.context.registry.find::<dyn ConfigurationSource>(names::CONFIGURATION);
        let source = source.map_err(|error| Problem::Internal(error.to_string()))?;
        source.current().service(name).cloned().ok_or_else(not_allowed)
    }

    fn record(&self, kind: EventKind, id: RequestId, detail: String) {
        if let Ok(events) = self.context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            events.record(kind, Some(id), detail);
        }
    }
}

#[async_trait]
impl Ledger for NodeLedger {
    async fn call(&self, call: ServiceCall) -> Result<ServiceResponse, Problem> {
        let service = self.service(&call.service)?;
        if service.repeatable {
            return self.run_repeatable(&call, &service).await;
        }
        self.run_at_most_once(call, service).await
    }

    fn claim_status(&self, nonce: ClaimNonce) -> Option<ClaimStatus> {
        self.local_claims.status(nonce)
    }
}
