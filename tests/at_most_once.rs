//! A call that may not be repeated runs at most once, and *not run* is never contradicted.
//!
//! Each case sends one booking to the first node, applies faults at chosen steps, sends the same
//! key to all other nodes at once, and lets the faults end. See `docs/PROOFS.md`.

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
/// Long enough for a fault to meet the call within the step.
const STEP_MS: u64 = 700;
/// How long the others' tries are under way before the faults end.
const FAULT_SPAN: Duration = Duration::from_millis(900);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Where the first node is when the fault meets it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    BeforeClaim,
    AfterClaim,
    AfterDispatch,
    BeforeOutcome,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Kill,
    Pause,
    LoseAnswer,
    LoseTransaction,
    TableFrozen,
    TableClosed,
    TableUnavailable,
    TableOverRate,
    LoseReply,
    ServersOut,
}

use Fault::*;
use Step::*;

type Case<'a> = &'a [Fault];

#[rstest]
#[tokio::test]
async fn single_fault(
    #[values(BeforeClaim, AfterClaim, AfterDispatch, BeforeOutcome)] step: Step,
    #[values(
        Kill,
        Pause,
        LoseAnswer,
        LoseTransaction,
        TableFrozen,
        TableClosed,
        TableUnavailable,
        TableOverRate,
        LoseReply,
        ServersOut
    )]
    fault: Fault,
) {
    runs_once(step, &[fault]).await;
}

#[rstest]
#[case::pause_table(&[Pause, TableFrozen])]
#[case::kill_table(&[Kill, TableUnavailable])]
#[case::kill_lost(&[Kill, LoseAnswer])]
#[case::pause_lost(&[Pause, LoseAnswer])]
#[case::lost_closed(&[LoseAnswer, TableClosed])]
#[case::servers_lost(&[ServersOut, LoseAnswer])]
#[case::servers_table(&[ServersOut, TableFrozen])]
#[case::reply_lost(&[LoseReply, LoseAnswer])]
#[case::pause_kill(&[Pause, Kill])]
#[tokio::test]
async fn fault_pair(
    #[values(BeforeClaim, AfterClaim, AfterDispatch, BeforeOutcome)] step: Step,
    #[case] faults: Case<'static>,
) {
    runs_once(step, faults).await;
}

#[rstest]
#[case::lost(&[LoseAnswer, LoseAnswer])]
#[case::lost_write(&[LoseTransaction, LoseTransaction])]
#[case::mixed(&[LoseTransaction, LoseAnswer])]
#[case::pause(&[Pause, Pause])]
#[tokio::test]
async fn same_twice(
    #[values(BeforeClaim, AfterClaim, BeforeOutcome)] step: Step,
    #[case] faults: Case<'static>,
) {
    runs_once(step, faults).await;
}

/// What a try was told, and how often the call had run when it was told.
#[derive(Debug)]
struct Told {
    node: usize,
    status: Option<u16>,
    done: Option<ExecutionState>,
    kind: String,
    runs: u64,
}

async fn runs_once(step: Step, faults: Case<'_>) {
    let mut bed = start().await;
    slow_down(&bed, step);
    let first = send(&bed, 0);
    let first = tokio::spawn(first);
    reached(&bed, step).await;
    for fault in faults {
        apply(&mut bed, *fault).await;
    }
    if faults.contains(&Pause) || faults.contains(&Kill) {
        // The others are to meet the silent owner before the faults end.
        let faults = bed.table.faults();
        bed.table.set_faults(TableServiceFaults { slow_ms: 0, slow_after_effect_ms: 0, ..faults });
    }
    let mut told: Vec<Told> = Vec::new();
    let others: Vec<_> = (1..bed.nodes.len()).map(|node| send(&bed, node)).collect();
    let others = tokio::spawn(futures::future::join_all(others));
    // The faults end while the others' tries are under way.
    tokio::time::sleep(FAULT_SPAN).await;
    heal(&bed, faults);
    for (node, reply) in others.await.expect("a try ended badly") {
        told.push(hear(&bed, node, reply));
    }
    let (node, reply) = first.await.expect("the first try ended badly");
    told.push(hear(&bed, node, reply));
    // A later try: whatever it is told, the call does not run a second time.
    told.push(hear(&bed, 1, send(&bed, 1).await.1));
    let total = runs(&bed);
    let case = format!("{step:?} {faults:?}");
    println!("{case}: ran {total} times; {}", summary(&told));
    assert!(total <= 1, "{case}: {told:#?}");
    check_not_run(&told, &case);
    let answered = told.iter().any(|told| told.status == Some(201));
    assert!(!answered || total == 1, "{case}: an answer without a run");
}

/// Says of each *not run* that the call had not run then, and that only a try that was sent after
/// it may have run the call.
fn check_not_run(told: &[Told], case: &str) {
    let said = |told: &&Told| told.done == Some(ExecutionState::NotRun);
    for told in told.iter().filter(said) {
        assert_eq!(told.runs, 0, "{case}: not run was said of a call that ran: {told:?}");
    }
    // All but the last try were sent before any of them was answered.
    let (last, earlier) = told.split_last().expect("tries");
    let vouched = earlier.iter().any(|told| told.done == Some(ExecutionState::NotRun));
    let ran_before_last = last.runs > 0 && last.status != Some(201);
    assert!(!vouched || !ran_before_last, "{case}: a try ran after not run was said: {told:#?}");
}

fn summary(told: &[Told]) -> String {
    let one = |told: &Told| format!("{}:{:?}:{}", told.node, told.status, told.kind);
    told.iter().map(one).collect::<Vec<_>>().join(" ")
}

async fn start() -> Testbed {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("membership", "heartbeat_ms = 200")
        .with_setting("membership", "suspicion_ms = 600");
    options.nodes = 4;
    options.runners = 1;
    Testbed::start(options).await
}

/// Stretches the step, so that the fault meets the call in it.
fn slow_down(bed: &Testbed, step: Step) {
    match step {
        BeforeClaim => {
            bed.table.set_faults(TableServiceFaults {
                slow_ms: STEP_MS,
                ..TableServiceFaults::default()
            });
        }
        AfterClaim => bed.table.set_faults(TableServiceFaults {
            slow_after_effect_ms: STEP_MS,
            ..TableServiceFaults::default()
        }),
        AfterDispatch => set_services(
            bed,
            &PlainServiceFaults { delay_before_effect_ms: STEP_MS, ..Default::default() },
        ),
        BeforeOutcome => set_services(
            bed,
            &PlainServiceFaults { delay_after_effect_ms: STEP_MS, ..Default::default() },
        ),
    }
}

/// Waits until the first try has come to the step.
async fn reached(bed: &Testbed, step: Step) {
    match step {
        BeforeClaim => wait_until("the claim is sent", async || sent_claims(bed).await > 0).await,
        AfterClaim | AfterDispatch => {
            wait_until("the claim", async || !bed.table.rows("calls").is_empty()).await;
        }
        BeforeOutcome => wait_until("the run", async || runs(bed) > 0).await,
    }
}

/// The transactions that the first node's ledger has sent.
async fn sent_claims(bed: &Testbed) -> u64 {
    let page = Request::get(format!("http://{}/metrics", bed.nodes[0].admin_address));
    let page = page.body(Full::default()).expect("a request");
    let reply =
        HttpClient::new(ConnectionReuse::Never).fetch(page, TIMEOUT).await.expect("metrics");
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("fl_ledger_transactions_total "));
    line.and_then(|count| count.trim().parse().ok()).unwrap_or(0)
}

async fn apply(bed: &mut Testbed, fault: Fault) {
    let mut table = bed.table.faults();
    match fault {
        Kill => bed.nodes[0].kill(),
        Pause => bed.nodes[0].pause(),
        LoseAnswer => table.lose_answers += 1,
        LoseTransaction => table.lose_transactions += 1,
        TableFrozen => table.outage = Outage::Frozen,
        TableClosed => table.outage = Outage::Closed,
        TableUnavailable => table.outage = Outage::Unavailable,
        TableOverRate => table.writes_per_s = 1,
        LoseReply => change_services(bed, |faults| faults.lose_answers += 1),
        ServersOut => {
            for server in &bed.applications {
                server.stop().await;
            }
        }
    }
    bed.table.set_faults(table);
}

fn heal(bed: &Testbed, faults: Case<'_>) {
    bed.table.set_faults(TableServiceFaults::default());
    set_services(bed, &PlainServiceFaults::default());
    if faults.contains(&Pause) && bed.nodes[0].is_started() {
        bed.nodes[0].resume();
    }
}

fn set_services(bed: &Testbed, faults: &PlainServiceFaults) {
    bed.applications.iter().for_each(|server| server.set_faults(faults.clone()));
}

fn change_services(bed: &Testbed, change: impl Fn(&mut PlainServiceFaults)) {
    for server in &bed.applications {
        let mut faults = server.faults();
        change(&mut faults);
        server.set_faults(faults);
    }
}

fn runs(bed: &Testbed) -> u64 {
    let id = format_request_id(derive_request_id(fl_testbed::WORKSPACE, KEY));
    bed.applications.iter().map(|server| server.run_count(&id)).sum()
}

fn send(bed: &Testbed, node: usize) -> impl Future<Output = (usize, Option<HttpResponse>)> + use<> {
    let mut builder = request_builder(
        Method::POST,
        bed.nodes[node].caller_address,
        "/v1/services/bookings/bookings",
    );
    builder = builder.header("idempotency-key", KEY);
    let built = builder.body(Full::new(BODY.into())).expect("a request");
    async move { (node, HttpClient::new(ConnectionReuse::Never).fetch(built, TIMEOUT).await.ok()) }
}

fn hear(bed: &Testbed, node: usize, reply: Option<HttpResponse>) -> Told {
    let runs = runs(bed);
    let Some(reply) = reply else {
        return Told { node, status: None, done: None, kind: "cut".into(), runs };
    };
    let problem: Option<ProblemBody> = serde_json::from_slice(&reply.body).ok();
    let kind = problem.as_ref().map_or_else(String::new, |problem| {
        problem.kind.trim_start_matches("urn:filbertlead:problem:").to_string()
    });
    let done = problem.map(|problem| problem.what_was_done);
    Told { node, status: Some(reply.status.as_u16()), done, kind, runs }
}

#[tokio::test]
async fn table_out() {
    let bed = start().await;
    let frozen = TableServiceFaults { outage: Outage::Frozen, ..TableServiceFaults::default() };
    bed.table.set_faults(frozen);
    let stock = bed.call_service(1, Method::GET, "stock/stock/boots", None, "").await;
    assert_eq!(stock.expect("stock").status, 200);
    let model = bed.open_chat(1, &chat_request("which size fits", 5), "counter", None).await;
    assert!(model.is_ok(), "model calls go on");
    let refused = hear(&bed, 2, send(&bed, 2).await.1);
    assert_eq!((refused.status, refused.kind.as_str()), (Some(503), "earlier-try-unknown"));
    bed.table.set_faults(TableServiceFaults::default());
    wait_until("bookings work again", async || {
        hear(&bed, 2, send(&bed, 2).await.1).status == Some(201)
    })
    .await;
    assert_eq!(runs(&bed), 1);
}

#[rstest]
#[case::vouched(true, "platform-unavailable", ExecutionState::NotRun)]
#[case::not_vouched(false, "earlier-try-unknown", ExecutionState::Unknown)]
#[tokio::test]
async fn first_try(#[case] vouched: bool, #[case] kind: &str, #[case] done: ExecutionState) {
    let bed = start().await;
    bed.table
        .set_faults(TableServiceFaults { outage: Outage::Closed, ..TableServiceFaults::default() });
    let mut builder = request_builder(
        Method::POST,
        bed.nodes[1].caller_address,
        "/v1/services/bookings/bookings",
    );
    builder = builder.header("idempotency-key", KEY).header(FIRST_TRY_HEADER, vouched.to_string());
    let built = builder.body(Full::new(BODY.into())).expect("a request");
    let reply =
        HttpClient::new(ConnectionReuse::Never).fetch(built, TIMEOUT).await.expect("a reply");
    assert!(
        reply.headers.contains_key("retry-after") && reply.headers.contains_key("x-request-id")
    );
    let told = hear(&bed, 1, Some(reply));
    assert_eq!((told.kind.as_str(), told.done, told.runs), (kind, Some(done), 0));
}

#[tokio::test]
async fn after_release() {
    let mut bed = start().await;
    for server in &bed.applications {
        server.stop().await;
    }
    let refused = hear(&bed, 0, send(&bed, 0).await.1);
    assert_eq!((refused.kind.as_str(), refused.done), ("no-backend", Some(ExecutionState::NotRun)));
    for server in &mut bed.applications {
        let options = PlainServiceOptions { vm: server.vm().to_string(), ..Default::default() };
        *server = PlainService::start(server.address(), options).await.expect("a server");
    }
    wait_until("a later try runs", async || {
        hear(&bed, 1, send(&bed, 1).await.1).status == Some(201)
    })
    .await;
    assert_eq!(runs(&bed), 1);
}

#[tokio::test]
async fn same_answer() {
    let bed = start().await;
    let mut bodies = Vec::new();
    for node in [0, 1, 2, 3, 0] {
        let reply = send(&bed, node).await.1.expect("a reply");
        assert_eq!(reply.status, 201);
        bodies.push(reply.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    let other = bed.call_service(2, Method::POST, PATH, Some(KEY), "another body").await;
    assert_eq!(hear(&bed, 2, other.ok()).kind, "key-reused");
    let without_key = bed.call_service(2, Method::POST, PATH, None, BODY).await;
    assert_eq!(hear(&bed, 2, without_key.ok()).kind, "key-required");
    assert_eq!(runs(&bed), 1);
}

#[tokio::test]
async fn shared_transactions() {
    const CALLS: usize = 200;
    let bed = start().await;
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
