//! Explores the interleavings of attempts with one idempotency key at several nodes under faults.
//! The call must run at most once, and no caller may be told an outcome that is not true.

#[path = "common/simulation.rs"]
mod simulation;

use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner};
use rstest::rstest;
use simulation::{Action, Simulation};

const MAX_STEPS: usize = 40;

/// Process instances as pairs of VM and instance ID.
type Instances = &'static [(&'static str, u64)];

const TWO_NODES: Instances = &[("a", 1), ("b", 1)];
const RESTARTED: Instances = &[("a", 1), ("a", 2)];
const RESTARTED_AND_ASKED: Instances = &[("a", 1), ("a", 2), ("b", 1)];
const THREE_NODES: Instances = &[("a", 1), ("b", 1), ("c", 1)];
const FOUR_NODES_AND_RESTART: Instances = &[("a", 1), ("b", 1), ("c", 1), ("a", 2), ("d", 1)];

/// Exhaustive search over the paths of a simulation.
struct Search {
    instances: Instances,
    max_faults: u32,
    max_time_steps: u32,
    visited: Vec<Vec<u64>>,
    complete_paths: u64,
}

impl Search {
    /// Visits each reachable state once for each number of faults used.
    fn visit(&mut self, path: &mut Vec<Action>, faults: u32) {
        let simulation = replay(self.instances, path);
        assert_eq!(simulation.violation, None, "{path:?}");
        if !self.mark_visited(simulation.digest(), faults) || path.len() >= MAX_STEPS {
            return;
        }
        let actions = simulation.actions(self.max_time_steps);
        if actions.is_empty() {
            self.complete_paths += 1;
        }
        for action in actions {
            let faults_used = faults + u32::from(action.is_fault());
            if faults_used <= self.max_faults {
                path.push(action);
                self.visit(path, faults_used);
                path.pop();
            }
        }
    }

    fn mark_visited(&mut self, digest: u64, faults: u32) -> bool {
        const SHARDS: u64 = 4096;
        let shard = &mut self.visited[(digest % SHARDS) as usize];
        let key = digest.wrapping_mul(31).wrapping_add(u64::from(faults));
        match shard.binary_search(&key) {
            Ok(_) => false,
            Err(index) => {
                shard.insert(index, key);
                true
            }
        }
    }
}

fn replay(instances: Instances, path: &[Action]) -> Simulation {
    let mut simulation = Simulation::new(instances);
    path.iter().for_each(|action| simulation.apply(*action));
    simulation
}

#[rstest]
#[case::no_fault(THREE_NODES, 0, 1)]
#[case::one_fault(TWO_NODES, 1, 2)]
#[case::two_faults(TWO_NODES, 2, 1)]
#[case::three_nodes_one_fault(THREE_NODES, 1, 1)]
#[case::restarted_owner_asked(RESTARTED_AND_ASKED, 1, 1)]
#[case::three_faults(TWO_NODES, 3, 1)]
#[case::restarted_owner(RESTARTED, 3, 2)]
fn every_interleaving_runs_once(
    #[case] instances: Instances,
    #[case] max_faults: u32,
    #[case] max_time_steps: u32,
) {
    let visited = vec![Vec::new(); 4096];
    let mut search = Search { instances, max_faults, max_time_steps, visited, complete_paths: 0 };
    search.visit(&mut Vec::new(), 0);
    let states: usize = search.visited.iter().map(Vec::len).sum();
    println!("{states} states, {} complete paths", search.complete_paths);
    assert!(search.complete_paths > 0, "no path was explored to its end");
}

#[test]
fn random_paths_run_once() {
    let seed = std::env::var("FL_SEED").ok().and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or_else(|| std::process::id().into());
    println!("FL_SEED={seed}");
    let config = Config {
        cases: 20_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let choices = vec(proptest::num::u16::ANY, 10..120);
    let outcome = TestRunner::new(config).run(&choices, |choices| {
        let mut simulation = Simulation::new(FOUR_NODES_AND_RESTART);
        let mut path = Vec::new();
        for choice in choices {
            let actions = simulation.actions(6);
            let Some(action) = actions.get(choice as usize % actions.len().max(1)) else {
                break;
            };
            path.push(*action);
            simulation.apply(*action);
            if let Some(violation) = &simulation.violation {
                return Err(TestCaseError::fail(format!("{violation}: {path:?}")));
            }
        }
        Ok(())
    });
    assert!(outcome.is_ok(), "FL_SEED={seed}: {outcome:?}");
}
