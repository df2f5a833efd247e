//! A policy that chooses the runners in turn, as a baseline for measurements.

use super::{Call, Candidate, Choice, Policy, evaluate_candidate};
use crate::cache_estimate::CacheEstimates;
use rand::Rng;

/// Chooses the runners in turn, regardless of their load and caches.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn choose(
        &mut self,
        call: &Call,
        candidates: &[Candidate],
        cache_estimates: &CacheEstimates,
        _random: &mut dyn Rng,
    ) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.next % candidates.len();
        self.next = self.next.wrapping_add(1);
        Some(evaluate_candidate(call, candidates, index, cache_estimates))
    }
}
