//! Reports reach every peer in time over a link that is slow and whose queue is short.

use fl_routing::report_rounds::ReportRounds;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

/// Link of a small VM, in bytes per second: 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// Bytes that wait for the link before datagrams are lost.
const QUEUE_BYTES_MAX: f64 = 64_000.0;
const REPORT_BYTES: f64 = 3_000.0;
const RUN_TIME: Duration = Duration::from_secs(30);
/// Scheduling delays may stretch a step by this much.
const SLACK: Duration = Duration::from_millis(5);
/// Time within which each peer has to be sent an urgent report, for each peer and once.
const URGENT_PER_PEER: Duration = Duration::from_millis(2);
const URGENT_ONCE: Duration = Duration::from_millis(20);

struct Link {
    queued_bytes: f64,
    now: Duration,
}

impl Link {
    /// Sends a datagram; returns whether the queue had room for it.
    fn send(&mut self, now: Duration) -> bool {
        let drained = (now - self.now).as_secs_f64() * LINK_BYTES_PER_S;
        self.queued_bytes = (self.queued_bytes - drained).max(0.0);
        self.now = now;
        if self.queued_bytes + REPORT_BYTES > QUEUE_BYTES_MAX {
            return false;
        }
        self.queued_bytes += REPORT_BYTES;
        true
    }
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    let address =
        |index: usize| SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 7500));
    (0..count).map(address).collect()
}

/// Returns the longest time for which each peer got no report.
fn longest_silences(peers: &[SocketAddr], rounds: &mut ReportRounds) -> Vec<Duration> {
    let mut link = Link { queued_bytes: 0.0, now: Duration::ZERO };
    let mut last = vec![Duration::ZERO; peers.len()];
    let mut longest = vec![Duration::ZERO; peers.len()];
    let mut now = Duration::ZERO;
    while now < RUN_TIME {
        for receiver in rounds.next_receivers(peers) {
            let index = peers.binary_search(&receiver).unwrap_or_default();
            if link.send(now) {
                longest[index] = longest[index].max(now - last[index]);
                last[index] = now;
            }
        }
        now += rounds.pauses().0;
    }
    (0..peers.len()).map(|index| longest[index].max(now - last[index])).collect()
}

/// Guards against sending a report to all peers at once: the queue of a slow link then loses those
/// to the last ones, each time, so these peers take the node for silent.
#[rstest]
fn every_peer_hears_in_time(#[values(5, 60, 77, 339)] peers: usize) {
    let peers = addresses(peers);
    let longest = longest_silences(&peers, &mut ReportRounds::default());
    let interval = ReportRounds::interval(peers.len());
    let late = longest.iter().filter(|silence| **silence > interval * 2 + SLACK).count();
    assert_eq!(late, 0, "{late} of {} peers heard nothing for two intervals", peers.len());
}

/// An urgent report reaches every peer sooner than a usual one.
#[rstest]
fn urgent_report_sent_soon(#[values(5, 60, 77, 339)] peers: usize) {
    let peers = addresses(peers);
    let mut rounds = ReportRounds::default();
    rounds.next_receivers(&peers);
    rounds.hurry(peers.len());
    let mut unsent = peers.clone();
    let mut now = rounds.pauses().1;
    while !unsent.is_empty() && now < RUN_TIME {
        let receivers = rounds.next_receivers(&peers);
        unsent.retain(|peer| !receivers.contains(peer));
        now += rounds.pauses().0;
    }
    assert!(unsent.is_empty());
    let sent_by = now.saturating_sub(rounds.pauses().0);
    let limit = URGENT_ONCE + URGENT_PER_PEER * peers.len() as u32;
    assert!(sent_by <= limit, "sent after {sent_by:?}, {limit:?} allowed");
}
