//! Invalid, unauthenticated and oversized input gets a specific error at once, and the node keeps
//! serving.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_protocol::ProblemBody;
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{Testbed, TestbedOptions};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpStream, UdpSocket};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// UDP port on which the nodes of a testbed receive membership datagrams.
const GOSSIP_PORT: u16 = 7001;
const BODY_LIMIT_BYTES: usize = 4096;
const VALID_BODY: &str = r#"{"model":"fit","messages":[],"stream":false,"max_tokens":3}"#;

/// A raw HTTP request, and the status and the kind of problem that it must get.
struct Case {
    name: &'static str,
    request: String,
    status: u16,
    kind: &'static str,
}

fn case(name: &'static str, request: String, status: u16, kind: &'static str) -> Case {
    Case { name, request, status, kind }
}

/// Builds a request of the testbed's workspace with additional header lines.
fn build_request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-workspace: desk\r\n\
         authorization: Bearer desk-key\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

fn build_chat_request(headers: &str, body: &str) -> String {
    build_request("POST /v1/chat/completions", headers, body)
}

fn invalid_requests() -> Vec<Case> {
    let valid = build_chat_request("", VALID_BODY);
    let long_body = "x".repeat(BODY_LIMIT_BYTES + 1);
    let chunk = format!("{:x}\r\n{long_body}\r\n0\r\n\r\n", long_body.len());
    let chunked =
        build_chat_request("", "").replace("content-length: 0", "transfer-encoding: chunked");
    let booking = "POST /v1/services/bookings/book";
    let request_path = |id: &str| build_request(&format!("GET /v1/requests/{id}"), "", "");
    vec![
        case("no workspace", valid.replace("x-workspace: desk\r\n", ""), 400, "malformed"),
        case("unknown workspace", valid.replace(": desk\r", ": dusk\r"), 401, "unknown-workspace"),
        case("wrong key", valid.replace("desk-key", "desk-kex"), 401, "wrong-key"),
        case("no key", valid.replace("authorization: Bearer desk-key\r\n", ""), 401, "wrong-key"),
        case("no bearer", valid.replace("Bearer ", "Basic "), 401, "wrong-key"),
        case("unknown path", valid.replace("/completions", "/x"), 400, "malformed"),
        case("wrong method", valid.replace("POST", "GET"), 400, "malformed"),
        case("no JSON", build_chat_request("", "{"), 400, "malformed"),
        case("no messages", build_chat_request("", r#"{"model":"fit"}"#), 400, "malformed"),
        case("long body", build_chat_request("", &long_body), 413, "body-too-large"),
        case("long chunk", chunked + &chunk, 413, "body-too-large"),
        case("unknown model", valid.replace("\"fit\"", "\"fat\""), 403, "not-allowed"),
        case("unknown adapter", valid.replace("\"fit\"", "\"f:t\""), 403, "not-allowed"),
        case(
            "unknown class",
            build_chat_request("x-class: vip\r\n", VALID_BODY),
            403,
            "not-allowed",
        ),
        case("unknown service", build_request("POST /v1/services/x/y", "", ""), 403, "not-allowed"),
        case("no key for booking", build_request(booking, "", "{}"), 400, "key-required"),
        case("short request id", request_path("12"), 400, "malformed"),
        case("unknown request", request_path(&"0".repeat(32)), 404, "unknown-request"),
    ]
}

async fn send(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(bytes.as_bytes()).await;
    let mut response = Vec::new();
    let read = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stayed open after {bytes:.80}");
    String::from_utf8_lossy(&response).into_owned()
}

fn parse_status(response: &str) -> Option<u16> {
    response.split(' ').nth(1)?.parse().ok()
}

fn parse_problem(response: &str) -> Option<ProblemBody> {
    serde_json::from_str(response.split("\r\n\r\n").nth(1)?).ok()
}

async fn start_testbed() -> Testbed {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("limits", &format!("body_bytes = {BODY_LIMIT_BYTES}"))
        .with_setting("limits", "header_timeout_ms = 300")
        .with_setting("limits", "body_timeout_ms = 300");
    options.data_centers = 2;
    options.nodes = 2;
    Testbed::start(options).await
}

async fn assert_serving(bed: &Testbed) {
    let stream = bed.open_chat(0, &chat_request("still here", 5), "counter", None).await;
    let outcome = bed.finish(stream.map_err(|refusal| format!("{refusal:?}")).unwrap(), &[1]).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, expected_answer("still here", 5));
}

#[tokio::test]
async fn invalid_requests_refused() {
    let bed = start_testbed().await;
    let address = bed.nodes[0].caller_address;
    for case in invalid_requests() {
        let response = send(address, &case.request).await;
        assert_eq!(parse_status(&response), Some(case.status), "{}: {response}", case.name);
        let problem =
            parse_problem(&response).unwrap_or_else(|| panic!("{}: {response}", case.name));
        assert_eq!(problem.kind, format!("urn:filbertlead:problem:{}", case.kind));
        assert_eq!(problem.status, case.status, "{}", case.name);
    }
    assert_serving(&bed).await;
}

#[tokio::test]
async fn reused_key_refused() {
    let bed = start_testbed().await;
    let address = bed.nodes[0].caller_address;
    let first = send(address, &build_chat_request("idempotency-key: k1\r\n", VALID_BODY)).await;
    assert_eq!(parse_status(&first), Some(200), "{first}");
    let other_body = VALID_BODY.replace(":3", ":4");
    let second = send(address, &build_chat_request("idempotency-key: k1\r\n", &other_body)).await;
    let kind = parse_problem(&second).map(|problem| problem.kind);
    assert_eq!(kind.as_deref(), Some("urn:filbertlead:problem:key-reused"), "{second}");
    let third = send(address, &build_chat_request("idempotency-key: k1\r\n", VALID_BODY)).await;
    assert_eq!(third.split("\r\n\r\n").nth(1), first.split("\r\n\r\n").nth(1));
}

/// The HTTP library rejects a request that is malformed, too long or too slow, or closes the
/// connection.
#[tokio::test]
async fn malformed_http_rejected() {
    let bed = start_testbed().await;
    let address = bed.nodes[0].caller_address;
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(100_000));
    let slow_body = build_chat_request("", VALID_BODY).replace(VALID_BODY, "{");
    for (bytes, allowed) in [
        ("GARBAGE\r\n\r\n", vec![Some(400)]),
        (long_head.as_str(), vec![Some(431), None]),
        ("POST /v1/chat/completions HTTP/1.1\r\nhost:", vec![Some(408), None]),
        (slow_body.as_str(), vec![Some(400)]),
    ] {
        let response = send(address, bytes).await;
        assert!(allowed.contains(&parse_status(&response)), "{bytes:.80}: {response}");
    }
    assert_serving(&bed).await;
}

#[tokio::test]
async fn unauthenticated_peers_counted() {
    let bed = start_testbed().await;
    let node = &bed.nodes[0];
    let response =
        send(node.peer_address, "HELLO, I AM A NODE AND I WANT TO TALK TO YOU, PLEASE").await;
    assert!(response.is_empty(), "{response}");
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let gossip = SocketAddr::new(node.peer_address.ip(), GOSSIP_PORT);
    socket.send_to(b"a datagram without the fleet key", gossip).await.unwrap();
    let counted = ["fl_strangers_refused_total 1", "membership_datagrams_refused 1"];
    let started_at = Instant::now();
    loop {
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let metrics = send(node.admin_address, request).await;
        if counted.iter().all(|line| metrics.contains(line)) {
            break;
        }
        assert!(started_at.elapsed() < RESPONSE_TIMEOUT, "{metrics}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_serving(&bed).await;
}

#[test]
fn invalid_settings_reported() {
    let path = std::env::temp_dir().join(format!("broken-{}.ini", std::process::id()));
    std::fs::write(&path, "[node]\nvm = a b\n[log]\nlevel = loud\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_filbertlead"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{text}");
    assert!(text.contains("[node] vm = a b: expected a name"), "{text}");
    assert!(text.contains("[log] level = loud: expected one of"), "{text}");
}
