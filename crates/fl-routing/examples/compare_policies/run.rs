//! Simulates a run in virtual time: nodes, each with its own estimates, route calls to runners.

use crate::engine::Engine;
use crate::workload::Arrival;
use fl_protocol::{BlockHash, Priority};
use fl_routing::cache_estimate::CacheEstimates;
use fl_routing::in_flight::{InFlightStreams, LoadCorrection};
use fl_routing::load_estimate::LoadEstimate;
use fl_routing::policy::{Call, Candidate, Policy};
use fl_routing::rendezvous::name_hash;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// Number of entry VMs.
const NODES: usize = 6;
/// Number of runners.
const RUNNERS: usize = 12;
/// Number of data centres, over which nodes and runners are spread evenly.
const DATA_CENTERS: usize = 3;
/// Interval of load reports and of readings of cache events, in microseconds.
const READ_INTERVAL_US: u64 = 100_000;
/// Delay until nodes see a cache event, in microseconds.
const EVENT_DELAY_US: u64 = 500_000;
/// Targets for the first token of counter calls and of deferrable calls, in milliseconds.
const TARGETS_MS: (u64, u64) = (470, 5_000);
/// Share of the calls at the start of the run that warm up the caches and are not counted.
const WARM_UP_SHARE: f64 = 0.3;

/// The conditions under which a run is simulated.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Lag of load reports.
    pub lag_us: u64,
    /// Share of the cache events that are lost.
    pub lost_share: f64,
    /// Whether nodes correct lagging reports by their own streams in flight.
    pub correct_lag: bool,
    /// Whether nodes add the blocks of the requests that they send to their cache estimates.
    pub expect_own: bool,
    /// Whether nodes read cache events.
    pub events: bool,
    pub seed: u64,
}

/// The results of a run after its warm-up.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub prompt_tokens: u64,
    /// Prompt tokens that were prefilled again although some runner had prefilled them before.
    pub recomputed_tokens: u64,
    /// Times to the first token of counter calls.
    pub counter_ms: Vec<f64>,
    /// Times to the first token of deferrable calls.
    pub deferrable_ms: Vec<f64>,
    /// Prefilled tokens times the relative price of their runner.
    pub cost: f64,
    pub generated_tokens: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Read,
    Prefilled(usize),
    Ended(usize, usize),
    Arrived(usize),
}

struct Node {
    policy: Box<dyn Policy>,
    cache_estimates: CacheEstimates,
    in_flight: InFlightStreams,
    random: ChaCha8Rng,
}

pub struct Run<'a> {
    conditions: Conditions,
    arrivals: &'a [Arrival],
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    names: Vec<(String, u64)>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Blocks that any runner has prefilled.
    prefilled_blocks: BTreeSet<BlockHash>,
    loss_random: ChaCha8Rng,
    outcome: Outcome,
}

/// Returns the relative price of a runner. Every second runner is reclaimable and cheaper.
pub fn relative_price(runner: usize) -> u64 {
    if runner.is_multiple_of(2) { 1_000 } else { 600 }
}

impl<'a> Run<'a> {
    pub fn new(
        conditions: Conditions,
        arrivals: &'a [Arrival],
        policy: impl Fn() -> Box<dyn Policy>,
    ) -> Self {
        let node = |number: usize| Node {
            policy: policy(),
            cache_estimates: CacheEstimates::default(),
            in_flight: InFlightStreams::default(),
            random: ChaCha8Rng::seed_from_u64(conditions.seed * 100 + number as u64),
        };
        let name = |number: usize| {
            let name = format!("r{number:02}");
            let hash = name_hash(&name);
            (name, hash)
        };
        Run {
            conditions,
            arrivals,
            nodes: (0..NODES).map(node).collect(),
            engines: (0..RUNNERS).map(|_| Engine::default()).collect(),
            names: (0..RUNNERS).map(name).collect(),
            events: BinaryHeap::new(),
            prefilled_blocks: BTreeSet::new(),
            loss_random: ChaCha8Rng::seed_from_u64(conditions.seed + 77),
            outcome: Outcome::default(),
        }
    }

    pub fn run_to_end(mut self) -> Outcome {
        self.push(0, Event::Read);
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.push(arrival.at_us, Event::Arrived(index));
        }
        let end_us = self.arrivals.last().map_or(0, |last| last.at_us);
        while let Some(Reverse((now_us, event))) = self.events.pop() {
            match event {
                Event::Read if now_us < end_us => self.read(now_us),
                Event::Read => {}
                Event::Arrived(call) => self.handle_arrival(call, now_us),
                Event::Prefilled(runner) => self.handle_prefill_end(runner, now_us),
                Event::Ended(runner, call) => self.handle_stream_end(runner, call, now_us),
            }
        }
        self.outcome
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.events.push(Reverse((at_us, event)));
    }

    fn node_of(&self, call: usize) -> usize {
        call % NODES
    }

    fn is_counted(&self, call: usize) -> bool {
        call as f64 >= self.arrivals.len() as f64 * WARM_UP_SHARE
    }

    fn read(&mut self, now_us: u64) {
        for engine in &mut self.engines {
            engine.record_report(now_us);
        }
        if self.conditions.events {
            self.read_cache_events(now_us);
        }
        self.push(now_us + READ_INTERVAL_US, Event::Read);
    }

    fn read_cache_events(&mut self, now_us: u64) {
        let to_us = now_us.saturating_sub(EVENT_DELAY_US);
        let from_us = to_us.saturating_sub(READ_INTERVAL_US);
        for (engine, (name, _)) in self.engines.iter().zip(&self.names) {
            let events = engine.events(from_us, to_us);
            let delivered: Vec<_> = events
                .iter()
                .filter(|_| !self.loss_random.random_bool(self.conditions.lost_share))
                .map(|(_, event)| event.clone())
                .collect();
            for node in &mut self.nodes {
                node.cache_estimates.get_or_insert(name).apply_events(delivered.clone());
            }
        }
    }

    fn handle_arrival(&mut self, index: usize, now_us: u64) {
        let job = &self.arrivals[index].job;
        let number = self.node_of(index);
        let candidates = self.candidates(number, now_us);
        let (counter_ms, deferrable_ms) = TARGETS_MS;
        let target_ms = if job.priority == Priority::Counter { counter_ms } else { deferrable_ms };
        let call = Call {
            blocks: job.blocks.clone(),
            prompt_tokens: job.prompt_tokens,
            priority: job.priority,
            target_ms,
            deadline_ms: target_ms * 2,
        };
        let node = &mut self.nodes[number];
        let chosen =
            node.policy.choose(&call, &candidates, &node.cache_estimates, &mut node.random);
        let Some(choice) = chosen else { return };
        let name = &self.names[choice.index].0;
        node.in_flight.record_sent(index as u128, name, choice.prefill_tokens, now_us / 1_000);
        if self.conditions.expect_own {
            node.cache_estimates.get_or_insert(name).insert_expected(&job.blocks);
        }
        self.engines[choice.index].enqueue(job.clone());
        self.start(choice.index, now_us);
    }

    fn candidates(&self, node: usize, now_us: u64) -> Vec<Candidate> {
        let visible_at_us = now_us.saturating_sub(self.conditions.lag_us);
        let in_flight = &self.nodes[node].in_flight;
        let candidate = |index: usize| {
            let report = self.engines[index].report(visible_at_us);
            let (name, name_hash) = &self.names[index];
            let correction = if self.conditions.correct_lag {
                in_flight.correction(name, report)
            } else {
                LoadCorrection::default()
            };
            Candidate {
                name: name.clone(),
                name_hash: *name_hash,
                load: LoadEstimate::corrected(report, correction, in_flight.mean_stream_ms()),
                is_local: index % DATA_CENTERS == node % DATA_CENTERS,
                price_millicents_per_h: relative_price(index),
            }
        };
        (0..RUNNERS).map(candidate).collect()
    }

    fn start(&mut self, runner: usize, now_us: u64) {
        let Some(prefill) = self.engines[runner].start(now_us) else {
            return;
        };
        self.push(prefill.done_at_us, Event::Prefilled(runner));
        let recomputed =
            prefill.computed.iter().filter(|block| !self.prefilled_blocks.insert(**block));
        let recomputed_tokens =
            recomputed.count() as u64 * fl_protocol::engine::BLOCK_TOKENS as u64;
        if now_us >= self.warm_up_us() {
            self.outcome.recomputed_tokens += recomputed_tokens;
            self.outcome.cost += prefill.computed_tokens as f64 * relative_price(runner) as f64;
        }
    }

    fn warm_up_us(&self) -> u64 {
        let index = (self.arrivals.len() as f64 * WARM_UP_SHARE) as usize;
        self.arrivals[index].at_us
    }

    fn handle_prefill_end(&mut self, runner: usize, now_us: u64) {
        let Some((job, ends_at_us)) = self.engines[runner].end_prefill(now_us) else {
            return;
        };
        let number = self.node_of(job.call);
        self.nodes[number].in_flight.record_first_token(job.call as u128, now_us / 1_000);
        self.push(ends_at_us, Event::Ended(runner, job.call));
        if self.is_counted(job.call) {
            let waited_ms = (now_us - self.arrivals[job.call].at_us) as f64 / 1_000.0;
            let first_token_ms = match job.priority {
                Priority::Counter => &mut self.outcome.counter_ms,
                Priority::Deferrable => &mut self.outcome.deferrable_ms,
            };
            first_token_ms.push(waited_ms);
            self.outcome.prompt_tokens += job.prompt_tokens;
            self.outcome.generated_tokens += job.answer_tokens;
        }
        self.start(runner, now_us);
    }

    fn handle_stream_end(&mut self, runner: usize, call: usize, now_us: u64) {
        self.engines[runner].end_stream();
        let number = self.node_of(call);
        let name = self.names[runner].0.clone();
        self.nodes[number].in_flight.record_end(call as u128, &name, now_us / 1_000);
        self.start(runner, now_us);
    }
}
