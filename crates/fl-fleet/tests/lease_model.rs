//! An exhaustive search of a small model of the lease: three nodes, two incarnations of the store,
//! every order of reads, writes, lost responses, pauses and losses up to a depth.
//!
//! The nodes' decisions are those of the product; the model supplies store, time and faults. Time
//! passes in ticks, of which a term has two.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_fleet::{Held, Lease, LeaseRow, LeaseWrite, Observed, RenewalOutcome};
use std::collections::HashSet;
use std::time::Duration;

const NODES: usize = 3;
const TICK: Duration = Duration::from_secs(5);
const TERM: Duration = Duration::from_secs(10);
/// Ticks after which a path ends.
const DEPTH: u32 = 6;
/// Times that the store comes back from an older copy on one path.
const LOSSES_MAX: u64 = 1;

/// What one node does in a tick.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    /// Paused, or nothing is due.
    Nothing,
    /// One call to the store, answered.
    Call,
    /// One call to the store that takes effect without an answer.
    LostAnswer,
}

const STEPS: [Step; 3] = [Step::Nothing, Step::Call, Step::LostAnswer];

#[derive(Debug, Clone)]
enum Node {
    Observing(Lease<Observed>),
    /// Has read the row and is about to write.
    Writing {
        lease: Lease<Observed>,
        write: LeaseWrite,
        incarnation: u64,
        sent_at: Duration,
    },
    Holding(Lease<Held>),
}

#[derive(Debug, Clone, Default)]
struct Store {
    incarnation: u64,
    row: Option<(u64, LeaseRow)>,
}

impl Store {
    fn write(&mut self, write: &LeaseWrite) -> bool {
        let revision = self.row.as_ref().map_or(0, |(revision, _)| *revision);
        let is_met = revision == write.revision;
        if is_met {
            self.row = Some((revision + 1, write.row.clone()));
        }
        is_met
    }
}

#[derive(Debug, Clone)]
struct World {
    now: Duration,
    store: Store,
    /// Row as it was one tick ago, from which the store may come back.
    copy: Option<(u64, LeaseRow)>,
    nodes: Vec<Node>,
    greatest_fencing: u64,
}

/// Whether the nodes heed incarnations; without that, the search must find a violation.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rules {
    Product,
    IgnoreIncarnations,
}

/// What broke on some path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Violation {
    TwoHolders,
    FencingGivenOutTwice,
}

impl World {
    /// Returns a world in which the first node has just acquired the lease.
    fn new() -> Self {
        let lease = |index| Lease::new(&format!("n{index}"), TERM, Duration::ZERO);
        let write = lease(0).acquire_write(Duration::ZERO, 0).unwrap();
        let mut store = Store::default();
        store.write(&write);
        let greatest_fencing = write.row.fencing;
        let holder = Node::Holding(lease(0).into_held(Duration::ZERO, write, 1));
        let others = (1..NODES).map(|index| Node::Observing(lease(index)));
        World {
            now: Duration::ZERO,
            store,
            copy: None,
            nodes: [holder].into_iter().chain(others).collect(),
            greatest_fencing,
        }
    }

    fn holders(&self) -> usize {
        let holds = |node: &&Node| match node {
            Node::Holding(lease) => lease.fencing_token(self.now).is_ok(),
            _ => false,
        };
        self.nodes.iter().filter(holds).count()
    }

    /// Lets one node make a step.
    fn step(&mut self, index: usize, step: Step, rules: Rules) -> Result<(), Violation> {
        if step == Step::Nothing {
            return Ok(());
        }
        let node = self.nodes[index].clone();
        self.nodes[index] = match node {
            Node::Observing(lease) => self.read(lease, step, rules),
            Node::Writing { lease, write, incarnation, sent_at } => {
                let is_written = self.store.write(&write) && step == Step::Call;
                let is_later = rules == Rules::Product && self.store.incarnation > incarnation;
                if !is_written || is_later {
                    Node::Observing(lease)
                } else {
                    if write.row.fencing <= self.greatest_fencing {
                        return Err(Violation::FencingGivenOutTwice);
                    }
                    self.greatest_fencing = write.row.fencing;
                    Node::Holding(lease.into_held(sent_at, write.clone(), write.revision + 1))
                }
            }
            Node::Holding(lease) => self.renew(lease, step, rules),
        };
        Ok(())
    }

    fn read(&self, lease: Lease<Observed>, step: Step, rules: Rules) -> Node {
        if step == Step::LostAnswer {
            return Node::Observing(lease);
        }
        let incarnation = self.store.incarnation;
        let lease = match rules {
            Rules::Product => lease.in_incarnation(self.now, incarnation),
            Rules::IgnoreIncarnations => lease,
        };
        let lease = lease.observe(self.now, self.store.row.clone());
        match lease.acquire_write(self.now, self.now.as_secs()) {
            Some(write) => Node::Writing { lease, write, incarnation, sent_at: self.now },
            None => Node::Observing(lease),
        }
    }

    fn renew(&mut self, lease: Lease<Held>, step: Step, rules: Rules) -> Node {
        if lease.fencing_token(self.now).is_err() {
            return Node::Observing(lease.into_observed(self.now, None));
        }
        let write = lease.renewal_write(self.now.as_secs());
        self.store.write(&write);
        if step == Step::LostAnswer {
            return Node::Holding(lease);
        }
        if rules == Rules::Product && self.store.incarnation > lease.incarnation() {
            return Node::Observing(lease.into_observed(self.now, None));
        }
        match lease.resolve_write(self.now, self.now, &write, self.store.row.clone()) {
            RenewalOutcome::Held(lease) => Node::Holding(lease),
            RenewalOutcome::Lost(lease) => Node::Observing(lease),
        }
    }

    /// Returns all worlds of the next tick.
    fn next(&self, rules: Rules) -> Result<Vec<World>, Violation> {
        let mut worlds = Vec::new();
        let losses = if self.store.incarnation < LOSSES_MAX { 2 } else { 1 };
        for loss in 0..losses {
            for choice in 0..STEPS.len().pow(NODES as u32) {
                let mut world = self.clone();
                world.copy = self.store.row.clone();
                if loss == 1 {
                    world.store =
                        Store { incarnation: self.store.incarnation + 1, row: self.copy.clone() };
                }
                for index in 0..NODES {
                    let step = STEPS[choice / STEPS.len().pow(index as u32) % STEPS.len()];
                    world.step(index, step, rules)?;
                    if world.holders() > 1 {
                        return Err(Violation::TwoHolders);
                    }
                }
                world.now += TICK;
                worlds.push(world);
            }
        }
        Ok(worlds)
    }
}

/// Searches all worlds up to the depth; returns how many were visited.
fn search(rules: Rules) -> Result<usize, Violation> {
    let mut level = vec![World::new()];
    let mut visited = 1;
    for _ in 0..DEPTH {
        let mut seen = HashSet::new();
        let mut next_level = Vec::new();
        for world in &level {
            for next in world.next(rules)? {
                if seen.insert(format!("{next:?}")) {
                    next_level.push(next);
                }
            }
        }
        visited += next_level.len();
        level = next_level;
    }
    Ok(visited)
}

#[test]
fn one_holder_in_all_worlds() {
    let visited = search(Rules::Product);
    println!("{visited:?} worlds visited, {DEPTH} ticks deep");
    assert!(visited.is_ok(), "{visited:?}");
}

/// The search finds the fault if nodes do not heed incarnations.
#[test]
fn broken_variant_found() {
    assert!(search(Rules::IgnoreIncarnations).is_err());
}
