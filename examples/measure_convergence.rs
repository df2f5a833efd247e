//! Measures membership and configuration with nodes as processes.
//!
//! ```text
//! cargo build --release && cargo run --release --example measure_convergence -- 6 12 24
//! ```

#![allow(clippy::unwrap_used, reason = "a measurement stops at the first fault")]

use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::MemberState;
use fl_protocol::admin::{METRICS_PATH, STATUS_PATH, StatusPage};
use fl_protocol::event::EventKind;
use fl_testbed::testbed::default_configuration;
use fl_testbed::{PLATFORM, Testbed, TestbedOptions, wait_until};
use futures::future::join_all;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(2);
const QUIET: Duration = Duration::from_secs(10);
const IDLE_SPAN: Duration = Duration::from_secs(30);
const PUSHES: u64 = 10;
const PAUSES_S: [u64; 4] = [1, 2, 5, 10];
const VICTIM: usize = 3;

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
    tokio::time::sleep(QUIET).await;
    idle(&bed).await;
    pushes(&bed, "all connected", 1).await;
    bed.network.partition("dc-b", PLATFORM);
    pushes(&bed, "dc-b cut from the platform", 1 + PUSHES).await;
    bed.network.heal();
    pauses(&bed).await;
    death(&mut bed).await;
}

/// Bytes a second and processor time of an idle node.
async fn idle(bed: &Testbed) {
    let before = join_all(bed.nodes.iter().map(|node| sample(bed, &node.vm))).await;
    let started = Instant::now();
    tokio::time::sleep(IDLE_SPAN).await;
    let after = join_all(bed.nodes.iter().map(|node| sample(bed, &node.vm))).await;
    let seconds = started.elapsed().as_secs_f64();
    let rate = |of: fn(&Sample) -> f64| -> Vec<f64> {
        before.iter().zip(&after).map(|(a, b)| (of(b) - of(a)) / seconds).collect()
    };
    print_spread("sent, B/s", rate(|sample| sample.sent_bytes));
    print_spread("received, B/s", rate(|sample| sample.received_bytes));
    print_spread("processor, % of a core", rate(|sample| sample.processor_s * 100.0));
    print_spread("resident, MB", after.iter().map(|sample| sample.resident_mb).collect());
}

struct Sample {
    sent_bytes: f64,
    received_bytes: f64,
    processor_s: f64,
    resident_mb: f64,
}

async fn sample(bed: &Testbed, vm: &str) -> Sample {
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

/// Time from the acceptance of a push to the last node.
async fn pushes(bed: &Testbed, name: &str, first_parent: u64) {
    let mut took_ms = Vec::new();
    for parent_version in first_parent..first_parent + PUSHES {
        let mut configuration = default_configuration();
        configuration.parent_version = parent_version;
        bed.push_configuration(&configuration).await;
        let accepted = Instant::now();
        wait_until("in force", async || all_have(bed, parent_version + 1).await).await;
        took_ms.push(accepted.elapsed().as_secs_f64() * 1e3);
    }
    print_spread(&format!("push to the last node, {name}, ms"), took_ms);
}

async fn all_have(bed: &Testbed, version: u64) -> bool {
    let all: Vec<usize> = (0..bed.nodes.len()).collect();
    let pages = join_all(all.iter().map(|node| status(bed, *node))).await;
    pages.iter().all(|page| page.as_ref().is_some_and(|p| p.configuration_version >= version))
}

async fn status(bed: &Testbed, node: usize) -> Option<StatusPage> {
    let uri = format!("http://{}{STATUS_PATH}", bed.nodes[node].admin_address);
    HttpClient::new(ConnectionReuse::Never).get_json(&uri, TIMEOUT).await.ok()
}

/// What pauses of one node bring about at the others and at the paused node itself.
async fn pauses(bed: &Testbed) {
    for pause_s in PAUSES_S {
        let before = changes(bed).await;
        bed.nodes[VICTIM].pause();
        tokio::time::sleep(Duration::from_secs(pause_s)).await;
        bed.nodes[VICTIM].resume();
        wait_until("settled", async || settled(bed).await).await;
        let after = changes(bed).await;
        let suspected = after[0] - before[0];
        let dead = after[1] - before[1];
        let others = after[2] - before[2];
        println!(
            "pause of {pause_s} s: paused node suspected {suspected} and called dead {dead} times \
             over all nodes; running nodes blamed {others} times"
        );
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
}

/// Counts over all nodes: victim suspected, victim called dead, another one blamed.
async fn changes(bed: &Testbed) -> [usize; 3] {
    let victim = format!("{}:", bed.nodes[VICTIM].vm);
    let mut counts = [0; 3];
    for node in &bed.nodes {
        let uri = format!("http://{}{}", node.admin_address, fl_protocol::admin::TIME_LINE_PATH);
        let http = HttpClient::new(ConnectionReuse::Never);
        let page: fl_timeline::TimeLinePage = http.get_json(&uri, TIMEOUT).await.unwrap();
        for event in page.events.iter().filter(|event| event.kind == EventKind::MemberChanged) {
            let about_victim = event.detail.starts_with(&victim);
            let suspected = event.detail.ends_with("to Suspect");
            let gone = event.detail.ends_with("to Dead") || event.detail.ends_with("to CutOff");
            counts[0] += usize::from(about_victim && suspected);
            counts[1] += usize::from(about_victim && gone);
            counts[2] += usize::from(!about_victim && (suspected || gone));
        }
    }
    counts
}

async fn settled(bed: &Testbed) -> bool {
    let all: Vec<usize> = (0..bed.nodes.len()).collect();
    let pages = join_all(all.iter().map(|node| status(bed, *node))).await;
    pages.iter().flatten().count() == bed.nodes.len()
        && pages
            .iter()
            .flatten()
            .all(|page| page.members.iter().all(|member| member.state == MemberState::Alive))
}

/// Time until all others call a killed node dead.
async fn death(bed: &mut Testbed) {
    let victim = bed.nodes[VICTIM].vm.clone();
    bed.nodes[VICTIM].kill();
    let killed = Instant::now();
    let rest: Vec<usize> = (0..bed.nodes.len()).filter(|node| *node != VICTIM).collect();
    let mut first_ms = None;
    wait_until("dead everywhere", async || {
        let pages = join_all(rest.iter().map(|node| status(bed, *node))).await;
        let states: Vec<MemberState> = pages
            .iter()
            .flatten()
            .filter_map(|page| page.members.iter().find(|member| member.vm == victim))
            .map(|member| member.state)
            .collect();
        if first_ms.is_none() && states.iter().any(|state| *state != MemberState::Alive) {
            first_ms = Some(killed.elapsed().as_millis());
        }
        states.len() == rest.len() && states.iter().all(|state| *state == MemberState::Dead)
    })
    .await;
    let all_ms = killed.elapsed().as_millis();
    println!(
        "kill: first suspicion after {} ms, dead at all after {all_ms} ms",
        first_ms.unwrap_or(0)
    );
}

fn print_spread(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let max = values.last().copied().unwrap_or(0.0);
    println!("{name}: mean {mean:.1}, max {max:.1}");
}
