//! Generates the calls of both users, with their arrival times.

use crate::engine::Job;
use fl_protocol::engine::BLOCK_TOKENS;
use fl_protocol::{BlockHash, Priority};
use fl_routing::rendezvous::rank;
use rand::{Rng, RngExt};

/// Number of workspaces of one user.
const WORKSPACES: u64 = 5;
/// Share of the calls that come from the largest workspace.
const LARGEST_SHARE: f64 = 0.6;
/// Number of blocks in a workspace's system prompt.
const SYSTEM_BLOCKS: u64 = 6;
/// Number of blocks by which a history grows with each use.
const GROWTH_BLOCKS: u64 = 2;

/// The mix of calls of one user.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    pub name: &'static str,
    pub histories: usize,
    pub history_blocks: (u64, u64),
    pub deferrable_share: f64,
    pub calls_per_s: f64,
}

/// Long briefings whose prompts repeat the histories of rooms.
pub const ZAGADKA: Mix = Mix {
    name: "zagadka",
    histories: 160,
    history_blocks: (100, 220),
    deferrable_share: 0.4,
    calls_per_s: 70.0,
};

/// Fitting plans whose prompts repeat the histories of many customers, and a larger share of
/// counter questions.
pub const PITON_FROST: Mix = Mix {
    name: "piton-frost",
    histories: 900,
    history_blocks: (20, 120),
    deferrable_share: 0.3,
    calls_per_s: 130.0,
};

/// A call with its arrival time.
pub struct Arrival {
    pub at_us: u64,
    pub job: Job,
}

/// Generates the calls of a span of time, ordered by arrival.
pub fn generate_arrivals(mix: Mix, seconds: u64, load: f64, random: &mut impl Rng) -> Vec<Arrival> {
    let mut visits = vec![0_u64; mix.histories];
    let mut at_us = 0.0;
    let mut arrivals = Vec::new();
    while at_us < (seconds * 1_000_000) as f64 {
        let gap: f64 = -(1.0 - random.random::<f64>()).ln();
        at_us += gap * 1e6 / (mix.calls_per_s * load);
        let call = arrivals.len();
        let deferrable = random.random_bool(mix.deferrable_share);
        let job = if deferrable {
            briefing_job(mix, call, &mut visits, random)
        } else {
            question_job(call, random)
        };
        arrivals.push(Arrival { at_us: at_us as u64, job });
    }
    arrivals
}

fn briefing_job(mix: Mix, call: usize, visits: &mut [u64], random: &mut impl Rng) -> Job {
    // Squaring makes some histories far more frequent than others.
    let draw = random.random::<f64>();
    let history = ((draw * draw) * visits.len() as f64) as usize;
    visits[history] += 1;
    let (least, most) = mix.history_blocks;
    let length = least + rank(1, history as u64) % (most - least) + visits[history] * GROWTH_BLOCKS;
    let workspace = workspace_for(rank(2, history as u64) as f64 / u64::MAX as f64);
    let mut blocks = system_prompt(workspace);
    extend(&mut blocks, history as u64 + 1, length);
    job(call, Priority::Deferrable, blocks, 40, 150, random)
}

fn question_job(call: usize, random: &mut impl Rng) -> Job {
    let workspace = workspace_for(random.random());
    let mut blocks = system_prompt(workspace);
    let length = random.random_range(4..12);
    let unique: u64 = random.random();
    extend(&mut blocks, unique, length);
    job(call, Priority::Counter, blocks, 10, 40, random)
}

fn workspace_for(draw: f64) -> u64 {
    if draw < LARGEST_SHARE {
        return 0;
    }
    let others = (draw - LARGEST_SHARE) / (1.0 - LARGEST_SHARE);
    1 + (others * (WORKSPACES - 1) as f64) as u64
}

fn system_prompt(workspace: u64) -> Vec<BlockHash> {
    let mut blocks = vec![rank(7, workspace)];
    extend(&mut blocks, workspace, SYSTEM_BLOCKS - 1);
    blocks
}

fn extend(blocks: &mut Vec<BlockHash>, content: u64, count: u64) {
    for number in 0..count {
        let previous = blocks.last().copied().unwrap_or(0);
        blocks.push(rank(previous, rank(content, number)));
    }
}

fn job(
    call: usize,
    priority: Priority,
    blocks: Vec<BlockHash>,
    question_tokens: u64,
    answer_tokens: u64,
    random: &mut impl Rng,
) -> Job {
    let prompt_tokens = (blocks.len() * BLOCK_TOKENS) as u64 + question_tokens;
    let answer_tokens = random.random_range(answer_tokens / 2..answer_tokens * 3 / 2);
    Job { call, priority, blocks, prompt_tokens, answer_tokens }
}
