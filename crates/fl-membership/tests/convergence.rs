//! Tests that the views of all nodes converge under loss, pauses, restarts and network partitions.

#[path = "common/simulation.rs"]
mod simulation;

use fl_protocol::MemberState;
use proptest::prelude::*;
use rstest::rstest;
use simulation::{HEARTBEAT, SUSPICION, Simulation, member};
use std::time::Duration;

/// Virtual time after which a condition counts as not reached.
const LIMIT: Duration = Duration::from_secs(120);

fn converged(node_count: usize, data_centers: usize, seed: u64) -> Simulation {
    println!("seed {seed}");
    let mut simulation = Simulation::new(node_count, data_centers, seed);
    let took = simulation.run_until(LIMIT, Simulation::has_converged);
    assert!(took.is_some(), "{node_count} nodes did not converge");
    simulation
}

#[rstest]
#[case::two(2, 1)]
#[case::six(6, 3)]
#[case::sixty(60, 4)]
fn members_converge(#[case] nodes: usize, #[case] data_centers: usize) {
    converged(nodes, data_centers, 1);
}

#[rstest]
#[case::two(2, 1)]
#[case::six(6, 3)]
#[case::two_dozen(24, 3)]
fn death_detected(#[case] nodes: usize, #[case] data_centers: usize) {
    let mut simulation = converged(nodes, data_centers, 2);
    simulation.nodes[1].running = false;
    let took =
        simulation.run_until(LIMIT, |simulation| simulation.all_observe(1, MemberState::Dead));
    assert!(took.is_some());
}

/// A node that was silent for less than the suspicion timeout must refute and never be declared
/// dead.
#[test]
fn suspicion_refuted() {
    let mut simulation = converged(6, 1, 3);
    simulation.nodes[2].running = false;
    let suspected =
        |simulation: &Simulation| simulation.observed_state(0, 2) == Some(MemberState::Suspect);
    assert!(simulation.run_until(LIMIT, suspected).is_some());
    simulation.nodes[2].running = true;
    assert!(simulation.run_until(LIMIT, Simulation::has_converged).is_some());
    let declared_dead = simulation
        .nodes
        .iter()
        .flat_map(|node| &node.changes)
        .filter(|(_, change)| change.after == MemberState::Dead);
    assert_eq!(declared_dead.count(), 0);
}

/// A node that was paused receives no acknowledgements meanwhile; it must not report its peers as suspect.
#[test]
fn paused_node_suspects_nobody() {
    let mut simulation = converged(6, 3, 4);
    for _ in 0..10 {
        simulation.step();
        simulation.nodes[0].running = false;
        simulation.run_for(Duration::from_secs(30));
        simulation.nodes[0].running = true;
        simulation.nodes[0].changes.clear();
        assert!(simulation.run_until(LIMIT, Simulation::has_converged).is_some());
        let changes = &simulation.nodes[0].changes;
        assert!(changes.iter().all(|(_, change)| change.after == MemberState::Alive));
    }
}

#[test]
fn leave_announced() {
    let mut simulation = converged(12, 3, 5);
    let now = simulation.now;
    simulation.nodes[3].state.leave(now);
    let announced = |simulation: &Simulation| simulation.all_observe(3, MemberState::Leaving);
    assert!(simulation.run_until(LIMIT, announced).is_some());
}

#[test]
fn restart_supersedes() {
    let mut simulation = converged(6, 3, 6);
    simulation.start(member(4, 3, 2000));
    assert!(simulation.run_until(LIMIT, Simulation::has_converged).is_some());
    let incarnation = simulation.nodes[4].state.own_member().incarnation;
    assert!(incarnation >= 2000);
}

/// Nodes behind a network partition must be reported as cut off, never as dead.
#[rstest]
#[case::six(6, 3)]
#[case::two_dozen(24, 4)]
fn partition_heals(#[case] nodes: usize, #[case] data_centers: usize) {
    let mut simulation = converged(nodes, data_centers, 7);
    let is_remote = |index: &usize| index % data_centers == 1;
    for index in (0..nodes).filter(is_remote) {
        simulation.nodes[index].partitioned = true;
    }
    let unreachable = |simulation: &Simulation| {
        (0..nodes)
            .filter(is_remote)
            .all(|index| simulation.observed_state(0, index) == Some(MemberState::CutOff))
    };
    assert!(simulation.run_until(LIMIT, unreachable).is_some());
    simulation.run_for(LIMIT);
    for node in &simulation.nodes {
        assert!(node.changes.iter().all(|(_, change)| change.after != MemberState::Dead));
    }
    for node in &mut simulation.nodes {
        node.partitioned = false;
    }
    assert!(simulation.run_until(LIMIT, Simulation::has_converged).is_some());
}

#[test]
fn payload_spreads() {
    let mut simulation = converged(12, 3, 8);
    for payload in [vec![1], vec![2, 2]] {
        simulation.nodes[0].state.set_payload(payload.clone());
        let vm = simulation.nodes[0].state.own_member().vm.clone();
        let spread = |simulation: &Simulation| {
            simulation.nodes.iter().all(|node| node.state.payload(&vm).as_ref() == Some(&payload))
        };
        assert!(simulation.run_until(LIMIT, spread).is_some());
    }
}

#[test]
fn configuration_version_spreads() {
    let mut simulation = converged(6, 3, 9);
    simulation.nodes[5].state.set_configuration_version(4);
    let known = |simulation: &Simulation| {
        simulation.nodes[..5]
            .iter()
            .all(|node| node.state.configuration_hint().is_some_and(|hint| hint.version == 4))
    };
    assert!(simulation.run_until(LIMIT, known).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn loss_recovered(seed in any::<u64>(), loss_percent in 0u32..20, victim in 2usize..9) {
        let mut simulation = converged(9, 3, seed);
        simulation.loss_percent = loss_percent;
        simulation.nodes[victim].running = false;
        simulation.run_for(SUSPICION * 4 + HEARTBEAT * 10);
        simulation.loss_percent = 0;
        simulation.nodes[victim].running = true;
        prop_assert!(simulation.run_until(LIMIT, Simulation::has_converged).is_some());
    }
}
