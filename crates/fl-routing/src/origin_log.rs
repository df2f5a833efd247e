//! Stores what begins streams, in rows that one node in each data centre writes in batches.
//!
//! A node that has just started reads them, so that the origins outlive all nodes. They are written
//! only while a service has several versions. See `docs/design/120-stream-origins.md`.

use crate::rendezvous::{is_among_highest, rank};
use crate::stream_origins::{OriginHolder, RETENTION, StreamHash, StreamOrigin};
use fl_protocol::UnixMs;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key of rendezvous hashing by which nodes are ranked as writers.
const WRITER_KEY: u64 = 1;
/// Share of the store's writes that all writers use together. The rest of a tenth is for conflicts
/// and for the row of versions.
const WRITES_SHARE: f64 = 0.08;
/// Shortest interval of one writer's rows, which bounds what they cost a small VM.
const INTERVAL_MIN: Duration = Duration::from_millis(50);
/// Streams of one row, so that writing the row again for each batch stays cheap.
const ROW_STREAMS: usize = 64;
/// Streams of one row while no other row is free. Such a row has at most 40 KB.
const ROW_STREAMS_MAX: usize = 1024;
/// Rows of each data centre.
const ROWS: usize = 64;
/// Streams that wait to be written.
const PENDING_MAX: usize = 4096;
/// Form of the rows that this build writes and reads.
const FORMAT: u32 = 1;

/// A stream with what began it and when that was told.
pub type LoggedOrigin = (StreamHash, StreamOrigin, UnixMs);

/// What a node writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriterRole {
    /// Whether it writes the origins of its data centre.
    pub writes_zone: bool,
    /// Whether it rewrites the row of versions although nothing changed.
    pub confirms_versions: bool,
}

/// Returns the index of the node that writes the origins of a data centre, `None` if `own` does.
pub fn zone_writer(own: &OriginHolder, nodes: &[OriginHolder]) -> Option<usize> {
    let in_zone = |index: &usize| nodes[*index].zone == own.zone;
    let highest = (0..nodes.len())
        .filter(in_zone)
        .max_by_key(|index| rank(WRITER_KEY, nodes[*index].name_hash))?;
    let is_higher = rank(WRITER_KEY, nodes[highest].name_hash) > rank(WRITER_KEY, own.name_hash);
    is_higher.then_some(highest)
}

/// Returns what a node writes, given the nodes that it hears.
pub fn writer_role(own: &OriginHolder, heard: &[OriginHolder]) -> WriterRole {
    let hashes: Vec<u64> = heard.iter().map(|node| node.name_hash).collect();
    WriterRole {
        writes_zone: zone_writer(own, heard).is_none(),
        confirms_versions: is_among_highest(WRITER_KEY, own.name_hash, &hashes, 1),
    }
}

/// Returns the interval of one writer's rows, so that all writers keep to their share of the store's
/// writes. Each of the `unheard` nodes may be a writer by its own view.
pub fn write_interval(writes_per_s: f64, zones: usize, unheard: usize) -> Duration {
    let writers = (zones.max(1) + unheard) as f64;
    let rate_per_s = (writes_per_s * WRITES_SHARE).max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(writers / rate_per_s).unwrap_or(RETENTION).max(INTERVAL_MIN)
}

/// The origins of a row as the store holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOrigins {
    format: u32,
    /// Unix time from which the streams' times count, in milliseconds.
    base_ms: UnixMs,
    /// Hashes of service and version.
    origins: Vec<(u64, u64)>,
    /// Stream, index of its origin, time.
    streams: Vec<(StreamHash, usize, u64)>,
}

impl StoredOrigins {
    fn new(logged: &[LoggedOrigin]) -> Self {
        let base_ms = logged.iter().map(|(_, _, at_ms)| *at_ms).min().unwrap_or(0);
        let mut stored = StoredOrigins { format: FORMAT, base_ms, ..StoredOrigins::default() };
        for (stream, origin, at_ms) in logged {
            let origin = (origin.service, origin.software_version);
            let known = stored.origins.iter().position(|known| *known == origin);
            let index = known.unwrap_or_else(|| {
                stored.origins.push(origin);
                stored.origins.len() - 1
            });
            stored.streams.push((*stream, index, at_ms - base_ms));
        }
        stored
    }

    /// Returns the streams of the row; none if it has a form that this build does not know.
    pub fn logged(&self) -> Vec<LoggedOrigin> {
        if self.format != FORMAT {
            return Vec::new();
        }
        let streams = self.streams.iter().filter_map(|(stream, index, after_ms)| {
            let (service, software_version) = *self.origins.get(*index)?;
            let at_ms = self.base_ms.saturating_add(*after_ms);
            Some((*stream, StreamOrigin { service, software_version }, at_ms))
        });
        streams.collect()
    }
}

/// A row that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// Place of the row in its data centre.
    pub row: usize,
    /// Revision that the row is expected to have.
    pub revision: u64,
    /// Contents of the row.
    pub value: StoredOrigins,
}

/// What the writer of a data centre knows of its rows and has yet to write.
#[derive(Debug, Clone)]
pub struct OriginLog {
    rows: Vec<LoggedRow>,
    /// The row that is being filled.
    current: usize,
    /// Streams of the current row that were written.
    written: Vec<LoggedOrigin>,
    pending: Vec<LoggedOrigin>,
    /// How many of the pending streams the row under way holds.
    under_way: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct LoggedRow {
    revision: u64,
    newest_ms: UnixMs,
}

impl Default for OriginLog {
    fn default() -> Self {
        OriginLog {
            rows: vec![LoggedRow::default(); ROWS],
            current: 0,
            written: Vec::new(),
            pending: Vec::new(),
            under_way: 0,
        }
    }
}

impl OriginLog {
    /// Takes over the rows that are in the store: place, revision and streams of each.
    pub fn recover(&mut self, rows: &[(usize, u64, Vec<LoggedOrigin>)], now_ms: UnixMs) {
        for (row, revision, logged) in rows.iter().filter(|(row, ..)| *row < ROWS) {
            let newest_ms = logged.iter().map(|(_, _, at_ms)| *at_ms).max().unwrap_or(0);
            self.rows[*row] = LoggedRow { revision: *revision, newest_ms };
        }
        self.current = self.free_row(now_ms).unwrap_or_else(|| self.oldest_row());
        let filled = rows.iter().find(|(row, ..)| *row == self.current);
        let young = filled.iter().flat_map(|(.., logged)| logged).copied();
        self.written = young.filter(|logged| is_young(logged.2, now_ms)).collect();
        self.under_way = 0;
    }

    /// Adds a stream that has begun. Returns false if too many wait.
    pub fn add(&mut self, logged: LoggedOrigin) -> bool {
        let is_same = |known: &LoggedOrigin| known.0 == logged.0;
        if self.written.iter().chain(&self.pending).any(is_same) {
            return true;
        }
        let has_room = self.pending.len() < PENDING_MAX;
        if has_room {
            self.pending.push(logged);
        }
        has_room
    }

    /// Returns whether streams wait to be written.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets what waits, as another node writes from now on.
    pub fn clear_pending(&mut self) {
        self.pending.clear();
        self.under_way = 0;
    }

    /// Returns the next row to write, `None` if nothing waits.
    pub fn next_write(&mut self, now_ms: UnixMs) -> Option<RowWrite> {
        if self.pending.is_empty() {
            return None;
        }
        if self.written.len() >= ROW_STREAMS {
            self.begin_row(now_ms);
        }
        let room = ROW_STREAMS_MAX.saturating_sub(self.written.len());
        self.under_way = self.pending.len().min(room);
        let mut logged = self.written.clone();
        logged.extend(&self.pending[..self.under_way]);
        let revision = self.rows[self.current].revision;
        Some(RowWrite { row: self.current, revision, value: StoredOrigins::new(&logged) })
    }

    /// Begins another row if one is free, or if this one is full.
    fn begin_row(&mut self, now_ms: UnixMs) {
        let is_full = self.written.len() >= ROW_STREAMS_MAX;
        let free = self.free_row(now_ms).or_else(|| is_full.then(|| self.oldest_row()));
        if let Some(row) = free {
            self.current = row;
            self.written.clear();
        }
    }

    /// Notes that the row under way was written.
    pub fn note_written(&mut self, revision: u64, now_ms: UnixMs) {
        self.written.extend(self.pending.drain(..self.under_way));
        self.under_way = 0;
        self.rows[self.current] = LoggedRow { revision, newest_ms: now_ms };
    }

    /// Notes that another node has written the row under way: its streams stay in it.
    pub fn note_conflict(&mut self, revision: u64, logged: &[LoggedOrigin], now_ms: UnixMs) {
        self.rows[self.current].revision = revision;
        self.under_way = 0;
        for (stream, origin, at_ms) in logged.iter().filter(|logged| is_young(logged.2, now_ms)) {
            self.pending.retain(|known| known.0 != *stream);
            if !self.written.iter().any(|known| known.0 == *stream) {
                self.written.push((*stream, *origin, *at_ms));
            }
        }
    }

    fn free_row(&self, now_ms: UnixMs) -> Option<usize> {
        self.rows.iter().position(|row| !is_young(row.newest_ms, now_ms))
    }

    fn oldest_row(&self) -> usize {
        (0..ROWS).min_by_key(|row| self.rows[*row].newest_ms).unwrap_or(0)
    }
}

fn is_young(at_ms: UnixMs, now_ms: UnixMs) -> bool {
    now_ms.saturating_sub(at_ms) < RETENTION.as_millis() as UnixMs
}
