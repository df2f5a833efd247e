//! Crowds of clients that take memory or connections of a node of the own interface and do not go on.

use fl_adapter_standin::crowd::{Crowd, CrowdScript};
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{NodeProcess, Testbed, TestbedOptions};
use rstest::rstest;
use std::time::Duration;
use tokio::sync::Mutex;

/// One crowd at a time, since each takes memory and connections of the machine.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

/// What the settings say of the VM.
const MEMORY_MB: u64 = 120;
const FILE_DESCRIPTORS: usize = 1000;
const BODY_BYTES: usize = 1024 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;
/// Clients that send bodies.
const SENDERS: usize = 200;
/// Clients that need connections alone.
const HOLDERS: usize = 1100;
/// How long a crowd may send until the others get their turn.
const SENDING_TIME: Duration = Duration::from_secs(10);
/// Interval at which is looked at what the node takes.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// How often that is looked at once everything is sent.
const WATCH_SAMPLES: usize = 80;

fn chunked(piece: Vec<u8>, pieces: usize, pause: Duration) -> CrowdScript {
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-workspace: desk\r\n\
                authorization: Bearer desk-key\r\ntransfer-encoding: chunked\r\n\r\n";
    CrowdScript { head: head.as_bytes().to_vec(), piece, pieces, pause }
}

fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into_bytes()
}

fn large_chunks() -> CrowdScript {
    chunked(chunk(CHUNK_BYTES), BODY_BYTES / CHUNK_BYTES - 1, Duration::ZERO)
}

/// Chunks of one byte, of which each is a packet of its own.
fn single_chunks() -> CrowdScript {
    chunked(chunk(1), 150, Duration::from_millis(20))
}

/// The most that the node took while the crowd was there.
#[derive(Debug, Default)]
struct Peak {
    memory_bytes: u64,
    descriptors: usize,
}

impl Peak {
    fn note(&mut self, node: &NodeProcess) {
        let folder = format!("/proc/{}/fd", node.pid());
        let descriptors = std::fs::read_dir(folder).map_or(0, Iterator::count);
        self.memory_bytes = self.memory_bytes.max(node.memory_bytes());
        self.descriptors = self.descriptors.max(descriptors);
    }
}

/// Guards against bodies and connections of the own interface that are kept without a common bound.
#[rstest]
#[case::large_chunks(large_chunks(), SENDERS)]
#[case::single_chunks(single_chunks(), SENDERS)]
#[case::idle(CrowdScript::default(), HOLDERS)]
#[tokio::test]
async fn unfinished_requests(#[case] script: CrowdScript, #[case] clients: usize) {
    let _one = ONE_CROWD.lock().await;
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
        .with_setting("limits", &format!("body_bytes = {BODY_BYTES}"))
        .with_setting("limits", &format!("memory_mb = {MEMORY_MB}"))
        .with_setting("limits", &format!("file_descriptors = {FILE_DESCRIPTORS}"))
        .with_setting("limits", "header_timeout_ms = 60000")
        .with_setting("limits", "body_timeout_ms = 60000");
    (options.data_centers, options.nodes) = (2, 2);
    let bed = Testbed::start(options).await;
    let node = &bed.nodes[0];
    let mut crowd = Crowd::start(node.caller_address, clients, &[script]);
    let mut peak = Peak::default();
    let sent = crowd.send(SENDING_TIME).await;
    for _ in 0..WATCH_SAMPLES {
        assert!(!node.has_exited(), "the process ended");
        peak.note(node);
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
    println!("{sent} clients sent everything; {peak:?}");
    let stream = bed.open_chat(0, &chat_request("still here", 5), "counter", None).await;
    let stream = stream.map_err(|refusal| format!("{refusal:?}"));
    let outcome = bed.finish(stream.expect("the call is accepted"), &[1]).await;
    assert_eq!(outcome.text, expected_answer("still here", 5));
    drop(crowd);
    assert!(peak.memory_bytes <= MEMORY_MB * 1_000_000, "{peak:?}");
    assert!(peak.descriptors <= FILE_DESCRIPTORS, "{peak:?}");
}
