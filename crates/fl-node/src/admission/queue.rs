//! The admission queue with the limits of the workspaces and the concurrency limit of this node.

use fl_limits::fair_queue::QueuedCall;
use fl_limits::node_share::node_share;
use fl_limits::wait_estimate::{WaitCorrection, WaitEstimator, retry_after_if_late};
use fl_limits::{FairQueue, Ticket, TokenBucket};
use fl_protocol::{Priority, Problem, UnixMs, Workspace, WorkspaceName};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The concurrency limit until the first reports of the runners arrive.
const INITIAL_CONCURRENCY_LIMIT: f64 = 16.0;

/// A call that asks for admission.
pub struct AdmissionRequest {
    /// The workspace that makes the call.
    pub workspace: WorkspaceName,
    /// The workspace's weight in the fair queue.
    pub weight: u32,
    /// The priority of the call's class.
    pub priority: Priority,
    /// Tokens of the prompt, charged to the workspace's token limit.
    pub prompt_tokens: u64,
    /// The longest time that the call can wait in the queue.
    pub deadline: Duration,
    /// Notified when the call is admitted.
    pub admitted_tx: oneshot::Sender<()>,
}

struct WaitingCall {
    ticket: Ticket,
    workspace: WorkspaceName,
    queued_at: Instant,
    estimated: Duration,
    admitted_tx: oneshot::Sender<()>,
}

struct Limits {
    workspace: WorkspaceName,
    tokens: TokenBucket,
    requests: TokenBucket,
    correction: WaitCorrection,
}

/// The calls that wait for admission, the number in flight and the limits that hold for both.
pub struct AdmissionQueue {
    queue: FairQueue,
    wait_estimator: WaitEstimator,
    concurrency_limit: f64,
    in_flight: usize,
    live_nodes: usize,
    next_ticket: Ticket,
    /// Sorted by ticket, since each new ticket is higher than the ones before.
    waiting_calls: Vec<WaitingCall>,
    /// Sorted by workspace.
    limits: Vec<Limits>,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        AdmissionQueue {
            queue: FairQueue::default(),
            wait_estimator: WaitEstimator::default(),
            concurrency_limit: INITIAL_CONCURRENCY_LIMIT,
            in_flight: 0,
            live_nodes: 1,
            next_ticket: 1,
            waiting_calls: Vec::new(),
            limits: Vec::new(),
        }
    }
}

impl AdmissionQueue {
    /// Adds a call to the queue.
    ///
    /// # Errors
    ///
    /// Refuses at once a call that is over its workspace's limit or cannot meet its deadline.
    pub fn enqueue(
        &mut self,
        request: AdmissionRequest,
        declared: Option<&Workspace>,
        now_ms: UnixMs,
    ) -> Result<Ticket, Problem> {
        let estimated = self.check_deadline(&request, now_ms)?;
        if let Some(declared) = declared {
            self.check_limits(&request, declared, now_ms)?;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let call = QueuedCall { ticket, prompt_tokens: request.prompt_tokens };
        self.queue.push(&request.workspace, request.weight, request.priority, call);
        self.waiting_calls.push(WaitingCall {
            ticket,
            workspace: request.workspace,
            queued_at: Instant::now(),
            estimated,
            admitted_tx: request.admitted_tx,
        });
        Ok(ticket)
    }

    /// Admits the calls that are next in the queue, up to the concurrency limit.
    pub fn admit_waiting(&mut self) {
        while (self.in_flight as f64) < self.concurrency_limit.max(1.0) {
            let Some(ticket) = self.queue.pop() else {
                return;
            };
            self.in_flight += 1;
            self.notify_admitted(ticket);
        }
    }

    /// Removes a call that stopped waiting; one that was admitted just before gives its slot back.
    pub fn cancel(&mut self, workspace: &str, priority: Priority, ticket: Ticket) {
        self.waiting_calls.retain(|call| call.ticket != ticket);
        if !self.queue.remove(workspace, priority, ticket) {
            self.queue.record_end(workspace, priority);
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// Ends a call that was in flight for the time `held`.
    pub fn release(&mut self, workspace: &str, priority: Priority, held: Duration) {
        self.queue.record_end(workspace, priority);
        self.wait_estimator.record_running_time(held);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Charges produced tokens to the workspace's share and to its token limit.
    pub fn charge(&mut self, workspace: &str, priority: Priority, tokens: u64, now_ms: UnixMs) {
        self.queue.charge(workspace, priority, tokens);
        if let Ok(index) = self.find_limits(workspace) {
            self.limits[index].tokens.charge(tokens as f64, now_ms);
        }
    }

    /// Sets this node's concurrency limit, and the number of live nodes, each of which enforces an
    /// equal share of the workspace limits.
    pub fn set_limit(&mut self, concurrency_limit: f64, live_nodes: usize) {
        self.concurrency_limit = concurrency_limit;
        self.live_nodes = live_nodes;
    }

    /// Returns the number of admitted calls that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of calls that wait for admission.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn notify_admitted(&mut self, ticket: Ticket) {
        let Ok(index) = self.waiting_calls.binary_search_by_key(&ticket, |call| call.ticket) else {
            return;
        };
        let call = self.waiting_calls.remove(index);
        if let Ok(position) = self.find_limits(&call.workspace) {
            self.limits[position].correction.observe(call.estimated, call.queued_at.elapsed());
        }
        // If the caller is gone, dropping its `QueuedCallGuard` cancels the ticket and frees the
        // slot.
        let _ = call.admitted_tx.send(());
    }

    /// Returns the estimated wait, or refuses a call that would wait beyond its deadline.
    fn check_deadline(
        &mut self,
        request: &AdmissionRequest,
        now_ms: UnixMs,
    ) -> Result<Duration, Problem> {
        if (self.in_flight as f64) < self.concurrency_limit && self.queue.is_empty() {
            return Ok(Duration::ZERO);
        }
        let ahead = self.queue.calls_ahead(&request.workspace, request.weight, request.priority);
        let estimated = self.wait_estimator.estimate(ahead, self.concurrency_limit);
        let wait = self.limits_mut(&request.workspace, now_ms).correction.apply(estimated);
        match retry_after_if_late(wait, request.deadline) {
            Some(retry_after) => Err(Problem::Overloaded { retry_after }),
            None => Ok(estimated),
        }
    }

    fn check_limits(
        &mut self,
        request: &AdmissionRequest,
        declared: &Workspace,
        now_ms: UnixMs,
    ) -> Result<(), Problem> {
        let live_nodes = self.live_nodes;
        let limits = self.limits_mut(&request.workspace, now_ms);
        let over =
            |retry_after| Problem::OverLimit { workspace: request.workspace.clone(), retry_after };
        if declared.limit_requests_per_s > 0 {
            let rate_per_s = node_share(declared.limit_requests_per_s as f64, live_nodes);
            limits.requests.set_rate(rate_per_s, now_ms);
            limits.requests.try_take(1.0, now_ms).map_err(over)?;
        }
        if declared.limit_tokens_per_s > 0 {
            let rate_per_s = node_share(declared.limit_tokens_per_s as f64, live_nodes);
            limits.tokens.set_rate(rate_per_s, now_ms);
            limits.tokens.try_take(request.prompt_tokens as f64, now_ms).map_err(over)?;
        }
        Ok(())
    }

    fn find_limits(&self, workspace: &str) -> Result<usize, usize> {
        self.limits.binary_search_by(|limits| limits.workspace.as_str().cmp(workspace))
    }

    fn limits_mut(&mut self, workspace: &str, now_ms: UnixMs) -> &mut Limits {
        let index = self.find_limits(workspace).unwrap_or_else(|index| {
            let new_bucket = || TokenBucket::with_unknown_rate(now_ms);
            let limits = Limits {
                workspace: workspace.to_string(),
                tokens: new_bucket(),
                requests: new_bucket(),
                correction: WaitCorrection::default(),
            };
            self.limits.insert(index, limits);
            index
        });
        &mut self.limits[index]
    }
}
