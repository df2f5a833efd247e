//! Tests when contents are suspected, run alone, quarantined and cleared.
//!
//! A request whose content crashes servers is retried on one server after the other and can take
//! down the whole pool; the tests also guard against quarantining contents that were merely in
//! flight there.

use fl_routing::quarantine::{QuarantineStatus, QuarantineTable, runners_reserved_for_others};
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;
const LATER_MS: u64 = 10_000;
const CRASHING: u64 = 1;
const INNOCENT: u64 = 2;

use QuarantineStatus::*;

enum Step {
    Died(&'static str, &'static [u64]),
    Reclaimed(&'static str, &'static [u64]),
    Succeeded(u64),
    PeerReported(u64, bool),
}

use Step::*;

#[rstest]
#[case::nothing(&[], Clear, Clear)]
#[case::one_death(&[Died("a", &[CRASHING, INNOCENT])], Suspect, Suspect)]
#[case::second_death(&[Died("a", &[CRASHING, INNOCENT]), Died("b", &[CRASHING])], Quarantined, Suspect)]
#[case::cleared(&[Died("a", &[CRASHING, INNOCENT]), Succeeded(INNOCENT)], Suspect, Clear)]
#[case::same_restarted(&[Died("a", &[CRASHING]), Died("a", &[CRASHING])], Quarantined, Clear)]
#[case::two_requests_one_death(&[Died("a", &[CRASHING, CRASHING])], Suspect, Clear)]
#[case::reclaimed(&[Reclaimed("a", &[CRASHING]), Reclaimed("b", &[CRASHING])], Clear, Clear)]
#[case::peer_suspects(&[PeerReported(CRASHING, false)], Suspect, Clear)]
#[case::peer_suspects_then_death(&[PeerReported(CRASHING, false), Died("b", &[CRASHING])], Quarantined, Clear)]
#[case::peer_quarantined(&[PeerReported(CRASHING, true), Succeeded(CRASHING)], Quarantined, Clear)]
#[case::peer_suspects_late(&[Died("a", &[CRASHING]), Died("b", &[CRASHING]), PeerReported(CRASHING, false)], Quarantined, Clear)]
fn status_after_steps(
    #[case] steps: &[Step],
    #[case] crashing: QuarantineStatus,
    #[case] innocent: QuarantineStatus,
) {
    let mut table = QuarantineTable::new(10);
    let mut now_ms = NOW_MS;
    for step in steps {
        match step {
            Died(server, contents) => {
                table.record_server_death(&server.to_string(), false, contents, now_ms);
            }
            Reclaimed(server, contents) => {
                table.record_server_death(&server.to_string(), true, contents, now_ms);
            }
            Succeeded(content) => {
                table.record_success(*content);
            }
            PeerReported(content, quarantined) => {
                table.apply_peer_status(*content, *quarantined, now_ms);
            }
        }
        now_ms += LATER_MS;
    }
    assert_eq!(table.status(CRASHING, now_ms), crashing);
    assert_eq!(table.status(INNOCENT, now_ms), innocent);
}

#[test]
fn mass_failure_no_evidence() {
    let mut table = QuarantineTable::new(10);
    for (index, content) in (10..16).enumerate() {
        let server = format!("server-{index}");
        table.record_server_death(&server, false, &[content, INNOCENT], NOW_MS + index as u64);
    }
    // The first two deaths count. From the third on they are a mass failure.
    let status = |content| table.status(content, NOW_MS + 10);
    assert_eq!((status(10), status(11)), (Suspect, Suspect));
    assert!((12..16).all(|content| status(content) == Clear));
}

#[test]
fn one_probe_at_a_time() {
    let mut table = QuarantineTable::new(10);
    assert!(table.try_start(CRASHING, 1, NOW_MS) && table.try_start(CRASHING, 2, NOW_MS));
    table.record_server_death(&"a".to_string(), false, &[CRASHING], NOW_MS);
    assert!(table.try_start(CRASHING, 1, NOW_MS));
    assert!(!table.try_start(CRASHING, 2, NOW_MS), "other requests wait for the probe");
    assert!(table.try_start(CRASHING, 1, NOW_MS), "the probe itself may run");
    assert!(
        table.try_start(CRASHING, 2, NOW_MS + LATER_MS),
        "another request may run after the probe's time"
    );
    table.record_server_death(&"b".to_string(), false, &[CRASHING], NOW_MS + LATER_MS);
    assert!(!table.try_start(CRASHING, 2, NOW_MS + LATER_MS), "a quarantined content must not run");
}

#[test]
fn peer_probes_first() {
    let mut table = QuarantineTable::new(10);
    assert!(table.apply_peer_status(CRASHING, false, NOW_MS));
    assert!(!table.apply_peer_status(CRASHING, false, NOW_MS), "a repeated report changes nothing");
    assert!(!table.try_start(CRASHING, 1, NOW_MS), "the peer's own probe goes first");
    assert!(table.try_start(CRASHING, 1, NOW_MS + LATER_MS));
}

#[test]
fn table_size_bounded() {
    let mut table = QuarantineTable::new(4);
    table.apply_peer_status(CRASHING, true, NOW_MS);
    (100..200).for_each(|content| {
        table.apply_peer_status(content, false, NOW_MS + content);
    });
    assert_eq!(table.len(), 4);
    assert_eq!(
        table.status(CRASHING, NOW_MS + 200),
        Quarantined,
        "suspects are dropped before quarantined contents"
    );
    let expired = NOW_MS + 2 * 3_600_000;
    assert_eq!(table.status(CRASHING, expired), Clear);
}

#[rstest]
#[case::even(3, 6)]
#[case::odd(3, 8)]
#[case::few_runners(6, 3)]
fn runners_assigned_to_one_node(#[case] nodes: usize, #[case] runners: usize) {
    let named = |name: &str, count| (0..count).map(|index| format!("{name}-{index}")).collect();
    let (nodes, runners): (Vec<String>, Vec<String>) = (named("n", nodes), named("r", runners));
    for runner in &runners {
        let open_to = |node: &&String| {
            let reserved = runners_reserved_for_others(node, &nodes, &runners);
            reserved.len() < runners.len() && !reserved.is_empty() && !reserved.contains(runner)
        };
        assert_eq!(nodes.iter().filter(open_to).count(), 1, "{runner}");
    }
}

#[test]
fn probes_on_separate_runners() {
    let mut table = QuarantineTable::new(10);
    table.record_server_death(&"a".to_string(), false, &[CRASHING, INNOCENT], NOW_MS);
    assert!(table.try_start(INNOCENT, 1, NOW_MS) && table.try_start(CRASHING, 2, NOW_MS));
    table.set_probe_runner(INNOCENT, &"b".to_string());
    assert_eq!(table.other_probe_runners(CRASHING, NOW_MS), ["b"]);
    assert!(table.other_probe_runners(INNOCENT, NOW_MS).is_empty());
    table.record_success(INNOCENT);
    assert!(table.other_probe_runners(CRASHING, NOW_MS).is_empty());
}
