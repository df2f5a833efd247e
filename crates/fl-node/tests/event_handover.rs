//! The choice of the peers that keep the events of a node that goes away.

use fl_node::event_log::choose_handover_peers;
use fl_protocol::{Member, MemberState};
use rstest::rstest;
use std::net::SocketAddr;

fn member(vm: &str, state: MemberState) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        vm: vm.to_string(),
        data_center: vm[..1].to_string(),
        peer_address: address,
        gossip_address: address,
        admin_address: address,
        incarnation: 1,
        state,
    }
}

#[rstest]
#[case::other_data_center(&["a1", "a2", "b1"], &["b1", "a2"])]
#[case::only_own(&["a1", "a2"], &["a2"])]
#[case::nobody(&["a1"], &[])]
#[case::few_tried(&["a1", "b1", "b2", "b3", "b4"], &["b", "b", "b"])]
fn prefers_other_data_center(#[case] names: &[&str], #[case] expected: &[&str]) {
    let members = names.iter().map(|vm| member(vm, MemberState::Alive)).collect();
    let found = choose_handover_peers(&member("a1", MemberState::Alive), members);
    assert_eq!(found.len(), expected.len());
    assert!(found.iter().zip(expected).all(|(member, prefix)| member.vm.starts_with(prefix)));
}

/// A peer that is suspect, leaving, cut off or dead may lose the events or never get them.
#[test]
fn skips_unavailable_peers() {
    let states =
        [MemberState::Suspect, MemberState::Leaving, MemberState::CutOff, MemberState::Dead];
    let members = states.map(|state| member("b1", state)).to_vec();
    assert!(choose_handover_peers(&member("a1", MemberState::Alive), members).is_empty());
}

/// If a data centre goes down as a whole, its nodes must not all hand their events to the same
/// peer.
#[test]
fn spreads_over_peers() {
    let others: Vec<Member> =
        (0..8).map(|index| member(&format!("b{index}"), MemberState::Alive)).collect();
    let own = (0..40).map(|index| member(&format!("a{index}"), MemberState::Alive));
    let mut chosen: Vec<String> =
        own.map(|own| choose_handover_peers(&own, others.clone())[0].vm.clone()).collect();
    chosen.sort();
    chosen.dedup();
    assert!(chosen.len() >= 6, "{chosen:?}");
}
