//! Status of the fleet: where a version is in force, and which nodes do not answer.

use fl_ctl::commands::status::FleetStatus;
use fl_protocol::admin::StatusPage;
use fl_protocol::{Member, MemberState};
use rstest::rstest;
use std::net::SocketAddr;

fn member(vm: &str, data_center: &str, state: MemberState) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        vm: vm.to_string(),
        data_center: data_center.to_string(),
        peer_address: address,
        gossip_address: address,
        admin_address: address,
        incarnation: 1,
        state,
    }
}

fn page(vm: &str, data_center: &str, version: u64, members: &[Member]) -> StatusPage {
    StatusPage {
        vm: vm.to_string(),
        data_center: data_center.to_string(),
        now_ms: 0,
        ready: version > 0,
        not_ready_reasons: vec!["no configuration".to_string()],
        configuration_version: version,
        members: members.to_vec(),
        backends: Vec::new(),
    }
}

#[rstest]
#[case::all_current(7, 7, MemberState::Dead, true)]
#[case::higher(7, 8, MemberState::Dead, true)]
#[case::one_behind(7, 6, MemberState::Dead, false)]
#[case::one_unresponsive(7, 7, MemberState::Alive, false)]
#[case::one_unreachable(7, 7, MemberState::CutOff, false)]
fn version_in_force(
    #[case] first: u64,
    #[case] second: u64,
    #[case] third: MemberState,
    #[case] expected: bool,
) {
    let third = [member("entry-3", "dc-a", third)];
    let pages = vec![page("entry-1", "dc-a", first, &third), page("entry-2", "dc-a", second, &[])];
    assert_eq!(FleetStatus::new(pages).is_in_force("dc-a", 7), expected);
}

#[test]
fn printed_per_data_center() {
    let unresponsive = [member("entry-4", "dc-b", MemberState::CutOff)];
    let pages = vec![page("entry-2", "dc-a", 0, &[]), page("entry-1", "dc-a", 3, &unresponsive)];
    let expected = "dc-a: versions 0 to 3\n  entry-1: ready, version 3\n  \
                    entry-2: not ready, version 0: no configuration\n\
                    dc-b: no node answers\n  entry-4: does not answer, its peers call it CutOff\n";
    assert_eq!(FleetStatus::new(pages).to_string(), expected);
}
