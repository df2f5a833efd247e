//! A whole fleet learns what crashes servers, over a modelled network that loses datagrams, while
//! nodes restart and data centres are cut off.

use fl_routing::crash_suspects::{Crash, CrashSuspects, Suspect, SuspectKey};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;

const TICK_MS: u64 = 10;
const END_MS: u64 = 30_000;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.05;
const CRASHING: SuspectKey = SuspectKey::PromptPart(0xbad);
const SYSTEM_PART: SuspectKey = SuspectKey::PromptPart(0x500d);
const SESSIONS: u64 = 40;
/// Crashing calls run this long before their server ends.
const RUN_MS: u64 = 100;
const CONTACT_MS: u64 = 3_000;
const CRASHES_TO_LEARN: usize = 5;
const LATER_CALLS_MAX: usize = 3;
const REPORTED_CRASHES_MAX: usize = 300;

struct Node {
    suspects: CrashSuspects,
    next_report_ms: u64,
    repeated_ms: u64,
    /// Since when nothing happened to the node.
    calm_since_ms: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    /// Datagrams on their way: time of arrival, sender, receiver, content.
    datagrams: Vec<(u64, usize, usize, Vec<Suspect>)>,
    /// Crashes to come: time, node, time at which the call was sent.
    ends: Vec<(u64, usize, u64)>,
    crashes_ms: Vec<u64>,
    /// The part of the crashing calls reached a server at this time, by a node in touch.
    sent_in_touch_ms: Vec<u64>,
    /// The data centre that is cut off from the others.
    cut_zone: Option<usize>,
    sound_asked: usize,
    sound_refused: usize,
}

fn time(now_ms: u64) -> Duration {
    Duration::from_millis(now_ms)
}

fn new_node(now_ms: u64) -> Node {
    Node {
        suspects: CrashSuspects::new(512),
        next_report_ms: now_ms,
        repeated_ms: now_ms,
        calm_since_ms: now_ms,
    }
}

impl Fleet {
    fn new(nodes: usize, seed: u64) -> Self {
        Fleet {
            nodes: (0..nodes).map(|_| new_node(0)).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            datagrams: Vec::new(),
            ends: Vec::new(),
            crashes_ms: Vec::new(),
            sent_in_touch_ms: Vec::new(),
            cut_zone: None,
            sound_asked: 0,
            sound_refused: 0,
        }
    }

    fn report_interval_ms(&self) -> u64 {
        60.max(12 * self.nodes.len() as u64)
    }

    fn is_cut(&self, node: usize) -> bool {
        self.cut_zone == Some(node % 3)
    }

    fn is_in_touch(&self, node: usize, now_ms: u64) -> bool {
        !self.is_cut(node) && now_ms >= self.nodes[node].calm_since_ms + CONTACT_MS
    }

    fn step(&mut self, now_ms: u64) {
        self.disturb(now_ms);
        self.deliver(now_ms);
        self.send_calls(now_ms);
        self.end_servers(now_ms);
        self.send_reports(now_ms);
    }

    /// Cuts a data centre off for a while, and restarts a random node every other second.
    fn disturb(&mut self, now_ms: u64) {
        if now_ms == 2_000 {
            self.cut_zone = Some(self.rng.random_range(0..3));
        }
        if now_ms == 9_000 {
            for node in 0..self.nodes.len() {
                if self.is_cut(node) {
                    self.nodes[node].calm_since_ms = now_ms;
                }
            }
            self.cut_zone = None;
        }
        if now_ms % 2_000 == 1_000 {
            let restarted = self.rng.random_range(0..self.nodes.len());
            self.nodes[restarted] = new_node(now_ms);
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|(arrives_ms, ..)| *arrives_ms <= now_ms);
        self.datagrams = later;
        for (_, from, to, suspects) in due {
            if self.is_cut(from) == self.is_cut(to) {
                self.nodes[to].suspects.merge(&suspects, time(now_ms));
            }
        }
    }

    fn send_calls(&mut self, now_ms: u64) {
        let session = SuspectKey::PromptPart(self.rng.random_range(0..SESSIONS));
        let node = self.rng.random_range(0..self.nodes.len());
        if now_ms.is_multiple_of(100) && now_ms >= 1_000 {
            let keys = [SYSTEM_PART, CRASHING];
            if self.nodes[node].suspects.quarantined(&keys).is_none() {
                self.ends.push((now_ms + RUN_MS, node, now_ms));
                if self.is_in_touch(node, now_ms) {
                    self.sent_in_touch_ms.push(now_ms);
                }
            }
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let keys = [SYSTEM_PART, session];
        self.sound_asked += 1;
        match self.nodes[node].suspects.quarantined(&keys) {
            None => drop(self.nodes[node].suspects.record_success(&keys, time(now_ms))),
            Some(_) => self.sound_refused += 1,
        }
    }

    /// Ends servers under crashing calls, and under a sound call of another node as well.
    fn end_servers(&mut self, now_ms: u64) {
        let (due, later) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(ends_ms, ..)| *ends_ms <= now_ms);
        self.ends = later;
        for (_, node, sent_ms) in due {
            let instance = self.rng.random();
            let crash = Crash { instance, sent_ms, crashed_ms: now_ms };
            self.crashes_ms.push(now_ms);
            self.record(node, &[SYSTEM_PART, CRASHING], crash, now_ms);
            let bystander = self.rng.random_range(0..self.nodes.len());
            let session = SuspectKey::PromptPart(self.rng.random_range(0..SESSIONS));
            self.record(bystander, &[SYSTEM_PART, session], crash, now_ms);
        }
    }

    fn record(&mut self, node: usize, keys: &[SuspectKey], crash: Crash, now_ms: u64) {
        self.nodes[node].suspects.record_crash(keys, crash, time(now_ms));
        // An urgent report.
        self.nodes[node].next_report_ms = now_ms;
    }

    fn send_reports(&mut self, now_ms: u64) {
        for from in 0..self.nodes.len() {
            if self.nodes[from].next_report_ms > now_ms {
                continue;
            }
            let is_complete = now_ms >= self.nodes[from].repeated_ms + 1_000;
            if is_complete {
                self.nodes[from].repeated_ms = now_ms;
            }
            self.nodes[from].next_report_ms = now_ms + self.report_interval_ms();
            let node = &self.nodes[from];
            let suspects = node.suspects.report(is_complete, REPORTED_CRASHES_MAX, time(now_ms));
            if suspects.is_empty() {
                continue;
            }
            for to in 0..self.nodes.len() {
                if to != from && !self.rng.random_bool(LOSS) {
                    let arrives_ms = now_ms + self.rng.random_range(1..=30);
                    self.datagrams.push((arrives_ms, from, to, suspects.clone()));
                }
            }
        }
    }
}

/// Guards against a fleet in which each node counts the crashes that it saw by itself, and against
/// nodes that restart or were cut off and do not learn what their peers know.
#[rstest]
fn fleet_learns_crashing_part(#[values(6, 61)] nodes: usize, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut fleet = Fleet::new(nodes, seed);
    for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
        fleet.step(now_ms);
    }
    let learned_at = fleet.crashes_ms.iter().take(CRASHES_TO_LEARN).next_back();
    let known_at_ms = learned_at.map_or(0, |crashed_ms| crashed_ms + CONTACT_MS);
    let late = fleet.sent_in_touch_ms.iter().filter(|sent_ms| **sent_ms > known_at_ms).count();
    assert!(late <= LATER_CALLS_MAX, "{late} calls, {} crashes", fleet.crashes_ms.len());
    let (refused, asked) = (fleet.sound_refused, fleet.sound_asked);
    assert!(refused * 100 <= asked, "{refused} of {asked} sound calls were refused");
}
