//! A graceful shutdown interrupts no request in flight.

#![allow(clippy::expect_used)]

use fl_protocol::event::EventKind;
use fl_standins::PlainServiceFaults;
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{CallerEvent, Testbed, TestbedOptions};
use http::{Method, StatusCode};
use rstest::rstest;

const CALLS: usize = 24;

/// On SIGTERM under load, streams that end within the drain timeout end on their connection, the
/// others are handed over and their callers reconnect, and the process exits with code 0.
#[rstest]
#[case::all_complete(20_000, 60, 0)]
#[case::all_handed_over(1, 400, CALLS as u32)]
#[tokio::test]
async fn sigterm_under_load(#[case] drain_ms: u64, #[case] tokens: u64, #[case] reconnects: u32) {
    let options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("limits", &format!("drain_timeout_ms = {drain_ms}"))
        .with_setting("log", "level = debug");
    let mut bed = Testbed::start(options).await;
    let mut streams = Vec::new();
    for index in 0..CALLS {
        let stream =
            bed.open_chat(0, &chat_request(&format!("call {index}"), tokens), "plan", None).await;
        let mut stream = stream.expect("the call was refused");
        let first = stream.next().await;
        streams.push((index, first, stream));
    }
    bed.nodes[0].terminate();
    let exit = bed.nodes[0].wait().await;
    assert_eq!(exit.code(), Some(0));
    let mut extra_connections = 0;
    for (index, first, stream) in streams {
        let CallerEvent::Token { text, .. } = first else { unreachable!("{first:?}") };
        let outcome = bed.finish(stream, &[1, 2, 3]).await;
        assert!(outcome.is_complete, "{outcome:?}");
        let received = text + &outcome.text;
        assert_eq!(received, expected_answer(&format!("call {index}"), tokens));
        extra_connections += outcome.connections - 1;
        // A peer keeps the last events of the node that left.
        let handover = bed.last_event(EventKind::HandedOver, &outcome.request_id).await;
        assert_eq!(handover.is_some(), reconnects > 0, "{index}: {handover:?}");
    }
    assert_eq!(extra_connections, reconnects);
}

#[tokio::test]
async fn new_calls_refused() {
    let bed = Testbed::start(TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))).await;
    let long = bed.open_chat(0, &chat_request("a long one", 400), "plan", None).await;
    let mut long = long.expect("the call was refused");
    long.next().await;
    bed.nodes[0].terminate();
    fl_testbed::wait_until("new calls are refused", async || {
        bed.open_chat(0, &chat_request("a new one", 5), "counter", None).await.is_err()
    })
    .await;
    let outcome = bed.finish(long, &[1]).await;
    assert!(outcome.is_complete, "{outcome:?}");
}

/// A booking that runs at SIGTERM is answered, runs once, and is recorded for later attempts.
#[tokio::test]
async fn booking_in_flight_completes() {
    let mut bed = Testbed::start(TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))).await;
    for application in &bed.applications {
        application.set_faults(PlainServiceFaults {
            delay_after_effect_ms: 1_500,
            ..PlainServiceFaults::default()
        });
    }
    let calling = bed.call_service(0, Method::POST, "bookings/bookings", Some("g1"), "{}");
    let stopping = async {
        fl_testbed::wait_until("the booking runs", async || count_runs(&bed) == 1).await;
        bed.nodes[0].terminate();
    };
    let (reply, ()) = futures::future::join(calling, stopping).await;
    let reply = reply.expect("a reply");
    assert_eq!(reply.status, StatusCode::CREATED);
    assert_eq!(bed.nodes[0].wait().await.code(), Some(0));
    let again = bed.call_service(1, Method::POST, "bookings/bookings", Some("g1"), "{}").await;
    assert_eq!(again.expect("a reply").body, reply.body);
    assert_eq!(count_runs(&bed), 1);
}

fn count_runs(bed: &Testbed) -> u64 {
    let applications = bed.applications.iter();
    applications.flat_map(|application| application.runs()).map(|run| run.count).sum()
}
