//! No node sends new calls to a backend server three seconds after a report that the server leaves,
//! whichever source reports it.

use fl_protocol::platform::{ReclaimNotice, Vm};
use fl_standins::CloudOptions;
use fl_testbed::caller::{chat_request, wait_until};
use fl_testbed::{PLATFORM, Testbed, TestbedOptions};
use rstest::rstest;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The runner that is reported as leaving.
const LEAVING: &str = "runner-0";
/// Time after a report at which all nodes must have stopped sending new calls.
const STOP_BOUND: Duration = Duration::from_secs(3);
/// Time until the VM leaves, far longer than the test, so that only the report keeps calls away.
const LEAVING_DELAY_MS: u64 = 120_000;
/// Delay of the VM list, so long that the list shows no change while the test runs.
const LIST_LAG_MS: u64 = 120_000;
const CALLS_PER_NODE: usize = 6;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns options with round-robin routing, so that the nodes of all data centres use the runner.
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
            let is_complete = match stream {
                Ok(stream) => bed.finish(stream, &[node]).await.is_complete,
                Err(_) => false,
            };
            assert!(is_complete, "{prompt} got no complete response");
        }
    }
}

/// Waits until all nodes must have stopped sending new calls to the runner.
async fn wait_for_stop_bound() {
    let started_at = Instant::now();
    wait_until("the time bound has passed", async || started_at.elapsed() >= STOP_BOUND).await;
}

fn send_reclaim_notice(bed: &Testbed) {
    let leaving_at_ms = unix_ms() + LEAVING_DELAY_MS;
    bed.cloud.announce_reclaim(ReclaimNotice { vm: LEAVING.to_string(), leaving_at_ms });
}

fn report_from_engine(bed: &Testbed) {
    let engine = &bed.engines[bed.engine_index(LEAVING)];
    let mut faults = engine.faults();
    faults.leaving_at_ms = Some(unix_ms() + LEAVING_DELAY_MS);
    engine.set_faults(faults);
}

fn mark_in_vm_list(bed: &Testbed) {
    let mark_leaving = |vm: Vm| Vm { leaving: vm.leaving || vm.name == LEAVING, ..vm };
    bed.cloud.set_vms(bed.cloud.vms().into_iter().map(mark_leaving).collect());
}

fn partition_from_platform(bed: &Testbed, data_centers: &[&str]) {
    for data_center in data_centers {
        bed.network.partition(data_center, PLATFORM);
    }
}

fn report_without_platform(bed: &Testbed) {
    partition_from_platform(bed, &["dc-a", "dc-b", "dc-c"]);
    report_from_engine(bed);
}

fn notice_to_one_data_center(bed: &Testbed) {
    partition_from_platform(bed, &["dc-b", "dc-c"]);
    send_reclaim_notice(bed);
}

#[rstest]
#[case::notice(send_reclaim_notice, LIST_LAG_MS)]
#[case::engine_report(report_from_engine, LIST_LAG_MS)]
#[case::vm_list(mark_in_vm_list, 0)]
#[case::report_without_platform(report_without_platform, LIST_LAG_MS)]
#[case::peers_only(notice_to_one_data_center, LIST_LAG_MS)]
#[tokio::test]
async fn no_new_calls(#[case] report_leaving: fn(&Testbed), #[case] list_lag_ms: u64) {
    let bed = Testbed::start(options(list_lag_ms)).await;
    let leaving = &bed.engines[bed.engine_index(LEAVING)];
    call_each_node(&bed, "before").await;
    assert!(leaving.counters().started > 0, "the runner was never used");

    report_leaving(&bed);
    wait_for_stop_bound().await;
    let started_before = leaving.counters().started;
    call_each_node(&bed, "after").await;
    assert_eq!(leaving.counters().started, started_before, "new calls went to {LEAVING}");
}

/// A node that starts during an outage of the platform takes the VM list and the reports of its
/// peers.
#[tokio::test]
async fn started_node_asks_peers() {
    let mut bed = Testbed::start(options(LIST_LAG_MS)).await;
    send_reclaim_notice(&bed);
    wait_for_stop_bound().await;
    let node = bed.nodes_in("dc-c")[0];
    bed.nodes[node].kill();
    partition_from_platform(&bed, &["dc-a", "dc-b", "dc-c"]);
    bed.nodes[node].start();
    bed.wait_ready(node).await;

    let leaving = &bed.engines[bed.engine_index(LEAVING)];
    let started_before = leaving.counters().started;
    call_each_node(&bed, "after").await;
    assert_eq!(leaving.counters().started, started_before, "new calls went to {LEAVING}");
}
