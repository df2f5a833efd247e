//! Measures one routing decision with 12, 95 and 760 candidates: a small pool, the runners of one
//! data centre and those of a large fleet.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fl_protocol::engine::LoadReport;
use fl_protocol::{BlockHash, Priority};
use fl_routing::cache_estimate::CacheEstimates;
use fl_routing::in_flight::LoadCorrection;
use fl_routing::load_estimate::LoadEstimate;
use fl_routing::policy::{Call, Candidate, policy_by_name};
use fl_routing::rendezvous::{name_hash, rank};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;

/// Number of blocks in the prompt of a long briefing.
const PROMPT_BLOCKS: u64 = 160;
/// Number of blocks in the cache estimate of each runner.
const HELD_BLOCKS: u64 = 4_096;

fn prompt(history: u64) -> Vec<BlockHash> {
    (0..PROMPT_BLOCKS).map(|number| rank(history, number)).collect()
}

fn candidate(index: usize) -> Candidate {
    let name = format!("r{index:04}");
    let report = LoadReport {
        slots: 32,
        running: (index % 20) as u32,
        prefill_tokens_per_s: 12_000,
        ..LoadReport::default()
    };
    let load = LoadEstimate::corrected(Some(&report), LoadCorrection::default(), 2_000.0);
    let name_hash = name_hash(&name);
    Candidate {
        name,
        name_hash,
        load,
        is_local: index.is_multiple_of(8),
        price_millicents_per_h: 0,
    }
}

fn cache_estimates(candidates: &[Candidate]) -> CacheEstimates {
    let mut cache_estimates = CacheEstimates::default();
    for (index, candidate) in candidates.iter().enumerate() {
        let held: Vec<BlockHash> =
            (0..HELD_BLOCKS).map(|block| rank(index as u64 + 1_000, block)).collect();
        cache_estimates.get_or_insert(&candidate.name).insert_expected(&held);
    }
    cache_estimates.get_or_insert("r0003").insert_expected(&prompt(1));
    cache_estimates
}

fn bench_decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for policy_name in ["round-robin", "least-loaded", "prefix"] {
        for size in [12, 95, 760] {
            let candidates: Vec<Candidate> = (0..size).map(candidate).collect();
            let cache_estimates = cache_estimates(&candidates);
            let mut policy = policy_by_name(policy_name);
            let mut random = ChaCha8Rng::seed_from_u64(1);
            let call = Call {
                blocks: prompt(1),
                prompt_tokens: PROMPT_BLOCKS * 16 + 40,
                priority: Priority::Deferrable,
                target_ms: 5_000,
                deadline_ms: 10_000,
            };
            group.bench_function(BenchmarkId::new(policy_name, size), |bencher| {
                bencher.iter(|| {
                    policy.choose(black_box(&call), &candidates, &cache_estimates, &mut random)
                })
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_decision);
criterion_main!(benches);
