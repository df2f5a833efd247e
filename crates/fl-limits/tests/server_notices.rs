//! Whether a server may be sent a call after what it said in its responses.

use fl_limits::{SendDenial, ServerNotices};
use fl_protocol::forward::ResponseNotices;
use proptest::prelude::*;
use std::time::Duration;

/// The only node, which therefore shares each limit alone.
const ALONE: Option<usize> = Some(1);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn pause(time_ms: u64) -> ResponseNotices {
    ResponseNotices { pause: Some(ms(time_ms)), ..ResponseNotices::default() }
}

#[test]
fn leaving_server_gets_nothing() {
    let mut notices = ServerNotices::default();
    assert_eq!(notices.check(ALONE, ms(0)), Ok(()));
    let leaving = ResponseNotices { is_leaving: true, ..ResponseNotices::default() };
    assert!(notices.hear(&leaving, ms(1)).leaving);
    assert_eq!(notices.check(ALONE, ms(2)), Err(SendDenial::Leaving));
    notices.hear(&ResponseNotices::default(), ms(3));
    let later = notices.check(ALONE, ms(60_000));
    assert_eq!(later, Err(SendDenial::Leaving), "a later response does not take it back");
}

#[test]
fn pause_then_one_call() {
    let mut notices = ServerNotices::default();
    assert!(notices.hear(&pause(2_000), ms(0)).paused);
    assert_eq!(notices.check(ALONE, ms(500)), Err(SendDenial::Paused(ms(1_500))));
    assert_eq!(notices.check(ALONE, ms(2_000)), Ok(()));
    notices.count_call(ALONE, ms(2_000));
    assert!(notices.check(ALONE, ms(2_001)).is_err(), "one call tries first");
    notices.hear(&ResponseNotices::default(), ms(2_050));
    assert_eq!(notices.check(ALONE, ms(2_051)), Ok(()));
}

/// Guards against a pause that ends with the response to a call sent before it.
#[test]
fn earlier_call_ends_no_pause() {
    let mut notices = ServerNotices::default();
    notices.hear(&pause(2_000), ms(0));
    notices.hear(&ResponseNotices::default(), ms(100));
    assert_eq!(notices.check(ALONE, ms(200)), Err(SendDenial::Paused(ms(1_800))));
}

/// Guards against a pause that becomes shorter with a second response, and against a trial call
/// without a response, after which no call would ever be sent.
#[test]
fn later_pause_extends() {
    let mut notices = ServerNotices::default();
    notices.hear(&pause(2_000), ms(0));
    assert!(!notices.hear(&pause(500), ms(100)).paused, "it was paused already");
    assert!(notices.check(ALONE, ms(1_900)).is_err());
    notices.count_call(ALONE, ms(2_000));
    assert!(notices.check(ALONE, ms(2_900)).is_err());
    assert_eq!(notices.check(ALONE, ms(3_000)), Ok(()));
}

proptest! {
    /// Whatever responses come, nothing is sent during a pause or to a leaving server.
    #[test]
    fn nothing_sent_against_a_notice(
        events in proptest::collection::vec((1_u64..400, 0_u8..10, 1_u64..3_000), 1..200),
    ) {
        let mut notices = ServerNotices::default();
        let (mut now_ms, mut paused_until_ms, mut leaves) = (0, 0, false);
        for (step_ms, event, pause_ms) in events {
            now_ms += step_ms;
            let now = ms(now_ms);
            match event {
                0 => {
                    notices.hear(&pause(pause_ms), now);
                    paused_until_ms = paused_until_ms.max(now_ms + pause_ms);
                }
                1 => { notices.hear(&ResponseNotices::default(), now); }
                2 if pause_ms < 100 => {
                    let leaving = ResponseNotices { is_leaving: true, ..ResponseNotices::default() };
                    notices.hear(&leaving, now);
                    leaves = true;
                }
                _ => if notices.check(ALONE, now).is_ok() {
                    prop_assert!(!leaves && now_ms >= paused_until_ms);
                    notices.count_call(ALONE, now);
                },
            }
        }
    }
}
