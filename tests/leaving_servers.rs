//! No new work goes to a backend server three seconds after word that it leaves, whoever said so.

use fl_protocol::platform::{ReclaimNotice, Vm};
use fl_standins::CloudOptions;
use fl_testbed::caller::{chat_request, wait_until};
use fl_testbed::{PLATFORM, Testbed, TestbedOptions};
use rstest::rstest;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LEAVING: &str = "runner-0";
/// The promise: no new work this long after the word.
const BOUND: Duration = Duration::from_secs(3);
/// The VM stays far longer than the test runs, so that only the word keeps work away.
const STAYS_MS: u64 = 120_000;
/// The list shows nothing of it while the test runs.
const LIST_LAG_MS: u64 = 120_000;
const CALLS_PER_NODE: usize = 6;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Routes in turn, so that every node would use the runner, also those of other data centres.
fn options(list_lag_ms: u64) -> TestbedOptions {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("routing", "policy = round-robin");
    options.cloud = CloudOptions { list_lag_ms, ..options.cloud };
    options
}

async fn call_each_node(bed: &Testbed, round: &str) {
    for number in 0..CALLS_PER_NODE {
        for node in 0..bed.nodes.len() {
            let prompt = format!("{round} {number} {node}");
            let stream = bed.open_chat(node, &chat_request(&prompt, 2), "counter", None).await;
            let whole = match stream {
                Ok(stream) => bed.finish(stream, &[node]).await.is_complete,
                Err(_) => false,
            };
            assert!(whole, "{prompt} was not answered whole");
        }
    }
}

/// Waits until the promise has to hold.
async fn wait_bound() {
    let begun = Instant::now();
    wait_until("the bound is over", async || begun.elapsed() >= BOUND).await;
}

fn notice(bed: &Testbed) {
    let leaving_at_ms = unix_ms() + STAYS_MS;
    bed.cloud.announce_reclaim(ReclaimNotice { vm: LEAVING.to_string(), leaving_at_ms });
}

fn own_report(bed: &Testbed) {
    let engine = &bed.engines[bed.engine_index(LEAVING)];
    let mut faults = engine.faults();
    faults.leaving_at_ms = Some(unix_ms() + STAYS_MS);
    engine.set_faults(faults);
}

fn list(bed: &Testbed) {
    let leaves = |vm: Vm| Vm { leaving: vm.leaving || vm.name == LEAVING, ..vm };
    bed.cloud.set_vms(bed.cloud.vms().into_iter().map(leaves).collect());
}

fn cut_from_platform(bed: &Testbed, data_centers: &[&str]) {
    for data_center in data_centers {
        bed.network.partition(data_center, PLATFORM);
    }
}

fn report_without_platform(bed: &Testbed) {
    cut_from_platform(bed, &["dc-a", "dc-b", "dc-c"]);
    own_report(bed);
}

fn notice_to_one_data_center(bed: &Testbed) {
    cut_from_platform(bed, &["dc-b", "dc-c"]);
    notice(bed);
}

#[rstest]
#[case::notice(notice, LIST_LAG_MS)]
#[case::own_report(own_report, LIST_LAG_MS)]
#[case::list(list, 0)]
#[case::report_without_platform(report_without_platform, LIST_LAG_MS)]
#[case::peers_only(notice_to_one_data_center, LIST_LAG_MS)]
#[tokio::test]
async fn no_new_work(#[case] word: fn(&Testbed), #[case] list_lag_ms: u64) {
    let bed = Testbed::start(options(list_lag_ms)).await;
    let leaving = &bed.engines[bed.engine_index(LEAVING)];
    call_each_node(&bed, "before").await;
    assert!(leaving.counters().started > 0, "the runner was never used");

    word(&bed);
    wait_bound().await;
    let started_before = leaving.counters().started;
    call_each_node(&bed, "after").await;
    assert_eq!(leaving.counters().started, started_before, "new work went to {LEAVING}");
}

/// A node that starts while the platform is out takes the list of its peers, and their word.
#[tokio::test]
async fn new_node_without_platform() {
    let mut bed = Testbed::start(options(LIST_LAG_MS)).await;
    notice(&bed);
    wait_bound().await;
    let node = bed.nodes_in("dc-c")[0];
    bed.nodes[node].kill();
    cut_from_platform(&bed, &["dc-a", "dc-b", "dc-c"]);
    bed.nodes[node].start();
    bed.wait_ready(node).await;

    let leaving = &bed.engines[bed.engine_index(LEAVING)];
    let started_before = leaving.counters().started;
    call_each_node(&bed, "after").await;
    assert_eq!(leaving.counters().started, started_before, "new work went to {LEAVING}");
}
