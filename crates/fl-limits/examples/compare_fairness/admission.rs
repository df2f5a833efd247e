//! A pool with places in virtual time, and the door before it.

use fl_limits::FairQueue;
use fl_limits::fair_queue::QueuedCall;
use fl_limits::wait_estimate::{WaitCorrection, WaitEstimator, retry_after_if_late};
use fl_protocol::Priority::Counter;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Calls the pool runs at a time.
const PLACES: usize = 64;
/// Time from the turn to the first token, in milliseconds.
const PREFILL_MS: f64 = 60.0;
/// The deadline for the first token, in milliseconds.
const DEADLINE_MS: f64 = 1_000.0;
/// Tokens of each prompt.
const PROMPT_TOKENS: u64 = 200;
/// Tokens produced in a millisecond of a place.
const TOKENS_PER_MS: f64 = 0.05;

/// What the door does.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionOptions {
    pub fair: bool,
    pub refuses: bool,
}

/// A call.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: f64,
    pub workspace: usize,
    pub held_ms: f64,
}

/// What a run gave.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Times to the first token by workspace, in milliseconds.
    first_token_ms: Vec<Vec<f64>>,
    refused: Vec<u64>,
    pub in_time: u64,
    /// Calls that were refused only when their deadline had passed.
    pub refused_late: u64,
    pub used_percent: f64,
}

impl Outcome {
    pub fn p95_ms(&self, workspaces: Range<usize>) -> f64 {
        let mut all: Vec<f64> = self.first_token_ms[workspaces].concat();
        all.sort_by(f64::total_cmp);
        all.get(all.len() * 95 / 100).copied().unwrap_or(0.0)
    }

    pub fn refused_percent(&self, workspaces: Range<usize>) -> f64 {
        let refused: u64 = self.refused[workspaces.clone()].iter().sum();
        let served: usize = self.first_token_ms[workspaces].iter().map(Vec::len).sum();
        100.0 * refused as f64 / (refused + served as u64).max(1) as f64
    }
}

struct Run<'a> {
    options: AdmissionOptions,
    arrivals: &'a [Arrival],
    queue: FairQueue,
    wait_estimator: WaitEstimator,
    corrections: Vec<WaitCorrection>,
    estimates: Vec<Duration>,
    running: usize,
    /// Ends by time in microseconds and ticket.
    ends: BTreeMap<(u64, usize), ()>,
    held_ms: f64,
    outcome: Outcome,
}

/// Runs the calls through the door.
pub fn run(options: AdmissionOptions, arrivals: &[Arrival]) -> Outcome {
    let workspaces = arrivals.iter().map(|call| call.workspace + 1).max().unwrap_or(0);
    let outcome = Outcome {
        first_token_ms: vec![Vec::new(); workspaces],
        refused: vec![0; workspaces],
        ..Outcome::default()
    };
    let mut run = Run {
        options,
        arrivals,
        queue: FairQueue::default(),
        wait_estimator: WaitEstimator::default(),
        corrections: vec![WaitCorrection::default(); workspaces],
        estimates: vec![Duration::ZERO; arrivals.len()],
        running: 0,
        ends: BTreeMap::new(),
        held_ms: 0.0,
        outcome,
    };
    for (index, call) in arrivals.iter().enumerate() {
        run.end_until(call.at_ms);
        run.arrive(index);
    }
    let span_ms = arrivals.last().map_or(1.0, |last| last.at_ms);
    run.outcome.used_percent = 100.0 * run.held_ms / (span_ms * PLACES as f64);
    run.end_until(f64::MAX);
    run.outcome
}

impl Run<'_> {
    /// Without fairness all calls stand in one line.
    fn account(&self, workspace: usize) -> String {
        if self.options.fair { format!("w{workspace}") } else { "all".to_string() }
    }

    fn arrive(&mut self, index: usize) {
        let call = self.arrivals[index];
        let account = self.account(call.workspace);
        if self.options.refuses && self.running >= PLACES {
            let wait = self
                .wait_estimator
                .estimate(self.queue.calls_ahead(&account, 1, Counter), PLACES as f64);
            let left = Duration::from_secs_f64((DEADLINE_MS - PREFILL_MS) / 1_000.0);
            self.estimates[index] = wait;
            let wait = self.corrections[call.workspace].apply(wait);
            if retry_after_if_late(wait, left).is_some() {
                self.outcome.refused[call.workspace] += 1;
                return;
            }
        }
        let waiting = QueuedCall { ticket: index as u64, prompt_tokens: PROMPT_TOKENS };
        self.queue.push(&account, 1, Counter, waiting);
        self.let_through(call.at_ms);
    }

    fn let_through(&mut self, now_ms: f64) {
        while self.running < PLACES {
            let Some(ticket) = self.queue.pop() else { return };
            let index = ticket as usize;
            let call = self.arrivals[index];
            let waited = Duration::from_secs_f64((now_ms - call.at_ms) / 1_000.0);
            self.corrections[call.workspace].observe(self.estimates[index], waited);
            if self.options.refuses && waited.as_secs_f64() * 1_000.0 > DEADLINE_MS {
                self.queue.record_end(&self.account(call.workspace), Counter);
                self.outcome.refused_late += 1;
                self.outcome.refused[call.workspace] += 1;
                continue;
            }
            self.running += 1;
            let ends_at_us = ((now_ms + call.held_ms) * 1_000.0) as u64;
            self.ends.insert((ends_at_us, index), ());
            let waited_ms = now_ms - call.at_ms + PREFILL_MS;
            self.outcome.first_token_ms[call.workspace].push(waited_ms);
            self.outcome.in_time += u64::from(waited_ms <= DEADLINE_MS);
        }
    }

    fn end_until(&mut self, now_ms: f64) {
        while let Some((&(at_us, index), ())) = self.ends.first_key_value() {
            let at_ms = at_us as f64 / 1_000.0;
            if at_ms > now_ms {
                return;
            }
            self.ends.pop_first();
            let call = self.arrivals[index];
            let account = self.account(call.workspace);
            self.queue.charge(&account, Counter, (call.held_ms * TOKENS_PER_MS) as u64);
            self.queue.record_end(&account, Counter);
            self.wait_estimator.record_held(Duration::from_secs_f64(call.held_ms / 1_000.0));
            self.held_ms += call.held_ms;
            self.running -= 1;
            self.let_through(at_ms);
        }
    }
}
