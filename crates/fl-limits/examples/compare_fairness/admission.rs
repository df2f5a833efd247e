//! A simulated pool of backend capacity with admission in front of it, in virtual time.

use fl_limits::FairQueue;
use fl_limits::fair_queue::QueuedCall;
use fl_limits::wait_estimate::{WaitCorrection, WaitEstimator, retry_after_if_late};
use fl_protocol::Priority::Counter;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Number of calls that the pool runs at the same time.
const CONCURRENCY_LIMIT: usize = 64;
/// Time from admission to the first token, in milliseconds.
const PREFILL_MS: f64 = 60.0;
/// Deadline for the first token, in milliseconds.
const DEADLINE_MS: f64 = 1_000.0;
/// Number of tokens in each prompt.
const PROMPT_TOKENS: u64 = 200;
/// Number of tokens that a running call generates per millisecond.
const TOKENS_PER_MS: f64 = 0.05;

/// Options of the simulated admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionOptions {
    /// Whether each workspace has a fair share. Otherwise all calls wait in one queue.
    pub fair: bool,
    /// Whether calls that would miss their deadline are refused.
    pub refuses: bool,
}

/// A call with its arrival time and the time for which it runs.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: f64,
    pub workspace: usize,
    pub running_ms: f64,
}

/// The results of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Times to the first token by workspace, in milliseconds.
    first_token_ms: Vec<Vec<f64>>,
    /// Number of refused calls by workspace.
    refused: Vec<u64>,
    /// Number of calls whose first token arrived before their deadline.
    pub in_time: u64,
    /// Number of calls that were refused only after their deadline had passed.
    pub refused_late: u64,
    /// Share of the pool's capacity that was used.
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
    /// Corrections by workspace.
    corrections: Vec<WaitCorrection>,
    /// Uncorrected estimates by call.
    estimates: Vec<Duration>,
    running: usize,
    /// Ends of running calls: time in microseconds and index of the call.
    ends: BTreeMap<(u64, usize), ()>,
    total_running_ms: f64,
    outcome: Outcome,
}

/// Simulates the admission of the calls.
pub fn simulate(options: AdmissionOptions, arrivals: &[Arrival]) -> Outcome {
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
        total_running_ms: 0.0,
        outcome,
    };
    for (index, call) in arrivals.iter().enumerate() {
        run.end_calls_until(call.at_ms);
        run.handle_arrival(index);
    }
    let span_ms = arrivals.last().map_or(1.0, |last| last.at_ms);
    run.outcome.used_percent = 100.0 * run.total_running_ms / (span_ms * CONCURRENCY_LIMIT as f64);
    run.end_calls_until(f64::MAX);
    run.outcome
}

impl Run<'_> {
    /// Returns the workspace to which the fair queue charges a call. Without fairness, all calls
    /// are charged to the same one.
    fn charged_workspace(&self, workspace: usize) -> String {
        if self.options.fair { format!("w{workspace}") } else { "all".to_string() }
    }

    fn handle_arrival(&mut self, index: usize) {
        let call = self.arrivals[index];
        let charged = self.charged_workspace(call.workspace);
        if self.options.refuses && self.running >= CONCURRENCY_LIMIT {
            let wait = self
                .wait_estimator
                .estimate(self.queue.calls_ahead(&charged, 1, Counter), CONCURRENCY_LIMIT as f64);
            let time_left = Duration::from_secs_f64((DEADLINE_MS - PREFILL_MS) / 1_000.0);
            self.estimates[index] = wait;
            let wait = self.corrections[call.workspace].apply(wait);
            if retry_after_if_late(wait, time_left).is_some() {
                self.outcome.refused[call.workspace] += 1;
                return;
            }
        }
        let queued = QueuedCall { ticket: index as u64, prompt_tokens: PROMPT_TOKENS };
        self.queue.push(&charged, 1, Counter, queued);
        self.admit_waiting(call.at_ms);
    }

    fn admit_waiting(&mut self, now_ms: f64) {
        while self.running < CONCURRENCY_LIMIT {
            let Some(ticket) = self.queue.pop() else { return };
            let index = ticket as usize;
            let call = self.arrivals[index];
            let waited = Duration::from_secs_f64((now_ms - call.at_ms) / 1_000.0);
            self.corrections[call.workspace].observe(self.estimates[index], waited);
            if self.options.refuses && waited.as_secs_f64() * 1_000.0 > DEADLINE_MS {
                self.queue.record_end(&self.charged_workspace(call.workspace), Counter);
                self.outcome.refused_late += 1;
                self.outcome.refused[call.workspace] += 1;
                continue;
            }
            self.running += 1;
            let ends_at_us = ((now_ms + call.running_ms) * 1_000.0) as u64;
            self.ends.insert((ends_at_us, index), ());
            let waited_ms = now_ms - call.at_ms + PREFILL_MS;
            self.outcome.first_token_ms[call.workspace].push(waited_ms);
            self.outcome.in_time += u64::from(waited_ms <= DEADLINE_MS);
        }
    }

    fn end_calls_until(&mut self, now_ms: f64) {
        while let Some((&(at_us, index), ())) = self.ends.first_key_value() {
            let at_ms = at_us as f64 / 1_000.0;
            if at_ms > now_ms {
                return;
            }
            self.ends.pop_first();
            let call = self.arrivals[index];
            let charged = self.charged_workspace(call.workspace);
            self.queue.charge(&charged, Counter, (call.running_ms * TOKENS_PER_MS) as u64);
            self.queue.record_end(&charged, Counter);
            self.wait_estimator
                .record_running_time(Duration::from_secs_f64(call.running_ms / 1_000.0));
            self.total_running_ms += call.running_ms;
            self.running -= 1;
            self.admit_waiting(at_ms);
        }
    }
}
