//! Tests which runners a node watches and which peers it notifies.

use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::{Member, MemberState};
use fl_routing::runner_watch::{WATCHERS_PER_RUNNER, peers_to_notify, watched_runners};
use rstest::rstest;
use std::net::SocketAddr;

fn member(number: usize, data_centers: usize) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        vm: format!("n{number:03}"),
        data_center: format!("dc{}", number % data_centers),
        peer_address: address,
        gossip_address: address,
        admin_address: address,
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn runner(number: usize, data_centers: usize) -> Vm {
    Vm {
        name: format!("r{number:03}"),
        kind: VmKind::Runner,
        pool: "runners".to_string(),
        data_center: format!("dc{}", number % data_centers),
        address: "127.0.0.1:1".to_string(),
        machine_class: "standard".to_string(),
        reclaimable: true,
        leaving: false,
    }
}

#[rstest]
#[case::small_fleet(6, 3, 12, true, 6)]
#[case::small_fleet_idle(6, 3, 12, false, WATCHERS_PER_RUNNER)]
#[case::large_fleet(340, 8, 760, true, WATCHERS_PER_RUNNER)]
#[case::large_fleet_idle(340, 8, 760, false, WATCHERS_PER_RUNNER)]
fn watchers_per_runner(
    #[case] nodes: usize,
    #[case] data_centers: usize,
    #[case] runners: usize,
    #[case] serves_calls: bool,
    #[case] expected: usize,
) {
    let members: Vec<Member> = (0..nodes).map(|number| member(number, data_centers)).collect();
    let vms: Vec<Vm> = (0..runners).map(|number| runner(number, data_centers)).collect();
    let watched: Vec<Vec<String>> =
        members.iter().map(|own| watched_runners(own, &members, &vms, serves_calls)).collect();
    for vm in &vms {
        let watchers = watched.iter().filter(|names| names.binary_search(&vm.name).is_ok());
        assert_eq!(watchers.count(), expected, "watchers of {}", vm.name);
    }
}

#[test]
fn notices_reach_all_nodes() {
    let members: Vec<Member> = (0..340).map(|number| member(number, 8)).collect();
    let mut notified = vec![false; members.len()];
    let mut to_relay = vec![0];
    let mut messages = 0;
    notified[0] = true;
    while let Some(index) = to_relay.pop() {
        for peer in peers_to_notify(&members[index], &members, "r001") {
            messages += 1;
            let peer_index = members.iter().position(|member| member.vm == peer.vm).unwrap();
            if !notified[peer_index] {
                notified[peer_index] = true;
                to_relay.push(peer_index);
            }
        }
    }
    let reached = notified.iter().filter(|notified| **notified).count();
    assert!(reached >= members.len() * 99 / 100, "only {reached} nodes were notified");
    assert!(messages <= members.len() * 11, "{messages} messages");
}
