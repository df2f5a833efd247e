//! Takes a runner that has the prompt's prefix in its cache, as far as its load allows.
//!
//! See `docs/design/050-routing.md`.

mod home_block;

pub use home_block::HomeBlockRule;

use super::{Call, Candidate, Choice, Policy, evaluate_candidate};
use crate::cache_estimate::CacheEstimates;
use crate::rendezvous::highest_ranked;
use fl_protocol::Priority;
use home_block::{HomeBlock, Popularity};
use rand::{Rng, RngExt};

/// Runners with the greatest ranks that are considered as homes.
const HOMES: usize = 3;
/// Runners considered at random besides, so that a stale belief cannot hide an idle one.
const RANDOM_PICKS: usize = 2;
/// A home that holds more than this many times the mean load takes no counter call.
const LOAD_BOUND: f64 = 1.25;
/// Share of its target a deferrable call spends on waiting for its prefix's home.
const SLACK_SHARE: f64 = 0.5;
/// Blocks behind the shared part that tell whether a runner holds a prefix.
const PROBED_BLOCKS: usize = 4;
/// Among more runners than this, only those of the own data centre are probed.
const PROBED_RUNNERS: usize = 128;
/// Share of its target within which a counter call goes where it is cheap.
const PRICE_SHARE: f64 = 0.5;
/// What a runner in another data centre costs extra, in milliseconds.
const FAR_MS: f64 = 2.0;
/// What a full runner costs more than an empty one, in milliseconds.
///
/// A stream in a full batch decodes slower and the next one waits for a slot; without this all
/// calls that no cache can help go to the first runner until its slots are gone.
const FULL_MS: f64 = 20.0;

/// The ideas of the policy, each of which can be switched off to measure it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixAffinityOptions {
    /// Which block's hash picks the homes.
    pub home_rule: HomeBlockRule,
    /// Considers only homes whose load stays within a bound of the mean.
    pub bound_load: bool,
    /// Considers two runners at random besides.
    pub random_candidates: bool,
    /// Considers the runner believed to hold most of the prefix, wherever it ranks.
    pub cache_holder: bool,
    /// Lets deferrable calls wait for the cached prefix.
    pub wait_for_cache_hit: bool,
    /// Prefers cheap runners where the target holds.
    pub prefer_cheap: bool,
    /// Prefers the own data centre.
    pub prefer_local: bool,
    /// Prefers runners with free slots.
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

/// The prefix policy.
#[derive(Debug, Clone)]
pub struct PrefixAffinity {
    options: PrefixAffinityOptions,
    popularity: Popularity,
}

impl PrefixAffinity {
    /// Makes the policy with some of its ideas switched on.
    pub fn new(options: PrefixAffinityOptions) -> Self {
        PrefixAffinity { options, popularity: Popularity::default() }
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
            picks.retain(|index| candidates[*index].load.fill() <= bound);
        }
        if self.options.cache_holder {
            picks.extend(best_holder(call, home, candidates, cache_estimates));
        }
        if self.options.random_candidates || picks.is_empty() {
            picks.extend((0..RANDOM_PICKS).map(|_| random.random_range(0..candidates.len())));
        }
        picks.sort_unstable();
        picks.dedup();
        picks
    }

    fn cost_ms(&self, choice: &Choice, candidate: &Candidate) -> f64 {
        let far_ms = if self.options.prefer_local && !candidate.is_local { FAR_MS } else { 0.0 };
        let fill_ms =
            if self.options.prefer_free_slots { FULL_MS * candidate.load.fill() } else { 0.0 };
        choice.first_token_ms + far_ms + fill_ms
    }

    fn pick(&self, call: &Call, candidates: &[Candidate], choices: &[Choice]) -> Option<Choice> {
        let cost_ms = |choice: &Choice| self.cost_ms(choice, &candidates[choice.index]);
        let price = |choice: &Choice| candidates[choice.index].price_millicents_per_h as f64;
        let waits = call.priority == Priority::Deferrable && self.options.wait_for_cache_hit;
        let share = if waits { SLACK_SHARE } else { PRICE_SHARE };
        let bound_ms = call.target_ms as f64 * share;
        let in_time = choices.iter().filter(|choice| cost_ms(choice) <= bound_ms);
        let within = if waits {
            least(in_time, |choice| (choice.prefill_tokens as f64, cost_ms(choice)))
        } else if self.options.prefer_cheap {
            least(in_time, |choice| (price(choice), cost_ms(choice)))
        } else {
            None
        };
        within.or_else(|| least(choices.iter(), |choice| (cost_ms(choice), price(choice))))
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
        let home = self.popularity.home(self.options.home_rule, &call.blocks, candidates.len());
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
    let sum: f64 = candidates.iter().map(|candidate| candidate.load.fill()).sum();
    let one_stream = candidates.first().map_or(0.0, |first| 1.0 / f64::from(first.load.slots));
    LOAD_BOUND * sum / candidates.len() as f64 + one_stream
}

/// Finds the runner that holds most of the prompt beyond what many calls share.
///
/// Engines evict the last blocks first, so a runner that holds any deep block holds one of the
/// first behind the shared part; only such runners are looked at closely.
fn best_holder(
    call: &Call,
    home: &HomeBlock,
    candidates: &[Candidate],
    cache_estimates: &CacheEstimates,
) -> Option<usize> {
    let end = (home.index + PROBED_BLOCKS).min(call.blocks.len());
    let probe = &call.blocks[home.index..end];
    let held = |index: usize| {
        let estimate = cache_estimates.get(&candidates[index].name)?;
        let holds_some = estimate.cached_blocks(probe) > 0;
        holds_some.then(|| (estimate.cached_blocks(&call.blocks), index))
    };
    let probes_all = candidates.len() <= PROBED_RUNNERS;
    let probed = (0..candidates.len()).filter(|index| probes_all || candidates[*index].is_local);
    probed.filter_map(held).max().map(|(_, index)| index)
}

fn least<'a>(
    choices: impl Iterator<Item = &'a Choice>,
    key: impl Fn(&Choice) -> (f64, f64),
) -> Option<Choice> {
    let order = |left: &&Choice, right: &&Choice| {
        key(left).partial_cmp(&key(right)).unwrap_or(std::cmp::Ordering::Equal)
    };
    choices.min_by(order).copied()
}
