//! Attempts with the same key that reach this node while the call is in flight share one execution.

use super::NodeLedger;
use fl_protocol::call::{ServiceCall, ServiceResponse};
use fl_protocol::{Fingerprint, PlainService, Problem, RequestId};
use parking_lot::Mutex;
use tokio::sync::watch;

/// The result of a call; `None` while it is in flight.
type CallResult = Option<Result<ServiceResponse, Problem>>;

struct InFlightCall {
    id: RequestId,
    fingerprint: Fingerprint,
    result_rx: watch::Receiver<CallResult>,
}

/// The calls in flight at this node, sorted by request id.
#[derive(Default)]
pub struct InFlightCalls {
    entries: Mutex<Vec<InFlightCall>>,
}

enum JoinedCall {
    Started(watch::Sender<CallResult>, watch::Receiver<CallResult>),
    Shared(watch::Receiver<CallResult>),
}

impl InFlightCalls {
    /// Returns whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }

    fn join_or_start(
        &self,
        id: RequestId,
        fingerprint: Fingerprint,
    ) -> Result<JoinedCall, Problem> {
        let mut entries = self.entries.lock();
        match entries.binary_search_by_key(&id, |call| call.id) {
            Ok(index) if entries[index].fingerprint != fingerprint => Err(Problem::KeyReused),
            Ok(index) => Ok(JoinedCall::Shared(entries[index].result_rx.clone())),
            Err(index) => {
                let (result_tx, result_rx) = watch::channel(None);
                entries
                    .insert(index, InFlightCall { id, fingerprint, result_rx: result_rx.clone() });
                Ok(JoinedCall::Started(result_tx, result_rx))
            }
        }
    }

    fn remove(&self, id: RequestId) {
        let mut entries = self.entries.lock();
        if let Ok(index) = entries.binary_search_by_key(&id, |call| call.id) {
            entries.remove(index);
        }
    }
}

impl NodeLedger {
    /// Executes a call that must not be repeated, or waits for the one in flight with the same key.
    ///
    /// The execution is a task of its own, so that a caller that disconnects leaves no claim
    /// without an outcome.
    pub(super) async fn run_at_most_once(
        &self,
        call: ServiceCall,
        service: PlainService,
    ) -> Result<ServiceResponse, Problem> {
        let mut result_rx = match self.in_flight_calls.join_or_start(call.id, call.fingerprint())? {
            JoinedCall::Shared(result_rx) => result_rx,
            JoinedCall::Started(result_tx, result_rx) => {
                self.spawn_call(call, service, result_tx);
                result_rx
            }
        };
        match result_rx.wait_for(Option::is_some).await {
            Ok(ended) => ended.clone().unwrap_or(Err(Problem::OutcomeUnknown)),
            Err(_) => Err(Problem::OutcomeUnknown),
        }
    }

    fn spawn_call(
        &self,
        call: ServiceCall,
        service: PlainService,
        result_tx: watch::Sender<CallResult>,
    ) {
        let Some(ledger) = self.weak_self.upgrade() else {
            return;
        };
        self.context.spawn(async move {
            let result = ledger.execute(&call, &service).await;
            ledger.in_flight_calls.remove(call.id);
            let _ = result_tx.send(Some(result));
        });
    }
}
