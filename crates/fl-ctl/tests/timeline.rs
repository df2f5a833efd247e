//! `filbertctl timeline` discovers all nodes from one, merges their events and reports the missing.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_protocol::admin::StatusPage;
use fl_protocol::event::{Event, EventKind, HlcTimestamp};
use fl_protocol::{Member, MemberState};
use fl_timeline::TimeLinePage;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};

const REQUEST: &str = "000000000000000000000000000000ab";

fn member(vm: &str, admin_address: SocketAddr, state: MemberState) -> Member {
    Member {
        vm: vm.to_string(),
        data_center: "dc-a".to_string(),
        peer_address: admin_address,
        gossip_address: admin_address,
        admin_address,
        incarnation: 1,
        state,
    }
}

fn page(vm: &str, time_ms: u64, kind: EventKind) -> TimeLinePage {
    let stamp = HlcTimestamp { time_ms, counter: 0 };
    let event = Event {
        stamp,
        vm: vm.to_string(),
        data_center: "dc-a".to_string(),
        kind,
        request_id: Some(REQUEST.to_string()),
        detail: String::new(),
    };
    TimeLinePage {
        vm: vm.to_string(),
        data_center: "dc-a".to_string(),
        clock: stamp,
        dropped_events: 0,
        events: vec![event],
    }
}

/// Serves `/status` and `/timeline` until the test process exits.
fn serve(listener: TcpListener, members: Vec<Member>, page: TimeLinePage) {
    let status = StatusPage {
        vm: page.vm.clone(),
        data_center: page.data_center.clone(),
        now_ms: 0,
        ready: true,
        not_ready_reasons: Vec::new(),
        configuration_version: 1,
        members,
        backends: Vec::new(),
    };
    let bodies = [serde_json::to_string(&status).unwrap(), serde_json::to_string(&page).unwrap()];
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            respond(stream, &bodies);
        }
    });
}

fn respond(mut stream: TcpStream, [status, page]: &[String; 2]) {
    let mut head = BufReader::new(&stream).lines().map_while(Result::ok);
    let request = head.next().unwrap_or_default();
    head.find(String::is_empty);
    let body = if request.starts_with("GET /status ") { status } else { page };
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
    .unwrap();
}

/// Starts two nodes that answer; of their two other members one is suspect and one is dead, and both
/// do not answer. Returns the admin address of the first node.
fn start_nodes() -> SocketAddr {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let [a, b, unresponsive, dead] = listeners.each_ref().map(|l| l.local_addr().unwrap());
    let members = vec![
        member("a1", a, MemberState::Alive),
        member("a2", b, MemberState::CutOff),
        member("a3", unresponsive, MemberState::Suspect),
        member("a4", dead, MemberState::Dead),
    ];
    let [first, second, _, _] = listeners;
    serve(first, members, page("a1", 1_000, EventKind::Accepted));
    serve(second, Vec::new(), page("a2", 2_000, EventKind::TakenOver));
    a
}

fn run_timeline(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertctl"));
    command.arg("timeline").args(arguments).output().unwrap()
}

#[test]
fn text_of_all_nodes() {
    let admin = start_nodes().to_string();
    let output = run_timeline(&["--admin", &admin, "--request", REQUEST]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{errors}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "# 2 events of 2 nodes from 1970-01-01T00:00:01.000Z");
    assert!(lines[1].contains("dc-a/a1  accepted"), "{text}");
    assert!(lines[2].contains("dc-a/a2  taken-over"), "{text}");
    assert_eq!(errors.matches("missing on the time line").count(), 1, "{errors}");
}

#[test]
fn only_given_nodes() {
    let admin = start_nodes().to_string();
    let output = run_timeline(&["--admin", &admin, "--only"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.starts_with("# 1 events of 1 nodes") && output.stderr.is_empty(), "{text}");
}

#[test]
fn html_file_written() {
    let path = std::env::temp_dir().join(format!("timeline-{}.html", std::process::id()));
    let admin = start_nodes().to_string();
    let output = run_timeline(&["--admin", &admin, "--html", &path.display().to_string()]);
    let page = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(page.matches("class=\"mark\"").count(), 2);
}
