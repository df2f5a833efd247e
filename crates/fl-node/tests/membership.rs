//! Joining at one node: only a datagram signed with the fleet key adds a member.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_config::Settings;
use fl_kernel::Node;
use fl_kernel::services::Membership;
use fl_membership::codec::{Body, Datagram, encode};
use fl_node::{ServiceContext, membership};
use fl_protocol::{Member, MemberState};
use rstest::rstest;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
const FLEET_KEY: [u8; 32] = [7; 32];

fn context(gossip: SocketAddr) -> ServiceContext {
    let (key, ip) = ("07".repeat(32), "127.0.0.1");
    let text = format!(
        "[node]\nvm = a1\ndata_center = dc-a\nregion = r\n[listen]\ncallers = {ip}:1\n\
         peer = {ip}:2\ngossip = {gossip}\nadmin = {ip}:9090\n[platform]\ntable = {ip}:4\n\
         objects = {ip}:5\nvm_list = {ip}:6\ncloud = {ip}:7\nweights = {ip}:8\n\
         [fleet]\nkey_hex = {key}\n"
    );
    let node = Node::new();
    ServiceContext {
        runtime: tokio::runtime::Handle::current(),
        settings: Arc::new(Settings::parse(&text).unwrap()),
        registry: node.registry(),
        draining: node.draining_token(),
        shutdown: node.shutdown_token(),
        tasks: node.tasks(),
    }
}

fn join(from: SocketAddr) -> Datagram {
    let from = Member {
        vm: "b1".to_string(),
        data_center: "dc-b".to_string(),
        peer_address: from,
        gossip_address: from,
        admin_address: from,
        incarnation: 1,
        state: MemberState::Alive,
    };
    Datagram {
        body: Body::Join { from },
        configuration_version: 0,
        table_digest: 0,
        contacts: Vec::new(),
        updates: Vec::new(),
        payloads: Vec::new(),
    }
}

/// A node of another fleet, or anyone who can reach the port, must not become a member; its
/// datagram is counted as refused.
#[rstest]
#[case::fleet_key(FLEET_KEY, true)]
#[case::other_key([8; 32], false)]
#[tokio::test]
async fn join_requires_fleet_key(#[case] key: [u8; 32], #[case] joins: bool) {
    let [a, b, c]: [u8; 3] = rand::random();
    let gossip = SocketAddr::from(([127, a, b, c.clamp(1, 254)], 7001));
    let service = membership::start(&context(gossip)).await.unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let bytes = encode(&key, &join(socket.local_addr().unwrap())).unwrap();
    socket.send_to(&bytes, gossip).unwrap();
    let started_at = Instant::now();
    while service.traffic().received_bytes == 0 && service.traffic().refused == 0 {
        assert!(started_at.elapsed() < TIMEOUT);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(service.traffic().refused, u64::from(!joins));
    assert_eq!(service.members().len(), 1 + usize::from(joins));
}
