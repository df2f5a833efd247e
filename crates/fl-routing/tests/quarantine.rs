//! Which contents are suspected, held apart, quarantined and cleared.

use fl_routing::quarantine::{QuarantineStatus, QuarantineTable, runners_reserved_for_others};
use rstest::rstest;

const NOW: u64 = 1_000_000;
const LATER: u64 = 10_000;
const POISON: u64 = 1;
const INNOCENT: u64 = 2;

use QuarantineStatus::*;

enum Word {
    Died(&'static str, &'static [u64]),
    Reclaimed(&'static str, &'static [u64]),
    EndedWell(u64),
    Told(u64, bool),
}

use Word::*;

#[rstest]
#[case::nothing(&[], Clear, Clear)]
#[case::one_death(&[Died("a", &[POISON, INNOCENT])], Suspect, Suspect)]
#[case::second_death(&[Died("a", &[POISON, INNOCENT]), Died("b", &[POISON])], Quarantined, Suspect)]
#[case::cleared(&[Died("a", &[POISON, INNOCENT]), EndedWell(INNOCENT)], Suspect, Clear)]
#[case::same_restarted(&[Died("a", &[POISON]), Died("a", &[POISON])], Quarantined, Clear)]
#[case::named_twice(&[Died("a", &[POISON, POISON])], Suspect, Clear)]
#[case::reclaim(&[Reclaimed("a", &[POISON]), Reclaimed("b", &[POISON])], Clear, Clear)]
#[case::told_suspect(&[Told(POISON, false)], Suspect, Clear)]
#[case::told_then_death(&[Told(POISON, false), Died("b", &[POISON])], Quarantined, Clear)]
#[case::told_quarantined(&[Told(POISON, true), EndedWell(POISON)], Quarantined, Clear)]
#[case::told_late(&[Died("a", &[POISON]), Died("b", &[POISON]), Told(POISON, false)], Quarantined, Clear)]
fn judged(
    #[case] words: &[Word],
    #[case] poison: QuarantineStatus,
    #[case] innocent: QuarantineStatus,
) {
    let mut table = QuarantineTable::new(10);
    let mut now_ms = NOW;
    for word in words {
        match word {
            Died(server, contents) => {
                table.record_server_death(&server.to_string(), false, contents, now_ms);
            }
            Reclaimed(server, contents) => {
                table.record_server_death(&server.to_string(), true, contents, now_ms);
            }
            EndedWell(content) => {
                table.record_success(*content);
            }
            Told(content, quarantined) => {
                table.apply_peer_status(*content, *quarantined, now_ms);
            }
        }
        now_ms += LATER;
    }
    assert_eq!(table.status(POISON, now_ms), poison);
    assert_eq!(table.status(INNOCENT, now_ms), innocent);
}

#[test]
fn wave_excused() {
    let mut table = QuarantineTable::new(10);
    for (index, content) in (10..16).enumerate() {
        let server = format!("server-{index}");
        table.record_server_death(&server, false, &[content, INNOCENT], NOW + index as u64);
    }
    // The first two deaths count; from the third on it is a wave.
    let judged = |content| table.status(content, NOW + 10);
    assert_eq!((judged(10), judged(11)), (Suspect, Suspect));
    assert!((12..16).all(|content| judged(content) == Clear));
}

#[test]
fn one_probe() {
    let mut table = QuarantineTable::new(10);
    assert!(table.try_start(POISON, 1, NOW) && table.try_start(POISON, 2, NOW));
    table.record_server_death(&"a".to_string(), false, &[POISON], NOW);
    assert!(table.try_start(POISON, 1, NOW));
    assert!(!table.try_start(POISON, 2, NOW), "others wait for the probe");
    assert!(table.try_start(POISON, 1, NOW), "the probe itself goes on");
    assert!(table.try_start(POISON, 2, NOW + LATER), "a probe that was lost");
    table.record_server_death(&"b".to_string(), false, &[POISON], NOW + LATER);
    assert!(!table.try_start(POISON, 2, NOW + LATER), "quarantined");
}

#[test]
fn peer_probes() {
    let mut table = QuarantineTable::new(10);
    assert!(table.apply_peer_status(POISON, false, NOW));
    assert!(!table.apply_peer_status(POISON, false, NOW), "told on once");
    assert!(!table.try_start(POISON, 1, NOW), "the peer probes");
    assert!(table.try_start(POISON, 1, NOW + LATER));
}

#[test]
fn bounded_memory() {
    let mut table = QuarantineTable::new(4);
    table.apply_peer_status(POISON, true, NOW);
    (100..200).for_each(|content| {
        table.apply_peer_status(content, false, NOW + content);
    });
    assert_eq!(table.len(), 4);
    assert_eq!(table.status(POISON, NOW + 200), Quarantined, "suspects go first");
    let forgotten = NOW + 2 * 3_600_000;
    assert_eq!(table.status(POISON, forgotten), Clear);
}

#[rstest]
#[case::even(3, 6)]
#[case::odd(3, 8)]
#[case::few_runners(6, 3)]
fn dealt_apart(#[case] nodes: usize, #[case] runners: usize) {
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
fn probes_apart() {
    let mut table = QuarantineTable::new(10);
    table.record_server_death(&"a".to_string(), false, &[POISON, INNOCENT], NOW);
    assert!(table.try_start(INNOCENT, 1, NOW) && table.try_start(POISON, 2, NOW));
    table.set_probe_runner(INNOCENT, &"b".to_string());
    assert_eq!(table.other_probe_runners(POISON, NOW), ["b"]);
    assert!(table.other_probe_runners(INNOCENT, NOW).is_empty());
    table.record_success(INNOCENT);
    assert!(table.other_probe_runners(POISON, NOW).is_empty());
}
