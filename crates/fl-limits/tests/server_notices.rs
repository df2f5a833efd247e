//! Whether a server may be sent a call after what it said in its responses.

use fl_limits::{SendDenial, ServerNotices};
use fl_protocol::forward::ResponseNotices;
use std::time::Duration;

/// The only node, which therefore shares each limit alone.
const ALONE: Option<usize> = Some(1);

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
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
