//! Which contents are suspected, held apart, quarantined and cleared.

use fl_routing::quarantine::{Judgement, Suspicions, reserved_for_others};
use rstest::rstest;

const NOW: u64 = 1_000_000;
const LATER: u64 = 10_000;
const POISON: u64 = 1;
const INNOCENT: u64 = 2;

use Judgement::*;

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
fn judged(#[case] words: &[Word], #[case] poison: Judgement, #[case] innocent: Judgement) {
    let mut suspicions = Suspicions::new(10);
    let mut now_ms = NOW;
    for word in words {
        match word {
            Died(server, contents) => {
                suspicions.server_died(&server.to_string(), false, contents, now_ms);
            }
            Reclaimed(server, contents) => {
                suspicions.server_died(&server.to_string(), true, contents, now_ms);
            }
            EndedWell(content) => {
                suspicions.ended_well(*content);
            }
            Told(content, quarantined) => {
                suspicions.learn(*content, *quarantined, now_ms);
            }
        }
        now_ms += LATER;
    }
    assert_eq!(suspicions.judgement(POISON, now_ms), poison);
    assert_eq!(suspicions.judgement(INNOCENT, now_ms), innocent);
}

#[test]
fn wave_excused() {
    let mut suspicions = Suspicions::new(10);
    for (index, content) in (10..16).enumerate() {
        let server = format!("server-{index}");
        suspicions.server_died(&server, false, &[content, INNOCENT], NOW + index as u64);
    }
    // The first two deaths count; from the third on it is a wave.
    let judged = |content| suspicions.judgement(content, NOW + 10);
    assert_eq!((judged(10), judged(11)), (Suspect, Suspect));
    assert!((12..16).all(|content| judged(content) == Clear));
}

#[test]
fn one_probe() {
    let mut suspicions = Suspicions::new(10);
    assert!(suspicions.may_run(POISON, 1, NOW) && suspicions.may_run(POISON, 2, NOW));
    suspicions.server_died(&"a".to_string(), false, &[POISON], NOW);
    assert!(suspicions.may_run(POISON, 1, NOW));
    assert!(!suspicions.may_run(POISON, 2, NOW), "others wait for the probe");
    assert!(suspicions.may_run(POISON, 1, NOW), "the probe itself goes on");
    assert!(suspicions.may_run(POISON, 2, NOW + LATER), "a probe that was lost");
    suspicions.server_died(&"b".to_string(), false, &[POISON], NOW + LATER);
    assert!(!suspicions.may_run(POISON, 2, NOW + LATER), "quarantined");
}

#[test]
fn peer_probes() {
    let mut suspicions = Suspicions::new(10);
    assert!(suspicions.learn(POISON, false, NOW));
    assert!(!suspicions.learn(POISON, false, NOW), "told on once");
    assert!(!suspicions.may_run(POISON, 1, NOW), "the peer probes");
    assert!(suspicions.may_run(POISON, 1, NOW + LATER));
}

#[test]
fn bounded_memory() {
    let mut suspicions = Suspicions::new(4);
    suspicions.learn(POISON, true, NOW);
    (100..200).for_each(|content| {
        suspicions.learn(content, false, NOW + content);
    });
    assert_eq!(suspicions.len(), 4);
    assert_eq!(suspicions.judgement(POISON, NOW + 200), Quarantined, "suspects go first");
    let forgotten = NOW + 2 * 3_600_000;
    assert_eq!(suspicions.judgement(POISON, forgotten), Clear);
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
            let reserved = reserved_for_others(node, &nodes, &runners);
            reserved.len() < runners.len() && !reserved.is_empty() && !reserved.contains(runner)
        };
        assert_eq!(nodes.iter().filter(open_to).count(), 1, "{runner}");
    }
}

#[test]
fn probes_apart() {
    let mut suspicions = Suspicions::new(10);
    suspicions.server_died(&"a".to_string(), false, &[POISON, INNOCENT], NOW);
    assert!(suspicions.may_run(INNOCENT, 1, NOW) && suspicions.may_run(POISON, 2, NOW));
    suspicions.runs_at(INNOCENT, &"b".to_string());
    assert_eq!(suspicions.runners_of_others(POISON, NOW), ["b"]);
    assert!(suspicions.runners_of_others(INNOCENT, NOW).is_empty());
    suspicions.ended_well(INNOCENT);
    assert!(suspicions.runners_of_others(POISON, NOW).is_empty());
}
