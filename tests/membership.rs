//! Nodes detect which members are dead, unreachable or leaving, and ignore invalid datagrams.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::MemberState;
use fl_protocol::admin::{METRICS_PATH, STATUS_PATH, StatusPage, TIME_LINE_PATH};
use fl_protocol::event::EventKind;
use fl_testbed::{Testbed, TestbedOptions, wait_until};
use fl_timeline::TimeLinePage;
use std::net::UdpSocket;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);
/// UDP port on which the nodes of a testbed receive membership datagrams.
const GOSSIP_PORT: u16 = 7001;
/// The nodes of data centre `dc-b`.
const DC_B: [usize; 2] = [1, 4];

fn options() -> TestbedOptions {
    TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
}

/// Returns the state in which one node sees another.
async fn observed_state(bed: &Testbed, observer: usize, subject: usize) -> Option<MemberState> {
    let uri = format!("http://{}{STATUS_PATH}", bed.nodes[observer].admin_address);
    let page =
        HttpClient::new(ConnectionReuse::Never).get_json::<StatusPage>(&uri, TIMEOUT).await.ok()?;
    let vm = &bed.nodes[subject].vm;
    page.members.iter().find(|member| member.vm == *vm).map(|member| member.state)
}

async fn all_observe(
    bed: &Testbed,
    observers: &[usize],
    subjects: &[usize],
    state: MemberState,
) -> bool {
    for observer in observers {
        for subject in subjects {
            if observer != subject && observed_state(bed, *observer, *subject).await != Some(state)
            {
                return false;
            }
        }
    }
    true
}

/// Returns whether a node has recorded a change of a member whose description ends as given.
async fn has_seen_change(bed: &Testbed, node: usize, ending: &str) -> bool {
    let uri = format!("http://{}{TIME_LINE_PATH}", bed.nodes[node].admin_address);
    let page: TimeLinePage =
        HttpClient::new(ConnectionReuse::Never).get_json(&uri, TIMEOUT).await.unwrap();
    let changes = page.events.iter().filter(|event| event.kind == EventKind::MemberChanged);
    changes.into_iter().any(|event| event.detail.ends_with(ending))
}

#[tokio::test]
async fn killed_node_returns() {
    let mut bed = Testbed::start(options()).await;
    bed.nodes[4].kill();
    let other_nodes = [0, 1, 2, 3, 5];
    wait_until("dead", async || all_observe(&bed, &other_nodes, &[4], MemberState::Dead).await)
        .await;
    bed.nodes[4].start();
    wait_until("back", async || all_observe(&bed, &other_nodes, &[4], MemberState::Alive).await)
        .await;
}

#[tokio::test]
async fn partitioned_nodes_not_dead() {
    let bed = Testbed::start(options()).await;
    bed.network.partition("dc-b", "dc-a");
    bed.network.partition("dc-b", "dc-c");
    let other_nodes = [0, 2, 3, 5];
    wait_until("the partition is detected outside", async || {
        all_observe(&bed, &other_nodes, &DC_B, MemberState::CutOff).await
    })
    .await;
    wait_until("the partition is detected inside", async || {
        all_observe(&bed, &DC_B, &other_nodes, MemberState::CutOff).await
    })
    .await;
    assert!(all_observe(&bed, &DC_B, &DC_B, MemberState::Alive).await);
    bed.network.heal();
    let all = [0, 1, 2, 3, 4, 5];
    wait_until("healed", async || all_observe(&bed, &all, &all, MemberState::Alive).await).await;
    for node in all {
        assert!(
            !has_seen_change(&bed, node, "to Dead").await,
            "node {node} declared an unreachable node dead"
        );
    }
}

#[tokio::test]
async fn leaving_announced() {
    let mut bed = Testbed::start(options()).await;
    bed.nodes[2].terminate();
    wait_until("leaving", async || has_seen_change(&bed, 0, "entry-2: Alive to Leaving").await)
        .await;
    assert!(bed.nodes[2].wait().await.success());
}

#[tokio::test]
async fn invalid_datagrams_refused() {
    let bed = Testbed::start(options()).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let node = &bed.nodes[0];
    for datagram in [vec![0; 3], vec![7; 300], vec![9; 1500]] {
        socket.send_to(&datagram, (node.peer_address.ip(), GOSSIP_PORT)).unwrap();
    }
    let uri = format!("http://{}{METRICS_PATH}", node.admin_address);
    wait_until("the invalid datagrams are counted", async || {
        let request =
            fl_platform::http::build_json_request(http::Method::GET, &uri, bytes::Bytes::new());
        let reply =
            HttpClient::new(ConnectionReuse::Never).fetch(request.unwrap(), TIMEOUT).await.unwrap();
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        text.lines().any(|line| line == "membership_datagrams_refused 3")
    })
    .await;
    let all = [0, 1, 2, 3, 4, 5];
    assert!(all_observe(&bed, &all, &all, MemberState::Alive).await);
}
