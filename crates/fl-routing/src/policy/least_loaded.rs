//! A policy that chooses the runner with the lowest load, as a baseline for measurements.

use super::{Call, Candidate, Choice, Policy, evaluate_candidate};
use crate::cache_estimate::CacheEstimates;
use rand::{Rng, RngExt};

/// Chooses the runner with the shortest queue, and among equal queues the one with the lowest share
/// of slots in use. Ties are broken at random.
#[derive(Debug, Clone, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(
        &mut self,
        call: &Call,
        candidates: &[Candidate],
        cache_estimates: &CacheEstimates,
        random: &mut dyn Rng,
    ) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let first = random.random_range(0..candidates.len());
        let in_random_order = (first..candidates.len()).chain(0..first);
        let index = in_random_order.min_by(|left, right| {
            load_key(&candidates[*left])
                .partial_cmp(&load_key(&candidates[*right]))
                .unwrap_or(std::cmp::Ordering::Equal)
        })?;
        Some(evaluate_candidate(call, candidates, index, cache_estimates))
    }
}

fn load_key(candidate: &Candidate) -> (f64, f64) {
    (candidate.load.queue_ms(), candidate.load.slot_utilization())
}
