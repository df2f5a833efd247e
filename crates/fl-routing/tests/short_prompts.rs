//! Tests that the prefix affinity policy spreads prompts without a cacheable prefix over the
//! runners.
//!
//! Without a cost for used slots, all such calls went to the first runner until its slots were
//! full.

use fl_protocol::Priority;
use fl_protocol::engine::LoadReport;
use fl_routing::cache_estimate::CacheEstimates;
use fl_routing::in_flight::InFlightStreams;
use fl_routing::load_estimate::LoadEstimate;
use fl_routing::policy::{Call, Candidate, policy_by_name};
use fl_routing::rendezvous::name_hash;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const RUNNERS: usize = 3;
const CALLS: u128 = 24;

#[rstest]
#[case::counter(Priority::Counter, true)]
#[case::deferrable(Priority::Deferrable, true)]
#[case::deferrable_remote(Priority::Deferrable, false)]
fn short_prompts_spread(#[case] priority: Priority, #[case] all_local: bool) {
    let report = LoadReport { slots: 16, prefill_tokens_per_s: 8_000, ..LoadReport::default() };
    let call = Call {
        blocks: Vec::new(),
        prompt_tokens: 4,
        priority,
        target_ms: 470,
        deadline_ms: 60_000,
    };
    let mut policy = policy_by_name("prefix");
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut in_flight = InFlightStreams::default();
    let mut counts = [0; RUNNERS];
    for id in 0..CALLS {
        let candidates: Vec<Candidate> = (0..RUNNERS)
            .map(|index| {
                let name = format!("r{index}");
                let correction = in_flight.correction(&name, Some(&report));
                let load =
                    LoadEstimate::corrected(Some(&report), correction, in_flight.mean_stream_ms());
                let is_local = all_local || index == 0;
                Candidate {
                    name_hash: name_hash(&name),
                    name,
                    load,
                    is_local,
                    price_millicents_per_h: 0,
                }
            })
            .collect();
        let choice = policy.choose(&call, &candidates, &CacheEstimates::default(), &mut random);
        let index = choice.map_or(0, |choice| choice.index);
        in_flight.record_sent(id, &candidates[index].name, 4, 1);
        counts[index] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 4), "{counts:?}");
}
