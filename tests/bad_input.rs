//! Bad input gets its clear error at once, and the node goes on.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_protocol::ProblemBody;
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{Testbed, TestbedOptions};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpStream, UdpSocket};

const GUARD: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);
/// The testbed's gossip port.
const GOSSIP_PORT: u16 = 7001;
const BODY_LIMIT_BYTES: usize = 4096;
const GOOD_BODY: &str = r#"{"model":"fit","messages":[],"stream":false,"max_tokens":3}"#;

/// A request as bytes, and the answer that it must get.
struct Case {
    name: &'static str,
    request: String,
    status: u16,
    kind: &'static str,
}

fn case(name: &'static str, request: String, status: u16, kind: &'static str) -> Case {
    Case { name, request, status, kind }
}

/// A request of the testbed's workspace with more header lines.
fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-workspace: desk\r\n\
         authorization: Bearer desk-key\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

fn chat_call(headers: &str, body: &str) -> String {
    request("POST /v1/chat/completions", headers, body)
}

fn cases() -> Vec<Case> {
    let good = chat_call("", GOOD_BODY);
    let long_body = "x".repeat(BODY_LIMIT_BYTES + 1);
    let chunk = format!("{:x}\r\n{long_body}\r\n0\r\n\r\n", long_body.len());
    let chunked = chat_call("", "").replace("content-length: 0", "transfer-encoding: chunked");
    let booking = "POST /v1/services/bookings/book";
    let request_path = |id: &str| request(&format!("GET /v1/requests/{id}"), "", "");
    vec![
        case("no workspace", good.replace("x-workspace: desk\r\n", ""), 400, "malformed"),
        case("unknown workspace", good.replace(": desk\r", ": dusk\r"), 401, "unknown-workspace"),
        case("wrong key", good.replace("desk-key", "desk-kex"), 401, "wrong-key"),
        case("no key", good.replace("authorization: Bearer desk-key\r\n", ""), 401, "wrong-key"),
        case("no bearer", good.replace("Bearer ", "Basic "), 401, "wrong-key"),
        case("unknown path", good.replace("/completions", "/x"), 400, "malformed"),
        case("wrong method", good.replace("POST", "GET"), 400, "malformed"),
        case("no JSON", chat_call("", "{"), 400, "malformed"),
        case("no messages", chat_call("", r#"{"model":"fit"}"#), 400, "malformed"),
        case("long body", chat_call("", &long_body), 413, "body-too-large"),
        case("long chunk", chunked + &chunk, 413, "body-too-large"),
        case("unknown model", good.replace("\"fit\"", "\"fat\""), 403, "not-allowed"),
        case("unknown adapter", good.replace("\"fit\"", "\"f:t\""), 403, "not-allowed"),
        case("unknown class", chat_call("x-class: vip\r\n", GOOD_BODY), 403, "not-allowed"),
        case("unknown service", request("POST /v1/services/x/y", "", ""), 403, "not-allowed"),
        case("no key for booking", request(booking, "", "{}"), 400, "key-required"),
        case("short request id", request_path("12"), 400, "malformed"),
        case("unknown request", request_path(&"0".repeat(32)), 404, "unknown-request"),
    ]
}

async fn send(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The node may close before it has read everything.
    let _ = stream.write_all(bytes.as_bytes()).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(GUARD, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection stayed open after {bytes:.80}");
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

fn problem(answer: &str) -> Option<ProblemBody> {
    serde_json::from_str(answer.split("\r\n\r\n").nth(1)?).ok()
}

async fn start() -> Testbed {
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
async fn refused_clearly() {
    let bed = start().await;
    let address = bed.nodes[0].caller_address;
    for case in cases() {
        let answer = send(address, &case.request).await;
        assert_eq!(status(&answer), Some(case.status), "{}: {answer}", case.name);
        let problem = problem(&answer).unwrap_or_else(|| panic!("{}: {answer}", case.name));
        assert_eq!(problem.kind, format!("urn:filbertlead:problem:{}", case.kind));
        assert_eq!(problem.status, case.status, "{}", case.name);
    }
    assert_serving(&bed).await;
}

#[tokio::test]
async fn key_reused() {
    let bed = start().await;
    let address = bed.nodes[0].caller_address;
    let first = send(address, &chat_call("idempotency-key: k1\r\n", GOOD_BODY)).await;
    assert_eq!(status(&first), Some(200), "{first}");
    let other_body = GOOD_BODY.replace(":3", ":4");
    let second = send(address, &chat_call("idempotency-key: k1\r\n", &other_body)).await;
    let kind = problem(&second).map(|problem| problem.kind);
    assert_eq!(kind.as_deref(), Some("urn:filbertlead:problem:key-reused"), "{second}");
    let third = send(address, &chat_call("idempotency-key: k1\r\n", GOOD_BODY)).await;
    assert_eq!(third.split("\r\n\r\n").nth(1), first.split("\r\n\r\n").nth(1));
}

/// What is not HTTP, too long or too slow is answered by the HTTP library, or cut.
#[tokio::test]
async fn broken_http() {
    let bed = start().await;
    let address = bed.nodes[0].caller_address;
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(100_000));
    let slow_body = chat_call("", GOOD_BODY).replace(GOOD_BODY, "{");
    for (bytes, allowed) in [
        ("GARBAGE\r\n\r\n", vec![Some(400)]),
        (long_head.as_str(), vec![Some(431), None]),
        ("POST /v1/chat/completions HTTP/1.1\r\nhost:", vec![Some(408), None]),
        (slow_body.as_str(), vec![Some(400)]),
    ] {
        let answer = send(address, bytes).await;
        assert!(allowed.contains(&status(&answer)), "{bytes:.80}: {answer}");
    }
    assert_serving(&bed).await;
}

#[tokio::test]
async fn strangers_counted() {
    let bed = start().await;
    let node = &bed.nodes[0];
    let answer =
        send(node.peer_address, "HELLO, I AM A NODE AND I WANT TO TALK TO YOU, PLEASE").await;
    assert!(answer.is_empty(), "{answer}");
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let gossip = SocketAddr::new(node.peer_address.ip(), GOSSIP_PORT);
    socket.send_to(b"a datagram without the fleet key", gossip).await.unwrap();
    let counted = ["fl_strangers_refused_total 1", "membership_datagrams_refused 1"];
    let begun = Instant::now();
    loop {
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let metrics = send(node.admin_address, request).await;
        if counted.iter().all(|line| metrics.contains(line)) {
            break;
        }
        assert!(begun.elapsed() < GUARD, "{metrics}");
        tokio::time::sleep(POLL).await;
    }
    assert_serving(&bed).await;
}

#[test]
fn broken_settings() {
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
