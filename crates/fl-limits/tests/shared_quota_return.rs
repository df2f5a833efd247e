//! A quota of nodes that were cut off from most others and accepted no API keys meanwhile.

use fl_limits::{QuotaLimit, SharedQuota};
use std::time::Duration;

/// Nodes, of which the first ones are cut off.
const NODES: usize = 78;
const CUT_NODES: usize = 20;
const CUT_FROM_MS: u64 = 12_000;
/// From then on the cut nodes refuse all calls, since they cannot read the store.
const KEYS_EXPIRE_MS: u64 = 17_000;
const CUT_UNTIL_MS: u64 = 29_000;
/// Callers come back to the cut nodes so long after the end of the cut; until then the others have
/// their calls.
const CALLERS_AFTER_MS: u64 = 2_000;
const REPORT_INTERVAL_MS: u64 = 960;
const END_MS: u64 = 36_000;
const STEP_MS: u64 = 20;
const CALL_UNITS: f64 = 3_000.0;
/// Interval of the calls at a node: all together ask for eight times what the quota allows.
const CALL_INTERVAL_MS: u64 = 100;
/// The same while the callers of the cut nodes are at the others.
const CROWDED_CALL_INTERVAL_MS: u64 = 60;
/// Estimates of the others' consumption have settled by then.
const JUDGED_FROM_MS: u64 = 10_000;
/// The window in which consumption is counted.
const WINDOW_MS: u64 = 8_000;
const RATE_PER_S: f64 = 300_000.0;
const BURST: f64 = 1_000_000.0;
/// What all nodes together may take in a window beyond the promise, and the share of it that each
/// node's estimate uses.
const OVERSHOOT: f64 = 500_000.0;
const TOLERANCE_SHARE: f64 = 0.4;

fn at(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn is_cut(node: usize, time_ms: u64) -> bool {
    node < CUT_NODES && (CUT_FROM_MS..CUT_UNTIL_MS).contains(&time_ms)
}

/// Guards against nodes that come back from a cut with a full quota, although the others used it
/// up all the while, and against others that adopt it from them.
#[test]
fn quota_holds_after_a_cut() {
    let limit =
        QuotaLimit { rate_per_s: RATE_PER_S, burst: BURST, tolerance: OVERSHOOT * TOLERANCE_SHARE };
    let mut nodes: Vec<SharedQuota> = (0..NODES).map(|_| SharedQuota::full(limit, at(0))).collect();
    let mut taken: Vec<(u64, f64)> = Vec::new();
    let mut served_after = 0;
    for time_ms in (0..END_MS).step_by(STEP_MS as usize) {
        // Each node reports at its own time of the interval.
        for from in 0..NODES {
            let phase_ms = from as u64 * REPORT_INTERVAL_MS / NODES as u64;
            if time_ms % REPORT_INTERVAL_MS / STEP_MS != phase_ms / STEP_MS {
                continue;
            }
            let report = nodes[from].report(at(time_ms));
            for to in (0..NODES).filter(|to| *to != from) {
                if is_cut(from, time_ms) == is_cut(to, time_ms) {
                    nodes[to].apply_report(from as u64, report, at(time_ms));
                }
            }
        }
        for (number, node) in nodes.iter_mut().enumerate() {
            let is_refusing = number < CUT_NODES
                && (KEYS_EXPIRE_MS..CUT_UNTIL_MS + CALLERS_AFTER_MS).contains(&time_ms);
            let is_away = (CUT_FROM_MS..CUT_UNTIL_MS + CALLERS_AFTER_MS).contains(&time_ms);
            let interval_ms = if is_away { CROWDED_CALL_INTERVAL_MS } else { CALL_INTERVAL_MS };
            let step = time_ms / STEP_MS + number as u64;
            let calls = step.is_multiple_of(interval_ms / STEP_MS);
            if calls && !is_refusing && node.try_take(CALL_UNITS, at(time_ms)).is_ok() {
                taken.push((time_ms, CALL_UNITS));
                served_after += usize::from(number < CUT_NODES && time_ms > CUT_UNTIL_MS);
            }
        }
    }
    let window_s = WINDOW_MS as f64 / 1000.0;
    let allowed = RATE_PER_S * window_s + BURST + OVERSHOOT;
    for start_ms in (JUDGED_FROM_MS..END_MS - WINDOW_MS).step_by(100) {
        let window = start_ms..start_ms + WINDOW_MS;
        let in_window = taken.iter().filter(|(time_ms, _)| window.contains(time_ms));
        let units: f64 = in_window.map(|(_, units)| units).sum();
        assert!(units <= allowed, "{units} units from {start_ms} ms on, {allowed} allowed");
    }
    assert!(served_after >= CUT_NODES, "the nodes that returned served {served_after} calls");
}
