//! Remembers which software version of which service began a stream.
//!
//! What two versions write in one stream does not fit together, so a stream goes on only at the
//! version that began it. A caller takes a stream up at any node, which therefore has to find out.
//! See `docs/design/100-on-the-platform.md`.

use crate::rendezvous::highest_ranked;
use fl_protocol::forward::ServerEntry;
use fl_protocol::{DataCenterName, hash64};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Hash of the id of the caller's attempt that received the first event of a stream.
pub type StreamHash = u64;

/// How long an origin is remembered: longer than callers wait for a stream over all their attempts.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Nodes of each data centre that are told of a stream.
const HOLDERS_PER_ZONE: usize = 1;
/// Nodes of each data centre that are asked for a stream. The node that told the others may be the
/// one with the highest rank.
const QUERIED_PER_ZONE: usize = 2;

/// The service and the software version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the software version.
    pub software_version: u64,
}

/// A node that may remember origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginHolder {
    /// Data centre of the node.
    pub zone: DataCenterName,
    /// Hash by which the node is ranked.
    pub name_hash: u64,
}

/// The origins that a node remembers, sorted by stream.
#[derive(Debug, Clone)]
pub struct StreamOrigins {
    entries: Vec<(StreamHash, StreamOrigin, Duration)>,
    entries_max: usize,
}

/// Returns the hash of an attempt's id.
pub fn stream_hash(attempt: &str) -> StreamHash {
    hash64(&[attempt.as_bytes()])
}

/// Returns the indexes of the nodes that are told of a stream: in each data centre the one with the
/// highest rank.
pub fn holders(stream: StreamHash, nodes: &[OriginHolder]) -> Vec<usize> {
    highest_in_each_zone(stream, nodes, HOLDERS_PER_ZONE)
}

/// Returns the indexes of the nodes that are asked for a stream.
pub fn queried_nodes(stream: StreamHash, nodes: &[OriginHolder]) -> Vec<usize> {
    highest_in_each_zone(stream, nodes, QUERIED_PER_ZONE)
}

fn highest_in_each_zone(stream: StreamHash, nodes: &[OriginHolder], count: usize) -> Vec<usize> {
    let mut zones: Vec<&DataCenterName> = nodes.iter().map(|node| &node.zone).collect();
    zones.sort();
    zones.dedup();
    let in_zone = |zone: &DataCenterName| -> Vec<usize> {
        let indexes: Vec<usize> =
            (0..nodes.len()).filter(|index| nodes[*index].zone == *zone).collect();
        let hashes: Vec<u64> = indexes.iter().map(|index| nodes[*index].name_hash).collect();
        let highest = highest_ranked(stream, &hashes, count);
        highest.into_iter().map(|place| indexes[place]).collect()
    };
    zones.into_iter().flat_map(in_zone).collect()
}

impl StreamOrigin {
    /// Returns the origin of streams that a server begins.
    pub fn of(server: &ServerEntry) -> Self {
        StreamOrigin::new(&server.service, &server.software_version)
    }

    /// Returns the origin of streams that a version of a service begins.
    pub fn new(service: &str, software_version: &str) -> Self {
        StreamOrigin {
            service: hash64(&[service.as_bytes()]),
            software_version: hash64(&[software_version.as_bytes()]),
        }
    }

    /// Returns whether the stream was begun by a service.
    pub fn is_of_service(&self, service: &str) -> bool {
        self.service == hash64(&[service.as_bytes()])
    }
}

impl StreamOrigins {
    /// Creates an empty set that remembers at most `entries_max` origins.
    pub fn new(entries_max: usize) -> Self {
        StreamOrigins { entries: Vec::new(), entries_max: entries_max.max(1) }
    }

    /// Records what began a stream. What is recorded first stays.
    pub fn record(&mut self, stream: StreamHash, origin: StreamOrigin, now: Duration) {
        match self.entries.binary_search_by_key(&stream, |(known, ..)| *known) {
            Ok(index) if is_remembered(self.entries[index].2, now) => {
                self.entries[index].2 = now.max(self.entries[index].2);
            }
            Ok(index) => self.entries[index] = (stream, origin, now),
            Err(index) => self.entries.insert(index, (stream, origin, now)),
        }
        if self.entries.len() > self.entries_max {
            self.forget(now);
        }
    }

    /// Records what began many streams, each with the time at which it was recorded before. What was
    /// recorded first stays.
    pub fn record_all(
        &mut self,
        recorded: impl IntoIterator<Item = (StreamHash, StreamOrigin, Duration)>,
        now: Duration,
    ) {
        self.entries.extend(recorded);
        self.entries.retain(|(_, _, recorded_at)| is_remembered(*recorded_at, now));
        self.entries.sort_by_key(|(stream, _, recorded_at)| (*stream, *recorded_at));
        self.entries.dedup_by_key(|(stream, ..)| *stream);
        if self.entries.len() > self.entries_max {
            self.forget(now);
        }
    }

    /// Returns what began a stream, `None` if that is not known.
    pub fn find(&self, stream: StreamHash, now: Duration) -> Option<StreamOrigin> {
        let index = self.entries.binary_search_by_key(&stream, |(known, ..)| *known).ok()?;
        let (_, origin, recorded_at) = self.entries[index];
        is_remembered(recorded_at, now).then_some(origin)
    }

    /// Forgets what is too old, and the older half of the rest if that is still too much.
    fn forget(&mut self, now: Duration) {
        self.entries.retain(|(_, _, recorded_at)| is_remembered(*recorded_at, now));
        if self.entries.len() <= self.entries_max {
            return;
        }
        let mut times: Vec<Duration> = self.entries.iter().map(|(_, _, at)| *at).collect();
        let (_, median, _) = times.select_nth_unstable(self.entries.len() / 2);
        let median = *median;
        self.entries.retain(|(_, _, recorded_at)| *recorded_at > median);
    }
}

/// Returns whether what was recorded at a time is remembered.
pub(crate) fn is_remembered(recorded_at: Duration, now: Duration) -> bool {
    now.saturating_sub(recorded_at) < RETENTION
}
