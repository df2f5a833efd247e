//! What nodes come to believe of each other, under loss, pauses, restarts and cuts.

#[path = "common/exchange.rs"]
mod exchange;

use exchange::{Exchange, HEARTBEAT, SUSPICION, member};
use fl_protocol::MemberState;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(120);

fn settled(nodes: usize, data_centers: usize, seed: u64) -> Exchange {
    println!("seed {seed}");
    let mut exchange = Exchange::new(nodes, data_centers, seed);
    let took = exchange.run_until(LIMIT, Exchange::settled);
    assert!(took.is_some(), "{nodes} nodes did not learn of each other");
    exchange
}

#[rstest]
#[case::two(2, 1)]
#[case::six(6, 3)]
#[case::sixty(60, 4)]
fn everybody_learned(#[case] nodes: usize, #[case] data_centers: usize) {
    settled(nodes, data_centers, 1);
}

#[rstest]
#[case::two(2, 1)]
#[case::six(6, 3)]
#[case::two_dozen(24, 3)]
fn death_noticed(#[case] nodes: usize, #[case] data_centers: usize) {
    let mut exchange = settled(nodes, data_centers, 2);
    exchange.places[1].running = false;
    let took = exchange.run_until(LIMIT, |now| now.all_believe(1, MemberState::Dead));
    assert!(took.is_some());
}

#[test]
fn suspicion_refuted() {
    let mut exchange = settled(6, 1, 3);
    exchange.places[2].running = false;
    let suspected = |now: &Exchange| now.belief(0, 2) == Some(MemberState::Suspect);
    assert!(exchange.run_until(LIMIT, suspected).is_some());
    exchange.places[2].running = true;
    assert!(exchange.run_until(LIMIT, Exchange::settled).is_some());
    let buried = exchange
        .places
        .iter()
        .flat_map(|place| &place.changes)
        .filter(|(_, change)| change.after == MemberState::Dead);
    assert_eq!(buried.count(), 0);
}

#[test]
fn sleeper_blames_nobody() {
    let mut exchange = settled(6, 3, 4);
    for _ in 0..10 {
        exchange.step();
        exchange.places[0].running = false;
        exchange.run_for(Duration::from_secs(30));
        exchange.places[0].running = true;
        exchange.places[0].changes.clear();
        assert!(exchange.run_until(LIMIT, Exchange::settled).is_some());
        let changes = &exchange.places[0].changes;
        assert!(changes.iter().all(|(_, change)| change.after == MemberState::Alive));
    }
}

#[test]
fn leave_told() {
    let mut exchange = settled(12, 3, 5);
    let now = exchange.now;
    exchange.places[3].state.leave(now);
    let told = |now: &Exchange| now.all_believe(3, MemberState::Leaving);
    assert!(exchange.run_until(LIMIT, told).is_some());
}

#[test]
fn restart_wins() {
    let mut exchange = settled(6, 3, 6);
    exchange.start(member(4, 3, 2000));
    assert!(exchange.run_until(LIMIT, Exchange::settled).is_some());
    let incarnation = exchange.places[4].state.own().incarnation;
    assert!(incarnation >= 2000);
}

#[rstest]
#[case::six(6, 3)]
#[case::two_dozen(24, 4)]
fn cut_heals(#[case] nodes: usize, #[case] data_centers: usize) {
    let mut exchange = settled(nodes, data_centers, 7);
    let far = |index: &usize| index % data_centers == 1;
    for index in (0..nodes).filter(far) {
        exchange.places[index].cut = true;
    }
    let cut_off = |now: &Exchange| {
        (0..nodes).filter(far).all(|index| now.belief(0, index) == Some(MemberState::CutOff))
    };
    assert!(exchange.run_until(LIMIT, cut_off).is_some());
    exchange.run_for(LIMIT);
    for place in &exchange.places {
        assert!(place.changes.iter().all(|(_, change)| change.after != MemberState::Dead));
    }
    for place in &mut exchange.places {
        place.cut = false;
    }
    assert!(exchange.run_until(LIMIT, Exchange::settled).is_some());
}

#[test]
fn payload_spreads() {
    let mut exchange = settled(12, 3, 8);
    for payload in [vec![1], vec![2, 2]] {
        exchange.places[0].state.set_payload(payload.clone());
        let vm = exchange.places[0].state.own().vm.clone();
        let spread = |now: &Exchange| {
            now.places.iter().all(|place| place.state.payload(&vm).as_ref() == Some(&payload))
        };
        assert!(exchange.run_until(LIMIT, spread).is_some());
    }
}

#[test]
fn version_rides() {
    let mut exchange = settled(6, 3, 9);
    exchange.places[5].state.set_configuration_version(4);
    let known = |now: &Exchange| {
        now.places[..5]
            .iter()
            .all(|place| place.state.configuration_hint().is_some_and(|hint| hint.version == 4))
    };
    assert!(exchange.run_until(LIMIT, known).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn loss_outlived(seed in any::<u64>(), loss_percent in 0u32..20, victim in 2usize..9) {
        let mut exchange = settled(9, 3, seed);
        exchange.loss_percent = loss_percent;
        exchange.places[victim].running = false;
        exchange.run_for(SUSPICION * 4 + HEARTBEAT * 10);
        exchange.loss_percent = 0;
        exchange.places[victim].running = true;
        prop_assert!(exchange.run_until(LIMIT, Exchange::settled).is_some());
    }
}
