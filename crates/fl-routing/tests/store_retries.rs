//! Calls to a store that is away, and the nodes that seek a lease without a holder, at several sizes
//! of a fleet.

use fl_routing::lease_contention::Vacancy;
use fl_routing::rendezvous::name_hash;
use fl_routing::store_readers::is_reader;
use fl_routing::store_retries::{RetryRole, retry_pause};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const SEED: u64 = 7;
const AWAY_TIME: Duration = Duration::from_secs(20);
const READER_PAUSE: Duration = Duration::from_millis(150);
const TERM: Duration = Duration::from_secs(3);
/// Calls a second that all nodes which do not read for others make together, whatever their number.
const SERVED_CALLS_PER_S_MAX: f64 = 25.0;
/// Nodes that may read a lease without a holder in its first seconds, whatever the size of the fleet.
const FIRST_CONTENDERS_MAX: usize = 6;
/// A lease whose best-ranked contenders are cut off has contenders that are not, after this time.
const TAKE_OVER_TIME: Duration = Duration::from_secs(6);

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8 + 1], 7500))
}

fn peers(nodes: usize, own: usize) -> Vec<SocketAddr> {
    (0..nodes).filter(|node| *node != own).map(address).collect()
}

/// Returns the calls of a node to a store that is away for [`AWAY_TIME`], after the first one.
fn calls(role: RetryRole, random: &mut ChaCha8Rng) -> u32 {
    let (mut now, mut failures) = (Duration::ZERO, 1);
    loop {
        now += retry_pause(READER_PAUSE, failures, role, random.random());
        if now >= AWAY_TIME {
            return failures - 1;
        }
        failures += 1;
    }
}

/// Guards against calls to a store that is away that grow with the number of nodes.
#[rstest]
fn served_nodes_share_a_budget(#[values(6, 61, 195, 340)] nodes: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let served = (0..nodes).filter(|own| !is_reader(address(*own), &peers(nodes, *own)));
    let sum: u32 = served.map(|_| calls(RetryRole::Served { nodes }, &mut random)).sum();
    let per_s = f64::from(sum) / AWAY_TIME.as_secs_f64();
    assert!(per_s <= SERVED_CALLS_PER_S_MAX, "{per_s:.0} calls a second of {nodes} nodes");
}

/// A node that reads for others keeps its pace, and so notices soon that the store is back.
#[test]
fn reader_keeps_its_pace() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let expected = AWAY_TIME.as_millis() / READER_PAUSE.as_millis();
    assert_eq!(u128::from(calls(RetryRole::Reader, &mut random)), expected);
}

/// A node that hears no peer backs off, but not for longer than a few seconds.
#[test]
fn lone_node_backs_off() {
    let pause = |failures| retry_pause(READER_PAUSE, failures, RetryRole::Alone, 0.5);
    assert_eq!(pause(1), READER_PAUSE);
    assert_eq!(pause(2), READER_PAUSE * 2);
    assert_eq!(pause(60), Duration::from_secs(2));
}

fn contenders(
    nodes: usize,
    hears: impl Fn(usize, usize) -> bool,
    vacant_for: Duration,
) -> Vec<usize> {
    let hash = |node: usize| name_hash(&address(node).to_string());
    let may_contend = |own: &usize| {
        let others = (0..nodes).filter(|node| node != own);
        let heard: Vec<u64> = others.filter(|node| hears(*own, *node)).map(hash).collect();
        let known = Some(nodes - 1);
        Vacancy { own: hash(*own), heard: &heard, known, vacant_for }.may_contend(TERM)
    };
    (0..nodes).filter(may_contend).collect()
}

/// Guards against every node reading the row of a lease that nobody holds.
#[rstest]
fn few_seek_a_vacant_lease(#[values(6, 61, 195, 340)] nodes: usize) {
    let found = contenders(nodes, |_, _| true, TERM);
    assert!((1..=FIRST_CONTENDERS_MAX).contains(&found.len()), "{found:?}");
}

/// The lease finds a holder although the nodes that may seek it first are cut off from the store:
/// others follow.
#[rstest]
fn others_follow_cut_contenders(#[values(6, 61, 195, 340)] nodes: usize) {
    let first = contenders(nodes, |_, _| true, Duration::ZERO);
    let later = contenders(nodes, |_, _| true, TAKE_OVER_TIME);
    assert!(later.iter().any(|node| !first.contains(node)));
}

/// Guards against a lease that goes to a node that has just started and hears few of its peers,
/// which then reports what it has heard as the whole.
#[rstest]
fn starting_node_waits(#[values(6, 61, 195, 340)] nodes: usize) {
    let started = 0;
    let hears = |own: usize, peer: usize| own != started || peer % 7 == 1;
    assert!(!contenders(nodes, hears, Duration::ZERO).contains(&started));
    let hears_none = |own: usize, _: usize| own != started;
    assert!(!contenders(nodes, hears_none, Duration::ZERO).contains(&started));
    // If no other node takes the lease within a term, it does.
    assert!(contenders(nodes, hears_none, TERM).contains(&started));
}

/// A node that has not read the list of nodes takes nobody's silence for their absence.
#[test]
fn unlisted_node_waits() {
    let vacancy = Vacancy { own: 1, heard: &[], known: None, vacant_for: TERM * 10 };
    assert!(!vacancy.may_contend(TERM));
}
