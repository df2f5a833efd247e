//! Measures how fast node processes agree on membership and configuration, and what idling costs.
//!
//! The arguments are the numbers of nodes to measure.
//!
//! ```text
//! cargo build --release && cargo run --release --example measure_convergence -- 6 12 24
//! ```

#![allow(clippy::unwrap_used, reason = "a measurement stops at the first error")]

use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::MemberState;
use fl_protocol::admin::{METRICS_PATH, STATUS_PATH, StatusPage};
use fl_protocol::event::EventKind;
use fl_testbed::testbed::default_configuration;
use fl_testbed::{PLATFORM, Testbed, TestbedOptions, wait_until};
use futures::future::join_all;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(2);
const SETTLE_TIME: Duration = Duration::from_secs(10);
const IDLE_DURATION: Duration = Duration::from_secs(30);
const PUSHES: u64 = 10;
const PAUSES_S: [u64; 4] = [1, 2, 5, 10];
const TARGET_NODE: usize = 3;

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).map(|size| size.parse().unwrap()).collect();
    for nodes in sizes {
        measure(nodes).await;
    }
}

async fn measure(nodes: usize) {
    let binary = std::env::current_exe().unwrap();
    let binary = binary.parent().unwrap().parent().unwrap().join("filbertlead");
    let mut options = TestbedOptions::new(binary.to_str().unwrap());
    (options.nodes, options.runners, options.applications) = (nodes, 1, 0);
    let mut bed = Testbed::start(options).await;
    println!("## {nodes} nodes, 3 data centres");
    tokio::time::sleep(SETTLE_TIME).await;
    measure_idle(&bed).await;
    measure_pushes(&bed, "all connected", 1).await;
    bed.network.partition("dc-b", PLATFORM);
    measure_pushes(&bed, "dc-b partitioned from the platform", 1 + PUSHES).await;
    bed.network.heal();
    measure_pauses(&bed).await;
    measure_death_detection(&mut bed).await;
}

/// Measures the network traffic, the processor time and the memory of idle nodes.
async fn measure_idle(bed: &Testbed) {
    let before = join_all(bed.nodes.iter().map(|node| take_sample(bed, &node.vm))).await;
    let started = Instant::now();
    tokio::time::sleep(IDLE_DURATION).await;
    let after = join_all(bed.nodes.iter().map(|node| take_sample(bed, &node.vm))).await;
    let seconds = started.elapsed().as_secs_f64();
    let rate = |of: fn(&Sample) -> f64| -> Vec<f64> {
        before.iter().zip(&after).map(|(a, b)| (of(b) - of(a)) / seconds).collect()
    };
    print_statistics("sent, B/s", rate(|sample| sample.sent_bytes));
    print_statistics("received, B/s", rate(|sample| sample.received_bytes));
    print_statistics("processor, % of a core", rate(|sample| sample.processor_s * 100.0));
    print_statistics("resident, MB", after.iter().map(|sample| sample.resident_mb).collect());
}

/// Counters of one node at one moment.
struct Sample {
    sent_bytes: f64,
    received_bytes: f64,
    processor_s: f64,
    resident_mb: f64,
}

async fn take_sample(bed: &Testbed, vm: &str) -> Sample {
    let node = bed.nodes.iter().find(|node| node.vm == vm).unwrap();
    let uri = format!("http://{}{METRICS_PATH}", node.admin_address);
    let request =
        fl_platform::http::build_json_request(http::Method::GET, &uri, bytes::Bytes::new())
            .unwrap();
    let reply = HttpClient::new(ConnectionReuse::Never).fetch(request, TIMEOUT).await.unwrap();
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let value = |name: &str| -> f64 {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
    };
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.pid())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    let pages: f64 = fields[21].parse().unwrap();
    Sample {
        sent_bytes: value("membership_sent_bytes "),
        received_bytes: value("membership_received_bytes "),
        processor_s: ticks / 100.0,
        resident_mb: pages * 4096.0 / 1e6,
    }
}

/// Measures the time from the acceptance of a push until the version is in force at all nodes.
async fn measure_pushes(bed: &Testbed, name: &str, first_parent: u64) {
    let mut durations_ms = Vec::new();
    for parent_version in first_parent..first_parent + PUSHES {
        let mut configuration = default_configuration();
        configuration.parent_version = parent_version;
        bed.push_configuration(&configuration).await;
        let accepted = Instant::now();
        wait_until("in force", async || all_have_version(bed, parent_version + 1).await).await;
        durations_ms.push(accepted.elapsed().as_secs_f64() * 1e3);
    }
    print_statistics(&format!("push to the last node, {name}, ms"), durations_ms);
}

async fn all_have_version(bed: &Testbed, version: u64) -> bool {
    let all: Vec<usize> = (0..bed.nodes.len()).collect();
    let pages = join_all(all.iter().map(|node| read_status(bed, *node))).await;
    pages.iter().all(|page| page.as_ref().is_some_and(|p| p.configuration_version >= version))
}

async fn read_status(bed: &Testbed, node: usize) -> Option<StatusPage> {
    let uri = format!("http://{}{STATUS_PATH}", bed.nodes[node].admin_address);
    HttpClient::new(ConnectionReuse::Never).get_json(&uri, TIMEOUT).await.ok()
}

/// Measures how often nodes are suspected or declared dead while one node is paused.
async fn measure_pauses(bed: &Testbed) {
    for pause_s in PAUSES_S {
        let before = count_state_changes(bed).await;
        bed.nodes[TARGET_NODE].pause();
        tokio::time::sleep(Duration::from_secs(pause_s)).await;
        bed.nodes[TARGET_NODE].resume();
        wait_until("settled", async || is_settled(bed).await).await;
        let after = count_state_changes(bed).await;
        let suspected = after[0] - before[0];
        let dead = after[1] - before[1];
        let others = after[2] - before[2];
        println!(
            "pause of {pause_s} s: paused node suspected {suspected} and declared dead {dead} \
             times over all nodes; running nodes suspected or declared dead {others} times"
        );
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
}

/// Counts state changes over all nodes: target suspected, target declared dead or unreachable, and
/// any such change of another node.
async fn count_state_changes(bed: &Testbed) -> [usize; 3] {
    let target = format!("{}:", bed.nodes[TARGET_NODE].vm);
    let mut counts = [0; 3];
    for node in &bed.nodes {
        let uri = format!("http://{}{}", node.admin_address, fl_protocol::admin::TIME_LINE_PATH);
        let http = HttpClient::new(ConnectionReuse::Never);
        let page: fl_timeline::TimeLinePage = http.get_json(&uri, TIMEOUT).await.unwrap();
        for event in page.events.iter().filter(|event| event.kind == EventKind::MemberChanged) {
            let is_target = event.detail.starts_with(&target);
            let suspected = event.detail.ends_with("to Suspect");
            let dead = event.detail.ends_with("to Dead") || event.detail.ends_with("to CutOff");
            counts[0] += usize::from(is_target && suspected);
            counts[1] += usize::from(is_target && dead);
            counts[2] += usize::from(!is_target && (suspected || dead));
        }
    }
    counts
}

async fn is_settled(bed: &Testbed) -> bool {
    let all: Vec<usize> = (0..bed.nodes.len()).collect();
    let pages = join_all(all.iter().map(|node| read_status(bed, *node))).await;
    pages.iter().flatten().count() == bed.nodes.len()
        && pages
            .iter()
            .flatten()
            .all(|page| page.members.iter().all(|member| member.state == MemberState::Alive))
}

/// Measures the time until all other nodes have declared a killed node dead.
async fn measure_death_detection(bed: &mut Testbed) {
    let target = bed.nodes[TARGET_NODE].vm.clone();
    bed.nodes[TARGET_NODE].kill();
    let killed = Instant::now();
    let others: Vec<usize> = (0..bed.nodes.len()).filter(|node| *node != TARGET_NODE).collect();
    let mut first_ms = None;
    wait_until("declared dead by all nodes", async || {
        let pages = join_all(others.iter().map(|node| read_status(bed, *node))).await;
        let states: Vec<MemberState> = pages
            .iter()
            .flatten()
            .filter_map(|page| page.members.iter().find(|member| member.vm == target))
            .map(|member| member.state)
            .collect();
        if first_ms.is_none() && states.iter().any(|state| *state != MemberState::Alive) {
            first_ms = Some(killed.elapsed().as_millis());
        }
        states.len() == others.len() && states.iter().all(|state| *state == MemberState::Dead)
    })
    .await;
    let all_ms = killed.elapsed().as_millis();
    println!(
        "kill: first suspicion after {} ms, declared dead by all nodes after {all_ms} ms",
        first_ms.unwrap_or(0)
    );
}

fn print_statistics(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let max = values.last().copied().unwrap_or(0.0);
    println!("{name}: mean {mean:.1}, max {max:.1}");
}
