//! Tests that a heartbeat is sent however many updates, table entries and payloads wait to be
//! piggybacked.

#[path = "common/simulation.rs"]
#[allow(dead_code, reason = "this test uses only the constants and members of the simulation")]
mod simulation;

use fl_membership::codec::{Body, Datagram, MAX_PAYLOAD_BYTES, PiggybackedPayload, encode};
use fl_membership::{MAX_DATAGRAM_BYTES, MembershipConfig, MembershipState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use simulation::{HEARTBEAT, SUSPICION, member};
use std::time::Duration;

const KEY: [u8; 32] = [7; 32];
const PEERS: usize = 42;

/// Returns a datagram in which a peer introduces itself, with a digest that matches no table.
fn introduction_of(index: usize) -> Datagram {
    let from = member(index, 1, 1000);
    let payload =
        PiggybackedPayload { vm: from.vm.clone(), version: 1, bytes: vec![1; MAX_PAYLOAD_BYTES] };
    Datagram {
        body: Body::Table { from },
        configuration_version: 1,
        table_digest: 1,
        contacts: Vec::new(),
        updates: Vec::new(),
        payloads: vec![payload],
    }
}

#[test]
fn heartbeat_always_sent() {
    let mut config = MembershipConfig::new(KEY, HEARTBEAT, SUSPICION, Vec::new());
    config.send_budget_bytes_per_s = 1_000_000;
    let random = Box::new(ChaCha8Rng::seed_from_u64(1));
    let mut state = MembershipState::new(config, member(0, 1, 1000), random, Duration::ZERO);
    for index in 1..PEERS {
        let bytes = encode(&KEY, &introduction_of(index)).unwrap();
        state.on_datagram(Duration::ZERO, &bytes).unwrap();
    }
    for beat in 0..200u32 {
        let now = HEARTBEAT * beat + Duration::from_millis(1);
        let bytes = encode(&KEY, &introduction_of(1 + beat as usize % (PEERS - 1))).unwrap();
        state.on_datagram(now, &bytes).unwrap();
        let outgoing = state.on_tick(now);
        assert!(!outgoing.is_empty(), "no heartbeat at beat {beat}");
        assert!(outgoing.iter().all(|sent| sent.bytes.len() <= MAX_DATAGRAM_BYTES));
    }
}
