//! Measures the operations of the fair queue with 5, 100 and 1,000 workspaces.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fl_limits::FairQueue;
use fl_limits::fair_queue::QueuedCall;
use fl_protocol::Priority;

/// Number of waiting calls in each workspace.
const WAITING_PER_WORKSPACE: u64 = 20;

fn filled_queue(names: &[String]) -> FairQueue {
    let mut queue = FairQueue::default();
    for (index, name) in names.iter().enumerate() {
        for number in 0..WAITING_PER_WORKSPACE {
            let ticket = index as u64 * WAITING_PER_WORKSPACE + number;
            queue.push(name, 1, Priority::Counter, QueuedCall { ticket, prompt_tokens: 100 });
        }
    }
    queue
}

fn bench_operations(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fair_queue");
    for workspaces in [5_usize, 100, 1_000] {
        let names: Vec<String> =
            (0..workspaces).map(|number| format!("workspace-{number:04}")).collect();
        let mut queue = filled_queue(&names);
        let mut next = 0;
        let name = &names[workspaces / 2];
        group.bench_function(BenchmarkId::new("push, pop, charge, end", workspaces), |bencher| {
            bencher.iter(|| {
                next += 1;
                let call = QueuedCall { ticket: 1_000_000 + next, prompt_tokens: 100 };
                queue.push(&names[next as usize % workspaces], 1, Priority::Counter, call);
                queue.charge(name, Priority::Counter, 1);
                let ticket = queue.pop();
                queue.record_end(name, Priority::Counter);
                ticket
            })
        });
        let queue = filled_queue(&names);
        group.bench_function(BenchmarkId::new("ahead", workspaces), |bencher| {
            bencher.iter(|| queue.calls_ahead(name, 1, Priority::Counter))
        });
    }
    group.finish();
}

criterion_group!(benches, bench_operations);
criterion_main!(benches);
