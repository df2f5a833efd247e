//! A non-idempotent call runs at most once, and no run contradicts a *not run* response.
//!
//! Each case sends one booking to the first node, injects faults while the call is at a chosen
//! step, sends the same idempotency key to all other nodes at once, and then removes the faults.
//! See `docs/PROOFS.md`.

#![allow(clippy::expect_used)]

use fl_platform::http::HttpResponse;
use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::chat::FIRST_TRY_HEADER;
use fl_protocol::{ExecutionState, ProblemBody, derive_request_id, format_request_id};
use fl_standins::faults::Outage;
use fl_standins::{PlainService, PlainServiceFaults, PlainServiceOptions, TableServiceFaults};
use fl_testbed::caller::{chat_request, request_builder};
use fl_testbed::{Testbed, TestbedOptions, wait_until};
use http::{Method, Request};
use http_body_util::Full;
use rstest::rstest;
use std::time::Duration;

const KEY: &str = "booking-1";
const PATH: &str = "bookings/bookings";
const BODY: &str = "{\"room\":\"crypt\"}";
/// Delay that stretches a step, so that the fault is injected while the call is at it.
const STEP_DELAY_MS: u64 = 700;
/// Time between sending the other attempts and removing the faults.
const FAULT_DURATION: Duration = Duration::from_millis(900);
const TIMEOUT: Duration = Duration::from_secs(30);

/// How far the call at the first node has come when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    /// The ledger has sent the claim, which has not taken effect yet.
    BeforeClaim,
    /// The claim has taken effect, and the ledger waits for the response.
    AfterClaim,
    /// The call has reached the service, which has not run it yet.
    AfterDispatch,
    /// The service has run the call and has not responded yet.
    BeforeOutcome,
}

/// A failure of the first node, of the table service or of the application servers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Kill,
    Pause,
    /// The next transaction takes effect, but its response is lost.
    LoseTableResponse,
    /// The next transaction is lost before it takes effect.
    LoseTransaction,
    /// The table service accepts connections and never responds.
    TableFrozen,
    /// The table service closes each connection without a response.
    TableClosed,
    /// The table service responds with status 503 at once.
    TableUnavailable,
    /// The table service accepts one transaction per second.
    TableRateLimited,
    /// The service runs the next call, but its response is lost.
    LoseServiceResponse,
    /// All application servers are stopped.
    ServersStopped,
}

use Fault::*;
use Step::*;

/// Faults that are injected one after the other.
type FaultSequence<'a> = &'a [Fault];

#[rstest]
#[tokio::test]
async fn single_fault(
    #[values(BeforeClaim, AfterClaim, AfterDispatch, BeforeOutcome)] step: Step,
    #[values(
        Kill,
        Pause,
        LoseTableResponse,
        LoseTransaction,
        TableFrozen,
        TableClosed,
        TableUnavailable,
        TableRateLimited,
        LoseServiceResponse,
        ServersStopped
    )]
    fault: Fault,
) {
    assert_runs_at_most_once(step, &[fault]).await;
}

#[rstest]
#[case::pause_table(&[Pause, TableFrozen])]
#[case::kill_table(&[Kill, TableUnavailable])]
#[case::kill_lost(&[Kill, LoseTableResponse])]
#[case::pause_lost(&[Pause, LoseTableResponse])]
#[case::lost_closed(&[LoseTableResponse, TableClosed])]
#[case::servers_lost(&[ServersStopped, LoseTableResponse])]
#[case::servers_table(&[ServersStopped, TableFrozen])]
#[case::reply_lost(&[LoseServiceResponse, LoseTableResponse])]
#[case::pause_kill(&[Pause, Kill])]
#[tokio::test]
async fn fault_pair(
    #[values(BeforeClaim, AfterClaim, AfterDispatch, BeforeOutcome)] step: Step,
    #[case] faults: FaultSequence<'static>,
) {
    assert_runs_at_most_once(step, faults).await;
}

#[rstest]
#[case::lost(&[LoseTableResponse, LoseTableResponse])]
#[case::lost_write(&[LoseTransaction, LoseTransaction])]
#[case::mixed(&[LoseTransaction, LoseTableResponse])]
#[case::pause(&[Pause, Pause])]
#[tokio::test]
async fn repeated_fault(
    #[values(BeforeClaim, AfterClaim, BeforeOutcome)] step: Step,
    #[case] faults: FaultSequence<'static>,
) {
    assert_runs_at_most_once(step, faults).await;
}

/// The response to one attempt, and how often the call had run when it was read.
#[derive(Debug)]
struct AttemptResult {
    node: usize,
    status: Option<u16>,
    /// Whether the call ran, as stated by the problem body.
    done: Option<ExecutionState>,
    kind: String,
    runs: u64,
}

async fn assert_runs_at_most_once(step: Step, faults: FaultSequence<'_>) {
    let mut bed = start_testbed().await;
    delay_step(&bed, step);
    let first = send_booking(&bed, 0);
    let first = tokio::spawn(first);
    wait_until_step(&bed, step).await;
    for fault in faults {
        inject_fault(&mut bed, *fault).await;
    }
    if faults.contains(&Pause) || faults.contains(&Kill) {
        // The other attempts must find the owner unresponsive while the faults last, so the table
        // answers them without delay.
        let faults = bed.table.faults();
        bed.table.set_faults(TableServiceFaults { slow_ms: 0, slow_after_effect_ms: 0, ..faults });
    }
    let mut results: Vec<AttemptResult> = Vec::new();
    let others: Vec<_> = (1..bed.nodes.len()).map(|node| send_booking(&bed, node)).collect();
    let others = tokio::spawn(futures::future::join_all(others));
    // The faults are removed while the other attempts are in flight.
    tokio::time::sleep(FAULT_DURATION).await;
    remove_faults(&bed, faults);
    for (node, reply) in others.await.expect("the task of a later attempt panicked") {
        results.push(read_result(&bed, node, reply));
    }
    let (node, reply) = first.await.expect("the task of the first attempt panicked");
    results.push(read_result(&bed, node, reply));
    // Whatever this later attempt is told, the call must not run a second time.
    results.push(read_result(&bed, 1, send_booking(&bed, 1).await.1));
    let total = count_runs(&bed);
    let case = format!("{step:?} {faults:?}");
    println!("{case}: ran {total} times; {}", format_results(&results));
    assert!(total <= 1, "{case}: {results:#?}");
    check_not_run(&results, &case);
    let answered = results.iter().any(|result| result.status == Some(201));
    assert!(!answered || total == 1, "{case}: a success response without a run");
}

/// Checks each *not run* response: the call had not run by then, and only an attempt that was sent
/// after the response may run it.
fn check_not_run(results: &[AttemptResult], case: &str) {
    let is_not_run = |result: &&AttemptResult| result.done == Some(ExecutionState::NotRun);
    for result in results.iter().filter(is_not_run) {
        assert_eq!(result.runs, 0, "{case}: a call that ran was reported as not run: {result:?}");
    }
    // All attempts but the last were sent before any of them got its response.
    let (last, earlier) = results.split_last().expect("at least one attempt");
    let reported_not_run = earlier.iter().any(|result| result.done == Some(ExecutionState::NotRun));
    let ran_before_last = last.runs > 0 && last.status != Some(201);
    assert!(
        !reported_not_run || !ran_before_last,
        "{case}: an attempt ran after it was reported as not run: {results:#?}"
    );
}

fn format_results(results: &[AttemptResult]) -> String {
    let format_one =
        |result: &AttemptResult| format!("{}:{:?}:{}", result.node, result.status, result.kind);
    results.iter().map(format_one).collect::<Vec<_>>().join(" ")
}

async fn start_testbed() -> Testbed {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("membership", "heartbeat_ms = 200")
        .with_setting("membership", "suspicion_ms = 600");
    options.nodes = 4;
    options.runners = 1;
    Testbed::start(options).await
}

/// Delays the step, so that the fault can be injected while the call is at it.
fn delay_step(bed: &Testbed, step: Step) {
    match step {
        BeforeClaim => {
            bed.table.set_faults(TableServiceFaults {
                slow_ms: STEP_DELAY_MS,
                ..TableServiceFaults::default()
            });
        }
        AfterClaim => bed.table.set_faults(TableServiceFaults {
            slow_after_effect_ms: STEP_DELAY_MS,
            ..TableServiceFaults::default()
        }),
        AfterDispatch => set_service_faults(
            bed,
            &PlainServiceFaults { delay_before_effect_ms: STEP_DELAY_MS, ..Default::default() },
        ),
        BeforeOutcome => set_service_faults(
            bed,
            &PlainServiceFaults { delay_after_effect_ms: STEP_DELAY_MS, ..Default::default() },
        ),
    }
}

/// Waits until the first attempt has reached the step.
async fn wait_until_step(bed: &Testbed, step: Step) {
    match step {
        BeforeClaim => wait_until("the claim is sent", async || count_commits(bed).await > 0).await,
        AfterClaim | AfterDispatch => {
            wait_until("the claim", async || !bed.table.rows("calls").is_empty()).await;
        }
        BeforeOutcome => wait_until("the run", async || count_runs(bed) > 0).await,
    }
}

/// Returns how many transactions the ledger of the first node has sent to the table service.
async fn count_commits(bed: &Testbed) -> u64 {
    let page = Request::get(format!("http://{}/metrics", bed.nodes[0].admin_address));
    let page = page.body(Full::default()).expect("a request");
    let reply =
        HttpClient::new(ConnectionReuse::Never).fetch(page, TIMEOUT).await.expect("metrics");
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("fl_ledger_transactions_total "));
    line.and_then(|count| count.trim().parse().ok()).unwrap_or(0)
}

async fn inject_fault(bed: &mut Testbed, fault: Fault) {
    let mut table = bed.table.faults();
    match fault {
        Kill => bed.nodes[0].kill(),
        Pause => bed.nodes[0].pause(),
        LoseTableResponse => table.lose_answers += 1,
        LoseTransaction => table.lose_transactions += 1,
        TableFrozen => table.outage = Outage::Frozen,
        TableClosed => table.outage = Outage::Closed,
        TableUnavailable => table.outage = Outage::Unavailable,
        TableRateLimited => table.writes_per_s = 1,
        LoseServiceResponse => update_service_faults(bed, |faults| faults.lose_answers += 1),
        ServersStopped => {
            for server in &bed.applications {
                server.stop().await;
            }
        }
    }
    bed.table.set_faults(table);
}

fn remove_faults(bed: &Testbed, faults: FaultSequence<'_>) {
    bed.table.set_faults(TableServiceFaults::default());
    set_service_faults(bed, &PlainServiceFaults::default());
    if faults.contains(&Pause) && bed.nodes[0].is_started() {
        bed.nodes[0].resume();
    }
}

fn set_service_faults(bed: &Testbed, faults: &PlainServiceFaults) {
    bed.applications.iter().for_each(|server| server.set_faults(faults.clone()));
}

fn update_service_faults(bed: &Testbed, change: impl Fn(&mut PlainServiceFaults)) {
    for server in &bed.applications {
        let mut faults = server.faults();
        change(&mut faults);
        server.set_faults(faults);
    }
}

fn count_runs(bed: &Testbed) -> u64 {
    let id = format_request_id(derive_request_id(fl_testbed::WORKSPACE, KEY));
    bed.applications.iter().map(|server| server.run_count(&id)).sum()
}

fn send_booking(
    bed: &Testbed,
    node: usize,
) -> impl Future<Output = (usize, Option<HttpResponse>)> + use<> {
    let mut builder = request_builder(
        Method::POST,
        bed.nodes[node].caller_address,
        "/v1/services/bookings/bookings",
    );
    builder = builder.header("idempotency-key", KEY);
    let built = builder.body(Full::new(BODY.into())).expect("a request");
    async move { (node, HttpClient::new(ConnectionReuse::Never).fetch(built, TIMEOUT).await.ok()) }
}

fn read_result(bed: &Testbed, node: usize, reply: Option<HttpResponse>) -> AttemptResult {
    let runs = count_runs(bed);
    let Some(reply) = reply else {
        return AttemptResult { node, status: None, done: None, kind: "cut".into(), runs };
    };
    let problem: Option<ProblemBody> = serde_json::from_slice(&reply.body).ok();
    let kind = problem.as_ref().map_or_else(String::new, |problem| {
        problem.kind.trim_start_matches("urn:filbertlead:problem:").to_string()
    });
    let done = problem.map(|problem| problem.what_was_done);
    AttemptResult { node, status: Some(reply.status.as_u16()), done, kind, runs }
}

#[tokio::test]
async fn table_outage() {
    let bed = start_testbed().await;
    let frozen = TableServiceFaults { outage: Outage::Frozen, ..TableServiceFaults::default() };
    bed.table.set_faults(frozen);
    let stock = bed.call_service(1, Method::GET, "stock/stock/boots", None, "").await;
    assert_eq!(stock.expect("stock").status, 200);
    let model = bed.open_chat(1, &chat_request("which size fits", 5), "counter", None).await;
    assert!(model.is_ok(), "model calls go on");
    let refused = read_result(&bed, 2, send_booking(&bed, 2).await.1);
    assert_eq!((refused.status, refused.kind.as_str()), (Some(503), "earlier-try-unknown"));
    bed.table.set_faults(TableServiceFaults::default());
    wait_until("bookings work again", async || {
        read_result(&bed, 2, send_booking(&bed, 2).await.1).status == Some(201)
    })
    .await;
    assert_eq!(count_runs(&bed), 1);
}

/// A caller that marks its call as the first attempt is told that it did not run. Without the mark,
/// an earlier attempt may have run, so the outcome is unknown.
#[rstest]
#[case::first_attempt(true, "platform-unavailable", ExecutionState::NotRun)]
#[case::later_attempt(false, "earlier-try-unknown", ExecutionState::Unknown)]
#[tokio::test]
async fn first_attempt_header(
    #[case] is_first: bool,
    #[case] kind: &str,
    #[case] done: ExecutionState,
) {
    let bed = start_testbed().await;
    bed.table
        .set_faults(TableServiceFaults { outage: Outage::Closed, ..TableServiceFaults::default() });
    let mut builder = request_builder(
        Method::POST,
        bed.nodes[1].caller_address,
        "/v1/services/bookings/bookings",
    );
    builder = builder.header("idempotency-key", KEY).header(FIRST_TRY_HEADER, is_first.to_string());
    let built = builder.body(Full::new(BODY.into())).expect("a request");
    let reply =
        HttpClient::new(ConnectionReuse::Never).fetch(built, TIMEOUT).await.expect("a reply");
    assert!(
        reply.headers.contains_key("retry-after") && reply.headers.contains_key("x-request-id")
    );
    let result = read_result(&bed, 1, Some(reply));
    assert_eq!((result.kind.as_str(), result.done, result.runs), (kind, Some(done), 0));
}

/// A claim that was released as *not run* does not block a later attempt.
#[tokio::test]
async fn released_claim_retried() {
    let mut bed = start_testbed().await;
    for server in &bed.applications {
        server.stop().await;
    }
    let refused = read_result(&bed, 0, send_booking(&bed, 0).await.1);
    assert_eq!((refused.kind.as_str(), refused.done), ("no-backend", Some(ExecutionState::NotRun)));
    for server in &mut bed.applications {
        let options = PlainServiceOptions { vm: server.vm().to_string(), ..Default::default() };
        *server = PlainService::start(server.address(), options).await.expect("a server");
    }
    wait_until("a later attempt runs", async || {
        read_result(&bed, 1, send_booking(&bed, 1).await.1).status == Some(201)
    })
    .await;
    assert_eq!(count_runs(&bed), 1);
}

/// Retries get the recorded response of the one run, from every node.
#[tokio::test]
async fn retries_get_recorded_response() {
    let bed = start_testbed().await;
    let mut bodies = Vec::new();
    for node in [0, 1, 2, 3, 0] {
        let reply = send_booking(&bed, node).await.1.expect("a reply");
        assert_eq!(reply.status, 201);
        bodies.push(reply.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    let other = bed.call_service(2, Method::POST, PATH, Some(KEY), "another body").await;
    assert_eq!(read_result(&bed, 2, other.ok()).kind, "key-reused");
    let without_key = bed.call_service(2, Method::POST, PATH, None, BODY).await;
    assert_eq!(read_result(&bed, 2, without_key.ok()).kind, "key-required");
    assert_eq!(count_runs(&bed), 1);
}

/// Concurrent claims and outcomes are written in shared transactions.
#[tokio::test]
async fn transactions_shared() {
    const CALLS: usize = 200;
    let bed = start_testbed().await;
    let before = bed.table.counters();
    let calls = (0..CALLS).map(|index| {
        let bed = &bed;
        async move {
            let key = format!("shared-{index}");
            bed.call_service(0, Method::POST, PATH, Some(&key), BODY).await
        }
    });
    let replies = futures::future::join_all(calls).await;
    let after = bed.table.counters();
    let commits = after.commits - before.commits;
    println!("{CALLS} calls: {commits} transactions, {} reads", after.reads - before.reads);
    assert!(replies.iter().all(|reply| reply.as_ref().is_ok_and(|reply| reply.status == 201)));
    assert!(commits < 2 * CALLS as u64, "no transaction was shared");
}
