//! A policy that prefers runners whose cache holds the prompt's prefix, as far as their load
//! allows.
//!
//! The homes of a prompt are the runners that rank highest by rendezvous hashing for the hash of one
//! of its blocks, the home block. Nodes that select the same home block compute the same homes
//! without exchanging messages, so that calls with a common prefix meet on the same runners.
//!
//! See `docs/design/050-routing.md`.

mod home_block;

pub use home_block::HomeBlockRule;

use super::{Call, Candidate, Choice, Policy, evaluate_candidate};
use crate::cache_estimate::CacheEstimates;
use crate::rendezvous::highest_ranked;
use fl_protocol::Priority;
use home_block::{BlockFrequency, HomeBlock};
use rand::{Rng, RngExt};

/// Number of runners with the highest ranks that are considered as homes of a prefix.
const HOMES: usize = 3;
/// Number of runners considered at random, so that a stale cache estimate cannot hide an idle
/// runner.
const RANDOM_CANDIDATES: usize = 2;
/// Load, as a multiple of the mean, above which a home is not considered for counter calls.
const LOAD_BOUND: f64 = 1.25;
/// Share of its target that a deferrable call may wait for a runner that holds its prefix.
const CACHE_WAIT_SHARE: f64 = 0.5;
/// Number of blocks, from the home block on, that are looked up to tell whether a runner holds a
/// prefix.
const PROBED_BLOCKS: usize = 4;
/// Number of candidates above which only those in this node's data centre are searched for a
/// prefix.
const MAX_PROBED_RUNNERS: usize = 128;
/// Share of its target within which a counter call prefers cheap runners.
const PRICE_SHARE: f64 = 0.5;
/// Additional cost of a runner in another data centre, in milliseconds.
const REMOTE_MS: f64 = 2.0;
/// Additional cost of a runner with all slots in use, in milliseconds.
///
/// A stream in a full batch decodes more slowly and the next one waits for a slot. Without this
/// cost, all calls that no cache can help go to the first runner until its slots are used up.
const FULL_BATCH_MS: f64 = 20.0;

/// Options of the policy, each of which can be turned off to measure its effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixAffinityOptions {
    /// Rule that selects the block whose hash determines the homes.
    pub home_rule: HomeBlockRule,
    /// Whether homes with a load far above the mean are left out for counter calls.
    pub bound_load: bool,
    /// Whether two random runners are considered as well.
    pub random_candidates: bool,
    /// Whether the runner estimated to hold most of the prefix is considered, whatever its rank.
    pub cache_holder: bool,
    /// Whether deferrable calls may wait for a runner that holds the prefix.
    pub wait_for_cache_hit: bool,
    /// Whether counter calls prefer cheap runners among those that meet the target.
    pub prefer_cheap: bool,
    /// Whether runners in this node's data centre are preferred.
    pub prefer_local: bool,
    /// Whether runners with free slots are preferred.
    pub prefer_free_slots: bool,
}

impl Default for PrefixAffinityOptions {
    fn default() -> Self {
        PrefixAffinityOptions {
            home_rule: HomeBlockRule::FirstUncommon,
            bound_load: true,
            random_candidates: false,
            cache_holder: true,
            wait_for_cache_hit: true,
            prefer_cheap: false,
            prefer_local: true,
            prefer_free_slots: true,
        }
    }
}

/// The prefix affinity policy, with its counts of how common the leading blocks of prompts are.
#[derive(Debug, Clone)]
pub struct PrefixAffinity {
    options: PrefixAffinityOptions,
    block_frequency: BlockFrequency,
}

impl PrefixAffinity {
    /// Creates the policy with the given options.
    pub fn new(options: PrefixAffinityOptions) -> Self {
        PrefixAffinity { options, block_frequency: BlockFrequency::default() }
    }

    fn shortlist(
        &self,
        call: &Call,
        home: &HomeBlock,
        candidates: &[Candidate],
        cache_estimates: &CacheEstimates,
        random: &mut dyn Rng,
    ) -> Vec<usize> {
        let hashes: Vec<u64> = candidates.iter().map(|candidate| candidate.name_hash).collect();
        let mut picks = highest_ranked(home.key, &hashes, HOMES);
        if self.options.bound_load && call.priority == Priority::Counter {
            let bound = load_bound(candidates);
            picks.retain(|index| candidates[*index].load.slot_utilization() <= bound);
        }
        if self.options.cache_holder {
            picks.extend(find_cache_holder(call, home, candidates, cache_estimates));
        }
        if self.options.random_candidates || picks.is_empty() {
            picks.extend((0..RANDOM_CANDIDATES).map(|_| random.random_range(0..candidates.len())));
        }
        picks.sort_unstable();
        picks.dedup();
        picks
    }

    fn cost_ms(&self, choice: &Choice, candidate: &Candidate) -> f64 {
        let remote_ms =
            if self.options.prefer_local && !candidate.is_local { REMOTE_MS } else { 0.0 };
        let utilization_ms = if self.options.prefer_free_slots {
            FULL_BATCH_MS * candidate.load.slot_utilization()
        } else {
            0.0
        };
        choice.first_token_ms + remote_ms + utilization_ms
    }

    fn pick(&self, call: &Call, candidates: &[Candidate], choices: &[Choice]) -> Option<Choice> {
        let cost_ms = |choice: &Choice| self.cost_ms(choice, &candidates[choice.index]);
        let price = |choice: &Choice| candidates[choice.index].price_millicents_per_h as f64;
        let waits = call.priority == Priority::Deferrable && self.options.wait_for_cache_hit;
        let share = if waits { CACHE_WAIT_SHARE } else { PRICE_SHARE };
        let bound_ms = call.target_ms as f64 * share;
        let within_bound = choices.iter().filter(|choice| cost_ms(choice) <= bound_ms);
        let preferred = if waits {
            min_by_cost(within_bound, |choice| (choice.prefill_tokens as f64, cost_ms(choice)))
        } else if self.options.prefer_cheap {
            min_by_cost(within_bound, |choice| (price(choice), cost_ms(choice)))
        } else {
            None
        };
        preferred.or_else(|| min_by_cost(choices.iter(), |choice| (cost_ms(choice), price(choice))))
    }
}

impl Policy for PrefixAffinity {
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
        let home =
            self.block_frequency.home_block(self.options.home_rule, &call.blocks, candidates.len());
        let picks = match home {
            Some(home) => self.shortlist(call, &home, candidates, cache_estimates, random),
            None => (0..candidates.len()).collect(),
        };
        let choices: Vec<Choice> = picks
            .iter()
            .map(|index| evaluate_candidate(call, candidates, *index, cache_estimates))
            .collect();
        self.pick(call, candidates, &choices)
    }
}

fn load_bound(candidates: &[Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|candidate| candidate.load.slot_utilization()).sum();
    let one_stream = candidates.first().map_or(0.0, |first| 1.0 / f64::from(first.load.slots));
    LOAD_BOUND * sum / candidates.len() as f64 + one_stream
}

/// Finds the runner that holds the longest part of the prompt, among those that hold blocks beyond
/// the part that many calls share.
///
/// Engines evict the last blocks of a prompt first. A runner that holds any block beyond the shared
/// part therefore holds one of the first blocks there, and looking up those is enough to skip all
/// others.
fn find_cache_holder(
    call: &Call,
    home: &HomeBlock,
    candidates: &[Candidate],
    cache_estimates: &CacheEstimates,
) -> Option<usize> {
    let end = (home.index + PROBED_BLOCKS).min(call.blocks.len());
    let probed_blocks = &call.blocks[home.index..end];
    let cached_blocks = |index: usize| {
        let estimate = cache_estimates.get(&candidates[index].name)?;
        let holds_some = estimate.cached_blocks(probed_blocks) > 0;
        holds_some.then(|| (estimate.cached_blocks(&call.blocks), index))
    };
    let probes_all = candidates.len() <= MAX_PROBED_RUNNERS;
    let probed = (0..candidates.len()).filter(|index| probes_all || candidates[*index].is_local);
    probed.filter_map(cached_blocks).max().map(|(_, index)| index)
}

fn min_by_cost<'a>(
    choices: impl Iterator<Item = &'a Choice>,
    cost: impl Fn(&Choice) -> (f64, f64),
) -> Option<Choice> {
    let order = |left: &&Choice, right: &&Choice| {
        cost(left).partial_cmp(&cost(right)).unwrap_or(std::cmp::Ordering::Equal)
    };
    choices.min_by(order).copied()
}
