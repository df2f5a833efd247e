//! Tests the order of calls in the fair queue.

use fl_limits::FairQueue;
use fl_limits::fair_queue::{DEFERRABLE_TURN_INTERVAL, QueuedCall};
use fl_protocol::Priority::{self, Counter, Deferrable};
use proptest::prelude::*;

const PROMPT_TOKENS: u64 = 100;

fn push(queue: &mut FairQueue, workspace: &str, weight: u32, priority: Priority, ticket: u64) {
    queue.push(workspace, weight, priority, QueuedCall { ticket, prompt_tokens: PROMPT_TOKENS });
}

/// Creates a queue with ten calls of `large` (tickets 0 to 9) and three of `small` (100 to 102).
fn filled_queue(small_weight: u32) -> FairQueue {
    let mut queue = FairQueue::default();
    (0..10).for_each(|ticket| push(&mut queue, "large", 1, Counter, ticket));
    (100..103).for_each(|ticket| push(&mut queue, "small", small_weight, Counter, ticket));
    queue
}

fn drain(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn equal_weights_alternate() {
    let order = drain(&mut filled_queue(1));
    assert_eq!(&order[..6], &[0, 100, 1, 101, 2, 102]);
    assert_eq!(order.len(), 13, "the queue is work-conserving: `large` gets the remaining turns");
}

#[test]
fn larger_weight_served_earlier() {
    let order = drain(&mut filled_queue(3));
    let last = order.iter().position(|ticket| *ticket == 102).unwrap();
    assert!(last <= 4, "{order:?}");
}

#[test]
fn generated_tokens_charged() {
    let mut queue = filled_queue(1);
    assert_eq!(queue.pop(), Some(0));
    queue.charge("large", Counter, 2 * PROMPT_TOKENS);
    let order: Vec<u64> = (0..4).filter_map(|_| queue.pop()).collect();
    assert_eq!(order, [100, 101, 102, 1]);
}

/// A workspace that was idle must not save up turns and then starve the others.
#[test]
fn idle_workspace_saves_no_turns() {
    let mut queue = FairQueue::default();
    for ticket in 0..50 {
        push(&mut queue, "large", 1, Counter, ticket);
        queue.pop();
    }
    (50..60).for_each(|ticket| push(&mut queue, "large", 1, Counter, ticket));
    (100..110).for_each(|ticket| push(&mut queue, "small", 1, Counter, ticket));
    let first: Vec<u64> = (0..10).filter_map(|_| queue.pop()).collect();
    let of_small = first.iter().filter(|ticket| **ticket >= 100).count();
    assert_eq!(of_small, 5, "turns were saved up while idle: {first:?}");
}

#[test]
fn counter_before_deferrable() {
    let mut queue = FairQueue::default();
    (0..20).for_each(|ticket| push(&mut queue, "a", 1, Deferrable, ticket));
    (100..120).for_each(|ticket| push(&mut queue, "a", 1, Counter, ticket));
    let first: Vec<u64> = (0..16).filter_map(|_| queue.pop()).collect();
    let deferrable = first.iter().filter(|ticket| **ticket < 100).count();
    assert_eq!(deferrable as u64, 16 / DEFERRABLE_TURN_INTERVAL, "{first:?}");
}

#[test]
fn removed_call_not_returned() {
    let mut queue = filled_queue(1);
    assert!(queue.remove("small", Counter, 101));
    assert!(!queue.remove("small", Counter, 101));
    assert!(!drain(&mut queue).contains(&101));
}

proptest! {
    /// The tokens received by two workspaces that always have waiting calls differ by at most one
    /// prompt and its answer.
    #[test]
    fn bounded_unfairness(answers in prop::collection::vec(0_u64..500, 1..200)) {
        let mut queue = FairQueue::default();
        let count = answers.len() as u64 + 1;
        (0..count).for_each(|ticket| push(&mut queue, "a", 1, Counter, ticket));
        (1000..1000 + count).for_each(|ticket| push(&mut queue, "b", 1, Counter, ticket));
        let (mut a_tokens, mut b_tokens) = (0_i64, 0_i64);
        for answer in answers {
            let ticket = queue.pop().unwrap();
            let (workspace, tokens) =
                if ticket < 1000 { ("a", &mut a_tokens) } else { ("b", &mut b_tokens) };
            queue.charge(workspace, Counter, answer);
            *tokens += (PROMPT_TOKENS + answer) as i64;
            prop_assert!((a_tokens - b_tokens).abs() <= (PROMPT_TOKENS + 500) as i64);
        }
    }

    /// Each pushed call is returned exactly once, whatever the mix of workspaces and priorities.
    #[test]
    fn each_call_returned_once(calls in prop::collection::vec((0_usize..4, any::<bool>()), 0..100)) {
        let mut queue = FairQueue::default();
        for (ticket, (workspace, counter)) in calls.iter().enumerate() {
            let priority = if *counter { Counter } else { Deferrable };
            push(&mut queue, ["a", "b", "c", "d"][*workspace], 1, priority, ticket as u64);
        }
        let mut returned = drain(&mut queue);
        returned.sort_unstable();
        prop_assert_eq!(returned, (0..calls.len() as u64).collect::<Vec<_>>());
    }
}
