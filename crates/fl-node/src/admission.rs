//! Admission: each node has its own fair queue and lets through its share of what the runners take
//! without queueing.
//!
//! The decisions stand in `fl_limits`; see `docs/design/055-fairness-and-admission.md`.

mod door;
mod pool;

use crate::context::{ServiceContext, StartError};
use async_trait::async_trait;
use door::{Door, Entry};
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Admission, ConfigurationSource, Permit};
use fl_limits::RetryBudget;
use fl_protocol::{CallClass, Priority, Problem, Workspace, WorkspaceName};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Names a backend server and its budget of retries.
type Budget = (String, RetryBudget);

/// The admission of one node.
pub struct NodeAdmission {
    context: ServiceContext,
    door: Mutex<Door>,
    /// Sorted by back end.
    budgets: Mutex<Vec<Budget>>,
}

/// Starts admission.
pub fn start(context: &ServiceContext) -> Result<Arc<NodeAdmission>, StartError> {
    let admission = Arc::new(NodeAdmission {
        context: context.clone(),
        door: Mutex::new(Door::default()),
        budgets: Mutex::new(Vec::new()),
    });
    let service: Arc<dyn Admission> = Arc::new(Handle(admission.clone()));
    context.registry.register(names::ADMISSION, service)?;
    pool::spawn(&admission);
    Ok(admission)
}

/// The registered service; permits keep the admission alive through it.
struct Handle(Arc<NodeAdmission>);

struct NodePermit {
    admission: Arc<NodeAdmission>,
    workspace: WorkspaceName,
    priority: Priority,
    since: Instant,
}

impl NodeAdmission {
    fn workspace(&self, name: &str) -> Option<Workspace> {
        let source =
            self.context.registry.find::<dyn ConfigurationSource>(names::CONFIGURATION).ok()?;
        source.current().workspace(name).cloned()
    }

    fn with_budget<T>(&self, back_end: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let percent = self.context.settings.limits.retry_budget_percent;
        let mut budgets = self.budgets.lock();
        let place = budgets.binary_search_by(|(name, _)| name.as_str().cmp(back_end));
        let index = place.unwrap_or_else(|index| {
            budgets.insert(index, (back_end.to_string(), RetryBudget::new(percent)));
            index
        });
        act(&mut budgets[index].1)
    }

    /// Gives places to waiting calls; one whose caller went away gives its place on.
    fn let_through(&self) {
        self.door.lock().let_through();
    }
}

#[async_trait]
impl Admission for Handle {
    async fn admit(
        &self,
        workspace: &WorkspaceName,
        class: &CallClass,
        prompt_tokens: u64,
        _max_tokens: u64,
    ) -> Result<Box<dyn Permit>, Problem> {
        let declared = self.0.workspace(workspace);
        let weight = declared.as_ref().map_or(1, |declared| declared.weight);
        let (turn, came) = oneshot::channel();
        let entry = Entry {
            workspace: workspace.clone(),
            weight,
            priority: class.priority,
            prompt_tokens,
            deadline: Duration::from_millis(class.deadline_ms),
            turn,
        };
        let ticket = self.0.door.lock().enter(entry, declared.as_ref(), unix_ms())?;
        let mut waiting = Waiting {
            admission: &self.0,
            workspace,
            priority: class.priority,
            ticket,
            has_place: false,
        };
        waiting.turn(came, Duration::from_millis(class.deadline_ms)).await?;
        Ok(Box::new(NodePermit {
            admission: self.0.clone(),
            workspace: workspace.clone(),
            priority: class.priority,
            since: Instant::now(),
        }))
    }

    fn try_retry(&self, back_end: &str) -> bool {
        self.0.with_budget(back_end, RetryBudget::try_retry)
    }

    fn count_first_try(&self, back_end: &str) {
        self.0.with_budget(back_end, RetryBudget::count_first_try);
    }
}

/// A call in the queue; it leaves the queue when its caller goes away.
struct Waiting<'a> {
    admission: &'a Arc<NodeAdmission>,
    workspace: &'a WorkspaceName,
    priority: Priority,
    ticket: u64,
    /// Whether its turn came, so that the place is now the permit's.
    has_place: bool,
}

impl Waiting<'_> {
    async fn turn(
        &mut self,
        mut came: oneshot::Receiver<()>,
        deadline: Duration,
    ) -> Result<(), Problem> {
        self.admission.let_through();
        let timely = tokio::time::timeout(deadline, &mut came).await;
        self.has_place = timely.is_ok() || came.try_recv().is_ok();
        if self.has_place { Ok(()) } else { Err(Problem::Overloaded { retry_after: deadline }) }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.has_place {
            return;
        }
        let mut door = self.admission.door.lock();
        door.give_up(self.workspace, self.priority, self.ticket);
        door.let_through();
    }
}

impl Permit for NodePermit {
    fn charge(&self, tokens: u64) {
        self.admission.door.lock().charge(&self.workspace, self.priority, tokens, unix_ms());
    }
}

impl Drop for NodePermit {
    fn drop(&mut self) {
        let mut door = self.admission.door.lock();
        door.leave(&self.workspace, self.priority, self.since.elapsed());
        door.let_through();
    }
}
