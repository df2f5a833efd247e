//! What crashes servers is found among all that calls on crashed servers had in common.

use fl_routing::crash_suspects::{Crash, CrashSuspects, Suspect, SuspectKey};
use rstest::rstest;
use std::time::Duration;

const ENTRIES_MAX: usize = 256;
const CRASHING: SuspectKey = SuspectKey::PromptPart(0xbad);
const SOUND: SuspectKey = SuspectKey::PromptPart(0x500d);
/// Time between two calls, in milliseconds.
const GAP_MS: u64 = 400;

fn new_set() -> CrashSuspects {
    CrashSuspects::new(ENTRIES_MAX)
}

/// Returns the crash of server `number`, 100 ms after a call was sent to it.
fn crash(number: u64, crashed_ms: u64) -> Crash {
    Crash { instance: number, sent_ms: crashed_ms.saturating_sub(100), crashed_ms }
}

fn at(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Records `count` crashes, one after the other, with calls that held these keys.
fn crash_servers(suspects: &mut CrashSuspects, keys: &[SuspectKey], count: u64) {
    for number in 0..count {
        let time_ms = 1000 + number * GAP_MS;
        suspects.record_crash(keys, crash(number, time_ms), at(time_ms));
    }
}

#[rstest]
#[case::part(CRASHING, 4)]
#[case::content(SuspectKey::Content(7), 3)]
fn quarantined_after(#[case] key: SuspectKey, #[case] crashes: u64) {
    let mut suspects = new_set();
    crash_servers(&mut suspects, &[key], crashes - 1);
    assert_eq!(suspects.quarantined(&[key]), None);
    crash_servers(&mut suspects, &[key], crashes);
    assert_eq!(suspects.quarantined(&[SOUND, key]), Some(key));
}

/// Guards against a content that is let through again by one more crash: with four, its prompt part
/// explains as many, and neither could be told from the other.
#[test]
fn content_stays_quarantined() {
    let content = SuspectKey::Content(7);
    for crashes in 3..=8 {
        let mut suspects = new_set();
        crash_servers(&mut suspects, &[content, CRASHING], crashes);
        assert_eq!(suspects.quarantined(&[content]), Some(content), "after {crashes} crashes");
    }
}

/// One crash more than a content needs says nothing of its prompt part, whose other calls may be
/// sound.
#[test]
fn part_of_crashing_content_not_blamed() {
    let mut suspects = new_set();
    crash_servers(&mut suspects, &[SuspectKey::Content(7), SOUND], 4);
    assert_eq!(suspects.quarantined(&[SOUND]), None);
}

#[test]
fn answered_part_not_blamed() {
    let mut suspects = new_set();
    suspects.record_success(&[SOUND], at(10));
    crash_servers(&mut suspects, &[SOUND, CRASHING], 8);
    assert_eq!(suspects.quarantined(&[SOUND, CRASHING]), Some(CRASHING));
    assert_eq!(suspects.quarantined(&[SOUND]), None);
}

/// Guards against blaming a sound part that was answered after the other one had begun to crash
/// servers, although both were answered before.
#[test]
fn part_that_turned_bad() {
    let mut suspects = new_set();
    suspects.record_success(&[SOUND, CRASHING], at(10));
    suspects.record_success(&[SOUND], at(20));
    crash_servers(&mut suspects, &[SOUND, CRASHING], 4);
    assert_eq!(suspects.quarantined(&[SOUND]), None);
    assert_eq!(suspects.quarantined(&[CRASHING]), Some(CRASHING));
}

#[test]
fn parts_that_cannot_be_told_apart() {
    let mut suspects = new_set();
    crash_servers(&mut suspects, &[SOUND, CRASHING], 4);
    assert_eq!(suspects.quarantined(&[SOUND, CRASHING]), None, "one of them may be sound");
    crash_servers(&mut suspects, &[SOUND, CRASHING], 5);
    assert_eq!(suspects.quarantined(&[SOUND]), Some(SOUND));
    suspects.record_success(&[SOUND], at(9000));
    assert_eq!(suspects.quarantined(&[SOUND]), None);
    assert_eq!(suspects.quarantined(&[CRASHING]), Some(CRASHING));
}

/// Guards against blaming calls that happened to run on the servers which another part crashed.
#[test]
fn bystander_not_blamed() {
    let mut suspects = new_set();
    let bystander = SuspectKey::PromptPart(1);
    crash_servers(&mut suspects, &[bystander], 4);
    assert_eq!(suspects.quarantined(&[bystander]), Some(bystander), "it is all that is known");
    crash_servers(&mut suspects, &[CRASHING], 6);
    assert_eq!(suspects.quarantined(&[bystander]), None);
    assert_eq!(suspects.quarantined(&[CRASHING]), Some(CRASHING));
}

/// Guards against quarantining what many calls share when the servers of a data centre end at once.
#[test]
fn mass_failure_is_one_crash() {
    let mut suspects = new_set();
    for number in 0..20 {
        let end = Crash { instance: number, sent_ms: 900, crashed_ms: 1000 + number * 10 };
        suspects.record_crash(&[SOUND], end, at(1000));
    }
    assert_eq!(suspects.quarantined(&[SOUND]), None);
    assert!(!suspects.is_suspect(&[SOUND]));
}

#[test]
fn answer_clears_at_every_node() {
    let (mut here, mut there) = (new_set(), new_set());
    crash_servers(&mut here, &[SOUND], 4);
    there.merge(&here.report(true, 100, at(3000)), at(3000));
    assert_eq!(there.quarantined(&[SOUND]), Some(SOUND));
    there.record_success(&[SOUND], at(3100));
    here.merge(&there.report(false, 100, at(3200)), at(3200));
    assert_eq!(here.quarantined(&[SOUND]), None);
}

/// Guards against losing crashes that several nodes saw one each of.
#[test]
fn crashes_of_several_nodes_add_up() {
    let mut nodes: Vec<CrashSuspects> = (0..4).map(|_| new_set()).collect();
    for (number, node) in nodes.iter_mut().enumerate() {
        let time_ms = 1000 + number as u64 * GAP_MS;
        node.record_crash(&[CRASHING], crash(number as u64, time_ms), at(time_ms));
    }
    let reports: Vec<Vec<Suspect>> =
        nodes.iter().map(|node| node.report(false, 100, at(3000))).collect();
    for node in &mut nodes {
        // Twice and out of order, as datagrams arrive.
        for report in reports.iter().rev().chain(&reports) {
            node.merge(report, at(3000));
        }
        assert_eq!(node.quarantined(&[CRASHING]), Some(CRASHING));
    }
}

#[test]
fn call_on_two_crashed_servers_not_sent_again() {
    let mut suspects = new_set();
    crash_servers(&mut suspects, &[CRASHING], 1);
    assert!(!suspects.is_suspect(&[CRASHING]));
    crash_servers(&mut suspects, &[CRASHING], 2);
    assert!(suspects.is_suspect(&[SOUND, CRASHING]));
}

#[test]
fn report_and_set_are_bounded() {
    let mut suspects = CrashSuspects::new(10);
    for part in 0..1000 {
        let key = SuspectKey::PromptPart(part);
        suspects.record_crash(&[key], crash(part, 1000 + part), at(1000));
        suspects.record_success(&[SuspectKey::PromptPart(part + 5000)], at(1000));
    }
    crash_servers(&mut suspects, &[CRASHING], 40);
    let report = suspects.report(true, 20, at(17_000));
    assert!(report.iter().map(|suspect| suspect.crashes.len()).sum::<usize>() <= 20);
    assert_eq!(report.first().map(|suspect| suspect.key), Some(CRASHING), "most crashes first");
    assert_eq!(suspects.quarantined(&[CRASHING]), Some(CRASHING));
}
