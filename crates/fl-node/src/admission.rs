//! Admission of model calls: each node has its own fair queue and admits its share of what the
//! runners can take without queueing.
//!
//! The decision logic is in `fl_limits`; see `docs/design/055-fairness-and-admission.md`.

mod queue;
mod runner_capacity;

use crate::context::{ServiceContext, StartError};
use async_trait::async_trait;
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Admission, ConfigurationSource, Permit};
use fl_limits::RetryBudget;
use fl_protocol::{CallClass, Priority, Problem, Workspace, WorkspaceName};
use parking_lot::Mutex;
use queue::{AdmissionQueue, AdmissionRequest};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The name of a runner or of a pool of application servers, with its retry budget.
type Budget = (String, RetryBudget);

/// Admission at one node: its queue, and a retry budget for each runner and each pool of
/// application servers.
pub struct NodeAdmission {
    context: ServiceContext,
    queue: Mutex<AdmissionQueue>,
    /// Sorted by the name of the runner or pool.
    budgets: Mutex<Vec<Budget>>,
}

/// Starts admission and registers it.
pub fn start(context: &ServiceContext) -> Result<Arc<NodeAdmission>, StartError> {
    let admission = Arc::new(NodeAdmission {
        context: context.clone(),
        queue: Mutex::new(AdmissionQueue::default()),
        budgets: Mutex::new(Vec::new()),
    });
    let service: Arc<dyn Admission> = Arc::new(AdmissionHandle(admission.clone()));
    context.registry.register(names::ADMISSION, service)?;
    runner_capacity::spawn(&admission);
    Ok(admission)
}

/// The registered service; it holds the [`Arc`] that permits clone to stay valid on their own.
struct AdmissionHandle(Arc<NodeAdmission>);

struct NodePermit {
    admission: Arc<NodeAdmission>,
    workspace: WorkspaceName,
    priority: Priority,
    admitted_at: Instant,
}

impl NodeAdmission {
    fn workspace(&self, name: &str) -> Option<Workspace> {
        let source =
            self.context.registry.find::<dyn ConfigurationSource>(names::CONFIGURATION).ok()?;
        source.current().workspace(name).cloned()
    }

    fn with_budget<T>(&self, backend: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let percent = self.context.settings.limits.retry_budget_percent;
        let mut budgets = self.budgets.lock();
        let position = budgets.binary_search_by(|(name, _)| name.as_str().cmp(backend));
        let index = position.unwrap_or_else(|index| {
            budgets.insert(index, (backend.to_string(), RetryBudget::new(percent)));
            index
        });
        act(&mut budgets[index].1)
    }

    /// Admits waiting calls up to the concurrency limit.
    ///
    /// A call whose caller is gone passes its slot on when it is dropped.
    fn admit_waiting(&self) {
        self.queue.lock().admit_waiting();
    }
}

#[async_trait]
impl Admission for AdmissionHandle {
    async fn admit(
        &self,
        workspace: &WorkspaceName,
        class: &CallClass,
        prompt_tokens: u64,
        _max_tokens: u64,
    ) -> Result<Box<dyn Permit>, Problem> {
        let declared = self.0.workspace(workspace);
        let weight = declared.as_ref().map_or(1, |declared| declared.weight);
        let (admitted_tx, admitted_rx) = oneshot::channel();
        let request = AdmissionRequest {
            workspace: workspace.clone(),
            weight,
            priority: class.priority,
            prompt_tokens,
            deadline: Duration::from_millis(class.deadline_ms),
            admitted_tx,
        };
        let ticket = self.0.queue.lock().enqueue(request, declared.as_ref(), unix_ms())?;
        let mut queued = QueuedCallGuard {
            admission: &self.0,
            workspace,
            priority: class.priority,
            ticket,
            is_admitted: false,
        };
        queued.wait_for_admission(admitted_rx, Duration::from_millis(class.deadline_ms)).await?;
        Ok(Box::new(NodePermit {
            admission: self.0.clone(),
            workspace: workspace.clone(),
            priority: class.priority,
            admitted_at: Instant::now(),
        }))
    }

    fn take_retry(&self, backend: &str) -> bool {
        self.0.with_budget(backend, RetryBudget::try_retry)
    }

    fn count_first_attempt(&self, backend: &str) {
        self.0.with_budget(backend, RetryBudget::count_first_attempt);
    }
}

/// A call in the queue; dropping it, as when its caller disconnects, removes it from the queue.
struct QueuedCallGuard<'a> {
    admission: &'a Arc<NodeAdmission>,
    workspace: &'a WorkspaceName,
    priority: Priority,
    ticket: u64,
    /// Whether the call was admitted, so that its slot now belongs to the permit.
    is_admitted: bool,
}

impl QueuedCallGuard<'_> {
    async fn wait_for_admission(
        &mut self,
        mut admitted_rx: oneshot::Receiver<()>,
        deadline: Duration,
    ) -> Result<(), Problem> {
        self.admission.admit_waiting();
        let in_time = tokio::time::timeout(deadline, &mut admitted_rx).await;
        self.is_admitted = in_time.is_ok() || admitted_rx.try_recv().is_ok();
        if self.is_admitted { Ok(()) } else { Err(Problem::Overloaded { retry_after: deadline }) }
    }
}

impl Drop for QueuedCallGuard<'_> {
    fn drop(&mut self) {
        if self.is_admitted {
            return;
        }
        let mut queue = self.admission.queue.lock();
        queue.cancel(self.workspace, self.priority, self.ticket);
        queue.admit_waiting();
    }
}

impl Permit for NodePermit {
    fn charge(&self, tokens: u64) {
        self.admission.queue.lock().charge(&self.workspace, self.priority, tokens, unix_ms());
    }
}

impl Drop for NodePermit {
    fn drop(&mut self) {
        let mut queue = self.admission.queue.lock();
        queue.release(&self.workspace, self.priority, self.admitted_at.elapsed());
        queue.admit_waiting();
    }
}
