//! Remembers which software version of which service began a stream.
//!
//! What two versions write in one stream does not fit together, so a stream goes on only at the
//! version that began it. A caller takes a stream up at any node, which therefore has to find out.
//! See `docs/design/100-on-the-platform.md`.

use crate::rendezvous::highest_ranked;
use fl_protocol::forward::ServerEntry;
use fl_protocol::{DataCenterName, ServiceName, hash64};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Hash of the id of the caller's attempt that received the first event of a stream.
pub type StreamHash = u64;

/// How long an origin is remembered: longer than callers wait for a stream over all their attempts.
const RETENTION: Duration = Duration::from_secs(30);
/// Nodes of each data centre that are told of a stream.
const HOLDERS_PER_ZONE: usize = 1;
/// Nodes of each data centre that are asked for a stream. The node that told the others may be the
/// one with the highest rank.
const ASKED_PER_ZONE: usize = 2;

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

/// The software versions of each service that a node saw in the registry, with the last time.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    /// Sorted by service and version.
    seen: Vec<(ServiceName, String, Duration)>,
    /// When the first list was read.
    begun_at: Option<Duration>,
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
pub fn asked_nodes(stream: StreamHash, nodes: &[OriginHolder]) -> Vec<usize> {
    highest_in_each_zone(stream, nodes, ASKED_PER_ZONE)
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

    fn new(service: &str, software_version: &str) -> Self {
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
            Ok(index) if is_remembered(self.entries[index].2, now) => self.entries[index].2 = now,
            Ok(index) => self.entries[index] = (stream, origin, now),
            Err(index) => self.entries.insert(index, (stream, origin, now)),
        }
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

fn is_remembered(recorded_at: Duration, now: Duration) -> bool {
    now.saturating_sub(recorded_at) < RETENTION
}

impl VersionHistory {
    /// Notes the versions of a list of servers.
    pub fn note_list(&mut self, servers: &[ServerEntry], now: Duration) {
        self.begun_at.get_or_insert(now);
        for server in servers {
            let key = (server.service.as_str(), server.software_version.as_str());
            let found = self.seen.binary_search_by(|(service, version, _)| {
                (service.as_str(), version.as_str()).cmp(&key)
            });
            match found {
                Ok(index) => self.seen[index].2 = now,
                Err(index) => {
                    let (service, version) = (key.0.to_string(), key.1.to_string());
                    self.seen.insert(index, (service, version, now));
                }
            }
        }
        self.seen.retain(|(_, _, seen_at)| is_remembered(*seen_at, now));
    }

    /// Returns the origin of all streams of a service, if it had one software version alone for as
    /// long as streams last.
    pub fn only_origin(&self, service: &str, now: Duration) -> Option<StreamOrigin> {
        let is_long = self.begun_at.is_some_and(|begun_at| !is_remembered(begun_at, now));
        let mut versions = self.seen.iter().filter(|(known, ..)| known == service);
        let (_, version, _) = versions.next().filter(|_| is_long)?;
        versions.next().is_none().then(|| StreamOrigin::new(service, version))
    }
}
