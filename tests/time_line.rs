//! The time line shows a request on every node that owned it, including nodes that have stopped.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::event::EventKind;
use fl_testbed::caller::chat_request;
use fl_testbed::{Testbed, TestbedOptions};
use fl_timeline::text::render_text;
use fl_timeline::{TimeLinePage, merge_pages};
use std::net::SocketAddr;
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

async fn read_page(admin: SocketAddr) -> TimeLinePage {
    let client = HttpClient::new(ConnectionReuse::Never);
    client.get_json(&format!("http://{admin}/timeline"), READ_TIMEOUT).await.unwrap()
}

#[tokio::test]
async fn handed_over_request_traced() {
    let options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    let mut bed = Testbed::start(options.with_setting("limits", "drain_timeout_ms = 1")).await;
    let stream = bed.open_chat(0, &chat_request("plan a night", 200), "plan", None).await;
    let mut stream = stream.unwrap_or_else(|refusal| panic!("{refusal:?}"));
    stream.next().await;

    bed.nodes[0].terminate();
    let outcome = bed.finish(stream, &[1, 2, 3, 4, 5]).await;
    assert!(outcome.is_complete, "{outcome:?}");
    bed.nodes[0].wait().await;
    let mut pages = Vec::new();
    for node in &bed.nodes[1..] {
        pages.push(read_page(node.admin_address).await);
    }

    let mut time_line = merge_pages(pages);
    for kind in [EventKind::NodeStarted, EventKind::NodeReady] {
        let nodes = time_line.events.iter().filter(|event| event.kind == kind).count();
        assert_eq!(nodes, bed.nodes.len(), "{}", render_text(&time_line));
    }
    time_line.events.retain(|event| event.request_id.as_ref() == Some(&outcome.request_id));
    let text = render_text(&time_line);
    let kinds: Vec<EventKind> = time_line.events.iter().map(|event| event.kind).collect();
    let position_of = |kind| kinds.iter().position(|found| *found == kind);
    let expected_order = [EventKind::GuardianPlaced, EventKind::Accepted, EventKind::Whole];
    let positions = expected_order.map(position_of);
    assert!(positions[0].is_some() && positions.is_sorted(), "{text}");
    assert_eq!(kinds.last(), Some(&EventKind::Whole), "{text}");
    assert_eq!(time_line.events[0].vm, bed.nodes[0].vm, "{text}");
    assert_ne!(time_line.events[0].vm, time_line.events[kinds.len() - 1].vm, "{text}");
}
