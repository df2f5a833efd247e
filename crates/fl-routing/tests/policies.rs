//! Tests the choices of the routing policies, and the correction of lagging load reports by the
//! streams in flight.

use fl_protocol::Priority;
use fl_protocol::engine::LoadReport;
use fl_routing::cache_estimate::CacheEstimates;
use fl_routing::in_flight::{InFlightStreams, LoadCorrection};
use fl_routing::load_estimate::LoadEstimate;
use fl_routing::policy::{Call, Candidate, policy_by_name};
use fl_routing::rendezvous::{name_hash, rank};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const PROMPT_BLOCKS: u64 = 100;

fn candidates(waiting_prefill_tokens: &[u64]) -> Vec<Candidate> {
    let candidate = |(index, waiting): (usize, &u64)| {
        let name = format!("r{index:02}");
        let report = LoadReport {
            slots: 8,
            prefill_tokens_per_s: 10_000,
            waiting_prefill_tokens: *waiting,
            ..LoadReport::default()
        };
        let load = LoadEstimate::corrected(Some(&report), LoadCorrection::default(), 1_000.0);
        let name_hash = name_hash(&name);
        Candidate { name, name_hash, load, is_local: true, price_millicents_per_h: 0 }
    };
    waiting_prefill_tokens.iter().enumerate().map(candidate).collect()
}

fn call(history: u64, priority: Priority) -> Call {
    Call {
        blocks: (0..PROMPT_BLOCKS).map(|number| rank(history, number)).collect(),
        prompt_tokens: PROMPT_BLOCKS * 16,
        priority,
        target_ms: 2_000,
        deadline_ms: 4_000,
    }
}

fn choose(
    policy: &str,
    call: &Call,
    candidates: &[Candidate],
    cache_estimates: &CacheEstimates,
) -> usize {
    choose_seeded(3, policy, call, candidates, cache_estimates)
}

fn choose_seeded(
    seed: u64,
    policy: &str,
    call: &Call,
    candidates: &[Candidate],
    cache_estimates: &CacheEstimates,
) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let choice = policy_by_name(policy).choose(call, candidates, cache_estimates, &mut random);
    choice.map_or(usize::MAX, |choice| choice.index)
}

#[rstest]
#[case::deferrable_waits(Priority::Deferrable, 5_000, 4)]
#[case::deferrable_past_bound(Priority::Deferrable, 50_000, 0)]
#[case::counter_prefers_fastest(Priority::Counter, 50_000, 0)]
fn cache_holder_under_load(
    #[case] priority: Priority,
    #[case] waiting: u64,
    #[case] expected: usize,
) {
    let call = call(1, priority);
    let others = 2_000;
    let candidates = candidates(&[0, others, others, others, waiting]);
    let mut cache_estimates = CacheEstimates::default();
    cache_estimates.get_or_insert("r04").insert_expected(&call.blocks);
    let chosen = choose("prefix", &call, &candidates, &cache_estimates);
    assert_eq!(chosen == 4, expected == 4, "chose {chosen}");
}

#[test]
fn nodes_agree_on_home() {
    let candidates = candidates(&[0; 12]);
    for history in 1..50 {
        let call = call(history, Priority::Deferrable);
        let homes: Vec<usize> = (0..3)
            .map(|seed| {
                choose_seeded(seed, "prefix", &call, &candidates, &CacheEstimates::default())
            })
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "nodes disagree: {homes:?}");
    }
}

#[test]
fn least_loaded_chosen() {
    let call = call(1, Priority::Counter);
    assert_eq!(
        choose("least-loaded", &call, &candidates(&[9, 9, 0, 9]), &CacheEstimates::default()),
        2
    );
}

#[test]
fn round_robin_order() {
    let (call, candidates) = (call(1, Priority::Counter), candidates(&[0; 3]));
    let mut policy = policy_by_name("round-robin");
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut next = || {
        let choice = policy.choose(&call, &candidates, &CacheEstimates::default(), &mut random);
        choice.unwrap().index
    };
    assert_eq!([next(), next(), next(), next()], [0, 1, 2, 0]);
}

#[test]
fn no_candidates_no_choice() {
    let call = call(1, Priority::Counter);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for name in ["prefix", "least-loaded", "round-robin"] {
        assert!(
            policy_by_name(name)
                .choose(&call, &[], &CacheEstimates::default(), &mut random)
                .is_none()
        );
    }
}

#[test]
fn lagging_report_corrected() {
    let mut in_flight = InFlightStreams::default();
    let report = LoadReport { as_of_ms: 1_000, running: 2, ..LoadReport::default() };
    in_flight.record_sent(1, "r1", 100, 900);
    in_flight.record_sent(2, "r1", 200, 1_100);
    in_flight.record_sent(3, "r1", 400, 1_200);
    in_flight.record_sent(4, "r2", 800, 1_200);
    in_flight.record_first_token(3, 1_300);
    in_flight.record_end(1, "r1", 1_400);
    let correction = in_flight.correction("r1", Some(&report));
    let expected = LoadCorrection {
        added_streams: 2,
        added_prefill_tokens: 200,
        ended_streams: 1,
        own_streams: 2,
    };
    assert_eq!(correction, expected);
    assert_eq!(LoadEstimate::corrected(Some(&report), correction, 0.0).streams, 3);
}

#[test]
fn missed_ends_dropped() {
    let mut in_flight = InFlightStreams::default();
    in_flight.record_sent(1, "r1", 100, 0);
    in_flight.record_sent(2, "r1", 100, 800_000);
    in_flight.record_sent(3, "r1", 100, 900_000);
    in_flight.record_end(3, "r1", 900_000);
    assert_eq!(
        in_flight.correction("r1", None).own_streams,
        1,
        "the first stream's end was never recorded"
    );
}
