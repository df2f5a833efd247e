//! Runs a schedule against the nodes.

use crate::engine_counters::{EngineCounterReader, EngineTotals, PrefillEstimator};
use crate::error::LoadError;
use crate::http_client::{Credentials, HttpClient};
use crate::model_call::{ModelCall, ModelCallOutcome, ask};
use crate::report::LoadResult;
use crate::result_aggregator::ResultAggregator;
use crate::service_call::call;
use crate::service_runs::ServiceRunReader;
use crate::workload::{Arrival, ScheduledCall, User, plan_arrivals, workspace_key};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Pause between two reads of the engines' and services' counters.
const BACKEND_PERIOD: Duration = Duration::from_millis(250);
const SECONDS_PER_H: f64 = 3_600.0;
const TOKENS_PER_COST: f64 = 1_000.0;

/// What to run.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// What is compared, for the result.
    pub label: String,
    /// Under which conditions, for the result.
    pub scenario: String,
    /// Whose mix of calls.
    pub user: User,
    /// The seed of the schedule.
    pub seed: u64,
    /// Calls a second.
    pub rate_per_s: f64,
    /// How long calls are sent.
    pub duration: Duration,
    /// How long a call may take in all.
    pub answer_timeout: Duration,
    /// The nodes' addresses for callers.
    pub nodes: Vec<SocketAddr>,
    /// The engines, whose counters are read.
    pub engines: Vec<SocketAddr>,
    /// The plain services, whose runs are read.
    pub services: Vec<SocketAddr>,
    /// Price of one engine, in millicents an hour.
    pub engine_price_millicents_per_h: u64,
}

struct Shared {
    plan: LoadPlan,
    caller: HttpClient,
    tally: Mutex<ResultAggregator>,
    prompts: Mutex<PrefillEstimator>,
}

/// Sends the schedule and waits for every answer; cancelling stops sending.
pub async fn run_load(plan: LoadPlan, cancel: &CancellationToken) -> Result<LoadResult, LoadError> {
    if plan.nodes.is_empty() {
        return Err(LoadError::NoNodes);
    }
    let arrivals = plan_arrivals(plan.user, plan.seed, plan.rate_per_s, plan.duration);
    let caller = HttpClient::new();
    let watch = EngineCounterReader::start(&caller, &plan.engines).await;
    let tally = Mutex::new(ResultAggregator::new(plan.user));
    let shared = Arc::new(Shared { plan, caller, tally, prompts: Mutex::default() });
    let watching = CancellationToken::new();
    let runs = ServiceRunReader::new(&shared.plan.services);
    let watcher = tokio::spawn(watch_backends(shared.clone(), watch, runs, watching.clone()));
    let calls = TaskTracker::new();
    send_all(&shared, arrivals, &calls, cancel).await;
    calls.close();
    calls.wait().await;
    watching.cancel();
    let watch = watcher.await.ok();
    Ok(result(&shared, watch))
}

async fn send_all(
    shared: &Arc<Shared>,
    arrivals: Vec<Arrival>,
    calls: &TaskTracker,
    cancel: &CancellationToken,
) {
    let began_at = Instant::now();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let planned_at = began_at + arrival.at;
        tokio::select! {
            () = tokio::time::sleep_until(planned_at.into()) => {}
            () = cancel.cancelled() => return,
        }
        calls.spawn(send_one(shared.clone(), arrival, number, planned_at));
    }
}

async fn send_one(shared: Arc<Shared>, arrival: Arrival, number: usize, planned_at: Instant) {
    let key = workspace_key(&arrival.workspace);
    let identity = Credentials { workspace: &arrival.workspace, key: &key };
    let (caller, nodes) = (&shared.caller, shared.plan.nodes.as_slice());
    match &arrival.call {
        ScheduledCall::Model(model_call) => {
            let request = model_call.chat_request();
            let class = arrival.class.as_str();
            let plan = ModelCall {
                caller,
                nodes,
                first_node: number,
                identity,
                class,
                request: &request,
                planned_at,
            };
            let seen = ask(&plan, shared.plan.answer_timeout).await;
            if !matches!(seen.ending, ModelCallOutcome::Refused(_)) {
                lock(&shared.prompts).add(&request.model, &request.prompt_text());
            }
            lock(&shared.tally).add_ask(&arrival.workspace, class, &seen);
        }
        ScheduledCall::Service(plain) => {
            let told = call(caller, nodes, number, &identity, &arrival.class, plain).await;
            lock(&shared.tally).add_call(&arrival.workspace, plain, &told);
        }
    }
}

async fn watch_backends(
    shared: Arc<Shared>,
    mut watch: EngineCounterReader,
    mut runs: ServiceRunReader,
    stop: CancellationToken,
) -> (EngineCounterReader, ServiceRunReader) {
    while !stop.is_cancelled() {
        tokio::select! {
            () = tokio::time::sleep(BACKEND_PERIOD) => {}
            () = stop.cancelled() => {}
        }
        watch.read(&shared.caller).await;
        runs.read(&shared.caller).await;
    }
    (watch, runs)
}

fn result(shared: &Shared, watched: Option<(EngineCounterReader, ServiceRunReader)>) -> LoadResult {
    let plan = &shared.plan;
    let mut tally = lock(&shared.tally);
    let mut engines = EngineTotals::default();
    if let Some((watch, runs)) = watched {
        engines = watch.totals();
        tally.compare_runs(&runs.runs(), runs.is_complete());
    }
    let prompts = std::mem::take(&mut *lock(&shared.prompts));
    let least_prefill_tokens = prompts.least_prefill_tokens();
    let mut result = LoadResult {
        label: plan.label.clone(),
        scenario: plan.scenario.clone(),
        user: plan.user.name().to_string(),
        seed: plan.seed,
        rate_per_s: plan.rate_per_s,
        duration_s: plan.duration.as_secs_f64(),
        groups: tally.groups(),
        reasons: tally.reasons(),
        calls: tally.calls(),
        engines,
        least_prefill_tokens,
        recomputed_tokens: engines.prefilled_tokens.saturating_sub(least_prefill_tokens),
        cost_millicents_per_1000_tokens: 0.0,
    };
    result.cost_millicents_per_1000_tokens = cost(plan, &result);
    result
}

/// The price of all engines over the run, for each 1,000 tokens of answers on target.
fn cost(plan: &LoadPlan, result: &LoadResult) -> f64 {
    let all = result.groups.iter().filter(|group| group.workspace == "*");
    let tokens: u64 = all.map(|group| group.on_target_tokens).sum();
    let hours = plan.duration.as_secs_f64() / SECONDS_PER_H;
    let price = plan.engine_price_millicents_per_h as f64 * plan.engines.len() as f64 * hours;
    if tokens == 0 { 0.0 } else { price * TOKENS_PER_COST / tokens as f64 }
}

/// A panic in another task does not make the counts less true.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
