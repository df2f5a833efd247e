//! Tries of one key that reach this node while it is running share one run.

use super::NodeLedger;
use fl_protocol::call::{ServiceAnswer, ServiceCall};
use fl_protocol::{Fingerprint, PlainService, Problem, RequestId};
use parking_lot::Mutex;
use tokio::sync::watch;

/// What a run ended with; `None` until then.
type RunEnd = Option<Result<ServiceAnswer, Problem>>;

struct Run {
    id: RequestId,
    fingerprint: Fingerprint,
    end: watch::Receiver<RunEnd>,
}

/// The runs of this node, sorted by request.
#[derive(Default)]
pub struct Runs {
    entries: Mutex<Vec<Run>>,
}

enum Joined {
    Started(watch::Sender<RunEnd>, watch::Receiver<RunEnd>),
    Shared(watch::Receiver<RunEnd>),
}

impl Runs {
    /// Says whether no call is running.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }

    fn join(&self, id: RequestId, fingerprint: Fingerprint) -> Result<Joined, Problem> {
        let mut entries = self.entries.lock();
        match entries.binary_search_by_key(&id, |run| run.id) {
            Ok(index) if entries[index].fingerprint != fingerprint => Err(Problem::KeyReused),
            Ok(index) => Ok(Joined::Shared(entries[index].end.clone())),
            Err(index) => {
                let (sender, end) = watch::channel(None);
                entries.insert(index, Run { id, fingerprint, end: end.clone() });
                Ok(Joined::Started(sender, end))
            }
        }
    }

    fn leave(&self, id: RequestId) {
        let mut entries = self.entries.lock();
        if let Ok(index) = entries.binary_search_by_key(&id, |run| run.id) {
            entries.remove(index);
        }
    }
}

impl NodeLedger {
    /// Runs a call that may not be repeated, or waits for the run of an earlier try here.
    ///
    /// The run is a task of its own: a caller that goes away leaves no claim half done.
    pub(super) async fn run_once(
        &self,
        call: ServiceCall,
        service: PlainService,
    ) -> Result<ServiceAnswer, Problem> {
        let mut end = match self.runs.join(call.id, call.fingerprint())? {
            Joined::Shared(end) => end,
            Joined::Started(sender, end) => {
                self.spawn_run(call, service, sender);
                end
            }
        };
        match end.wait_for(Option::is_some).await {
            Ok(ended) => ended.clone().unwrap_or(Err(Problem::OutcomeUnknown)),
            Err(_) => Err(Problem::OutcomeUnknown),
        }
    }

    fn spawn_run(&self, call: ServiceCall, service: PlainService, sender: watch::Sender<RunEnd>) {
        let Some(this) = self.this.upgrade() else {
            return;
        };
        self.context.spawn(async move {
            let end = this.drive(&call, &service).await;
            this.runs.leave(call.id);
            let _ = sender.send(Some(end));
        });
    }
}
