//! Whether a node reaches any backend server.

#![allow(clippy::expect_used)]

use fl_routing::backend_links::{BackendLinks, LinkChange};
use std::net::SocketAddr;
use std::time::Duration;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Guards against taking one server that ended for the loss of all links.
#[test]
fn one_server_is_no_suspicion() {
    let mut links = BackendLinks::default();
    for _ in 0..5 {
        links.record_connect_failure(server(1));
    }
    assert!(!links.begin_probes(ms(100)));
    links.record_connect_failure(server(2));
    assert!(links.begin_probes(ms(100)));
}

/// Guards against probing servers that merely take their time while others answer.
#[test]
fn answers_end_the_silence() {
    let mut links = BackendLinks::default();
    links.record_sent(ms(0));
    links.record_sent(ms(400));
    links.record_received();
    assert!(!links.begin_probes(ms(600)));
    links.record_sent(ms(700));
    assert!(!links.begin_probes(ms(1199)));
    assert!(links.begin_probes(ms(1200)));
}

#[test]
fn probes_keep_their_interval() {
    let mut links = BackendLinks::default();
    links.record_connect_failure(server(1));
    links.record_connect_failure(server(2));
    assert!(links.begin_probes(ms(0)));
    assert!(!links.begin_probes(ms(499)));
    assert!(links.begin_probes(ms(500)));
}

#[test]
fn links_are_lost_and_regained() {
    let mut links = BackendLinks::default();
    links.record_connect_failure(server(1));
    links.record_connect_failure(server(2));
    assert!(!links.is_lost());
    let lost = links.record_unanswered_probes(ms(1000));
    assert_eq!(lost, Some(LinkChange::Lost { failed_servers: 2 }));
    assert_eq!(links.record_unanswered_probes(ms(1500)), None);
    assert!(links.is_lost() && links.begin_probes(ms(1500)));
    let regained = links.record_connected(ms(3000)).expect("the links were lost");
    assert_eq!(regained, LinkChange::Regained { lost_for: ms(2000) });
    assert!(!links.is_lost() && !links.begin_probes(ms(9000)));
}
