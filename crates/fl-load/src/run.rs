//! Sends the scheduled calls to the nodes and collects the result of the run.

use crate::engine_counters::{EngineCounterReader, EngineTotals, PrefillEstimator};
use crate::error::LoadError;
use crate::http_client::{Credentials, HttpClient};
use crate::model_call::{ModelCall, ModelCallOutcome, send_model_call};
use crate::report::LoadResult;
use crate::result_aggregator::ResultAggregator;
use crate::service_call::send_service_call;
use crate::service_runs::ServiceRunReader;
use crate::workload::{Arrival, ScheduledCall, User, plan_arrivals, workspace_key};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Interval at which the counters of the engines and the plain services are read.
const COUNTER_READ_INTERVAL: Duration = Duration::from_millis(250);
const SECONDS_PER_H: f64 = 3_600.0;
const COST_UNIT_TOKENS: f64 = 1_000.0;

/// The parameters of a load run.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// Name of the variant under test, such as a routing policy; copied to the result.
    pub label: String,
    /// Name of the conditions, such as `steady`; copied to the result.
    pub scenario: String,
    /// The user whose mix of calls is sent.
    pub user: User,
    /// Seed from which the arrivals and the calls are drawn.
    pub seed: u64,
    /// Mean number of calls per second.
    pub rate_per_s: f64,
    /// How long calls are sent; the run ends when the last of them has ended.
    pub duration: Duration,
    /// Timeout of a model call, from its planned arrival to its last token.
    pub answer_timeout: Duration,
    /// The addresses at which the nodes accept calls.
    pub nodes: Vec<SocketAddr>,
    /// The engines whose token counters are read.
    pub engines: Vec<SocketAddr>,
    /// The plain services whose run counts are read.
    pub services: Vec<SocketAddr>,
    /// Price of one engine, in millicents per hour.
    pub engine_price_millicents_per_h: u64,
}

/// State shared by the tasks of a run.
struct Shared {
    plan: LoadPlan,
    client: HttpClient,
    aggregator: Mutex<ResultAggregator>,
    prefill: Mutex<PrefillEstimator>,
}

/// Sends the scheduled calls and waits until all of them have ended.
///
/// Cancelling stops the sending of further calls; calls in flight are still awaited.
pub async fn run_load(plan: LoadPlan, cancel: &CancellationToken) -> Result<LoadResult, LoadError> {
    if plan.nodes.is_empty() {
        return Err(LoadError::NoNodes);
    }
    let arrivals = plan_arrivals(plan.user, plan.seed, plan.rate_per_s, plan.duration);
    let client = HttpClient::new();
    let engine_reader = EngineCounterReader::start(&client, &plan.engines).await;
    let aggregator = Mutex::new(ResultAggregator::new(plan.user));
    let shared = Arc::new(Shared { plan, client, aggregator, prefill: Mutex::default() });
    let stop_reading = CancellationToken::new();
    let run_reader = ServiceRunReader::new(&shared.plan.services);
    let reader_task = tokio::spawn(read_counters(
        shared.clone(),
        engine_reader,
        run_reader,
        stop_reading.clone(),
    ));
    let calls = TaskTracker::new();
    send_arrivals(&shared, arrivals, &calls, cancel).await;
    calls.close();
    calls.wait().await;
    stop_reading.cancel();
    let readers = reader_task.await.ok();
    Ok(build_result(&shared, readers))
}

async fn send_arrivals(
    shared: &Arc<Shared>,
    arrivals: Vec<Arrival>,
    calls: &TaskTracker,
    cancel: &CancellationToken,
) {
    let started_at = Instant::now();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let planned_at = started_at + arrival.at;
        tokio::select! {
            () = tokio::time::sleep_until(planned_at.into()) => {}
            () = cancel.cancelled() => return,
        }
        calls.spawn(send_call(shared.clone(), arrival, number, planned_at));
    }
}

async fn send_call(shared: Arc<Shared>, arrival: Arrival, number: usize, planned_at: Instant) {
    let key = workspace_key(&arrival.workspace);
    let credentials = Credentials { workspace: &arrival.workspace, key: &key };
    let (client, nodes) = (&shared.client, shared.plan.nodes.as_slice());
    match &arrival.call {
        ScheduledCall::Model(model_call) => {
            let request = model_call.chat_request();
            let class = arrival.class.as_str();
            let call = ModelCall {
                client,
                nodes,
                first_node: number,
                credentials,
                class,
                request: &request,
                planned_at,
            };
            let call_result = send_model_call(&call, shared.plan.answer_timeout).await;
            if !matches!(call_result.outcome, ModelCallOutcome::Refused(_)) {
                lock(&shared.prefill).add(&request.model, &request.prompt_text());
            }
            lock(&shared.aggregator).add_model_call(&arrival.workspace, class, &call_result);
        }
        ScheduledCall::Service(plain) => {
            let outcome =
                send_service_call(client, nodes, number, &credentials, &arrival.class, plain).await;
            lock(&shared.aggregator).add_service_call(&arrival.workspace, plain, &outcome);
        }
    }
}

async fn read_counters(
    shared: Arc<Shared>,
    mut engine_reader: EngineCounterReader,
    mut run_reader: ServiceRunReader,
    stop: CancellationToken,
) -> (EngineCounterReader, ServiceRunReader) {
    while !stop.is_cancelled() {
        tokio::select! {
            () = tokio::time::sleep(COUNTER_READ_INTERVAL) => {}
            () = stop.cancelled() => {}
        }
        engine_reader.read(&shared.client).await;
        run_reader.read(&shared.client).await;
    }
    (engine_reader, run_reader)
}

fn build_result(
    shared: &Shared,
    readers: Option<(EngineCounterReader, ServiceRunReader)>,
) -> LoadResult {
    let plan = &shared.plan;
    let mut aggregator = lock(&shared.aggregator);
    let mut engines = EngineTotals::default();
    if let Some((engine_reader, run_reader)) = readers {
        engines = engine_reader.totals();
        aggregator.compare_runs(&run_reader.runs(), run_reader.is_complete());
    }
    let prefill = std::mem::take(&mut *lock(&shared.prefill));
    let least_prefill_tokens = prefill.least_prefill_tokens();
    let mut result = LoadResult {
        label: plan.label.clone(),
        scenario: plan.scenario.clone(),
        user: plan.user.name().to_string(),
        seed: plan.seed,
        rate_per_s: plan.rate_per_s,
        duration_s: plan.duration.as_secs_f64(),
        groups: aggregator.groups(),
        reasons: aggregator.reasons(),
        calls: aggregator.service_calls(),
        engines,
        least_prefill_tokens,
        recomputed_tokens: engines.prefilled_tokens.saturating_sub(least_prefill_tokens),
        cost_millicents_per_1000_tokens: 0.0,
    };
    result.cost_millicents_per_1000_tokens = cost_millicents_per_1000_tokens(plan, &result);
    result
}

/// Returns the price of all engines over the run per 1,000 tokens of responses on target, in
/// millicents, or 0 without such responses.
fn cost_millicents_per_1000_tokens(plan: &LoadPlan, result: &LoadResult) -> f64 {
    let all = result.groups.iter().filter(|group| group.workspace == "*");
    let tokens: u64 = all.map(|group| group.on_target_tokens).sum();
    let hours = plan.duration.as_secs_f64() / SECONDS_PER_H;
    let price = plan.engine_price_millicents_per_h as f64 * plan.engines.len() as f64 * hours;
    if tokens == 0 { 0.0 } else { price * COST_UNIT_TOKENS / tokens as f64 }
}

/// Locks a mutex, also a poisoned one: the counts stay valid when another task panicked.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
