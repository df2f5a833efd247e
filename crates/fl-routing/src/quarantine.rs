//! Tracks request contents that are suspected of crashing the servers that run them. A content is
//! identified by its fingerprint.
//!
//! A content that was in flight on a server that died without notice becomes a suspect, and only
//! one request runs it at a time, apart from other suspects. A content that was in flight on a
//! second server that died is quarantined: it is not run again. See
//! `docs/design/045-crashing-requests.md`.

use fl_protocol::{Fingerprint, RequestId, UnixMs, VmName};

/// Number of server deaths with a content in flight after which the content is quarantined.
const DEATHS_TO_QUARANTINE: u32 = 2;
/// Number of servers from which deaths within [`MASS_FAILURE_WINDOW_MS`] count as a mass failure,
/// which is no evidence against any content.
const MASS_FAILURE_SERVERS: usize = 3;
/// Time within which server deaths count as one mass failure, in milliseconds.
const MASS_FAILURE_WINDOW_MS: u64 = 5_000;
/// Time for which one request runs a suspect content alone, in milliseconds.
const PROBE_MS: u64 = 10_000;
/// Time after a change of status during which suspects run only on the runners that are assigned to
/// their node, in milliseconds.
const SEPARATION_MS: u64 = 3_000;
/// Time after which the status of a content is forgotten, in milliseconds.
const RETENTION_MS: u64 = 3_600_000;

/// Status of a content, in increasing order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuarantineStatus {
    /// The content is not under suspicion.
    Clear,
    /// The content was in flight on a server that died without notice.
    Suspect,
    /// The content was in flight on two servers that died, and is not run again.
    Quarantined,
}

/// A content whose status changed, with its new status.
pub type StatusChange = (Fingerprint, QuarantineStatus);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    fingerprint: Fingerprint,
    deaths: u32,
    changed_at_ms: UnixMs,
    probe: Option<Probe>,
}

/// The one request that currently runs a suspect content.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Probe {
    id: RequestId,
    /// Time until which other requests with the same content wait for this one.
    until_ms: UnixMs,
    /// Runner of the request, which other suspects avoid; empty before one is chosen.
    runner: VmName,
}

/// The contents under suspicion and in quarantine, and the recent server deaths.
#[derive(Debug, Clone)]
pub struct QuarantineTable {
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
    recent_deaths: Vec<(UnixMs, VmName)>,
    limit: usize,
}

impl QuarantineTable {
    /// Creates a table that holds at most `limit` contents.
    ///
    /// A full table drops the oldest suspect, or the oldest quarantined content if it holds no
    /// suspects.
    pub fn new(limit: usize) -> Self {
        QuarantineTable { entries: Vec::new(), recent_deaths: Vec::new(), limit: limit.max(1) }
    }

    /// Returns the status of a content; one that is not in the table is clear.
    pub fn status(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> QuarantineStatus {
        match self.find(fingerprint) {
            Some(entry) if now_ms < entry.changed_at_ms + RETENTION_MS => entry.status(),
            _ => QuarantineStatus::Clear,
        }
    }

    /// Records that a server died, and returns the contents whose status changed.
    ///
    /// The death is no evidence if the server had been announced to leave, or if so many servers
    /// died shortly before that it belongs to a mass failure.
    pub fn record_server_death(
        &mut self,
        server: &VmName,
        was_leaving: bool,
        in_flight: &[Fingerprint],
        now_ms: UnixMs,
    ) -> Vec<StatusChange> {
        if was_leaving || self.is_mass_failure(server, now_ms) {
            return Vec::new();
        }
        let mut contents = in_flight.to_vec();
        contents.sort_unstable();
        contents.dedup();
        contents.retain(|fingerprint| self.count_death(*fingerprint, now_ms));
        let with_status = |fingerprint| (fingerprint, self.status(fingerprint, now_ms));
        contents.into_iter().map(with_status).collect()
    }

    /// Records that a request with a content succeeded. Returns whether this cleared a suspect.
    pub fn record_success(&mut self, fingerprint: Fingerprint) -> bool {
        match self.find_index(fingerprint) {
            Ok(index) if self.entries[index].status() == QuarantineStatus::Suspect => {
                self.entries.remove(index);
                true
            }
            _ => false,
        }
    }

    /// Applies a status that a peer reported. Returns whether it changed the status in this table.
    ///
    /// Requests with a content that a peer suspects wait here for as long as the peer's own probe
    /// may run, so that two nodes do not run the content at once.
    pub fn apply_peer_status(
        &mut self,
        fingerprint: Fingerprint,
        quarantined: bool,
        now_ms: UnixMs,
    ) -> bool {
        let deaths = if quarantined { DEATHS_TO_QUARANTINE } else { 1 };
        let entry = self.entry_mut(fingerprint, now_ms);
        if entry.deaths >= deaths {
            return false;
        }
        entry.deaths = deaths;
        entry.changed_at_ms = now_ms;
        entry.probe = Some(Probe::new(RequestId::MAX, now_ms));
        true
    }

    /// Returns whether a request may run its content now. A request that may run a suspect content
    /// becomes the content's probe.
    ///
    /// Requests with the same suspect content run one after the other, so that a content that
    /// crashes servers reaches only one server at a time.
    pub fn try_start(&mut self, fingerprint: Fingerprint, id: RequestId, now_ms: UnixMs) -> bool {
        match self.status(fingerprint, now_ms) {
            QuarantineStatus::Clear => return true,
            QuarantineStatus::Quarantined => return false,
            QuarantineStatus::Suspect => {}
        }
        let entry = self.entry_mut(fingerprint, now_ms);
        match &entry.probe {
            Some(probe) if probe.id != id && now_ms < probe.until_ms => false,
            _ => {
                entry.probe = Some(Probe::new(id, now_ms));
                true
            }
        }
    }

    /// Records the runner on which the probe of a suspect content runs.
    pub fn set_probe_runner(&mut self, fingerprint: Fingerprint, runner: &VmName) {
        let Ok(index) = self.find_index(fingerprint) else {
            return;
        };
        if let Some(probe) = &mut self.entries[index].probe {
            probe.runner.clone_from(runner);
        }
    }

    /// Returns the runners on which this node probes other suspect contents, sorted by name.
    pub fn other_probe_runners(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> Vec<VmName> {
        let others = self.entries.iter().filter(|entry| entry.fingerprint != fingerprint);
        let probes = others.filter_map(|entry| entry.probe.as_ref());
        let running = probes.filter(|probe| now_ms < probe.until_ms && !probe.runner.is_empty());
        let mut runners: Vec<VmName> = running.map(|probe| probe.runner.clone()).collect();
        runners.sort();
        runners
    }

    /// Returns whether the status of a content changed so recently that other nodes may be probing
    /// the contents that were in flight at the same server death.
    pub fn changed_recently(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> bool {
        self.find(fingerprint).is_some_and(|entry| now_ms < entry.changed_at_ms + SEPARATION_MS)
    }

    /// Returns the number of contents in the table, suspect or quarantined.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no contents.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts a server death against a content. Returns `false` if the content was quarantined
    /// before.
    fn count_death(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) -> bool {
        let entry = self.entry_mut(fingerprint, now_ms);
        if entry.deaths >= DEATHS_TO_QUARANTINE {
            return false;
        }
        entry.deaths += 1;
        entry.changed_at_ms = now_ms;
        entry.probe = None;
        true
    }

    fn is_mass_failure(&mut self, server: &VmName, now_ms: UnixMs) -> bool {
        self.recent_deaths.retain(|(died_at_ms, _)| now_ms < died_at_ms + MASS_FAILURE_WINDOW_MS);
        if !self.recent_deaths.iter().any(|(_, died)| died == server) {
            self.recent_deaths.push((now_ms, server.clone()));
        }
        self.recent_deaths.len() >= MASS_FAILURE_SERVERS
    }

    fn find(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        self.find_index(fingerprint).ok().map(|index| &self.entries[index])
    }

    fn find_index(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    /// Returns the entry of a content, and inserts one if there is none or it has expired.
    fn entry_mut(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) -> &mut Entry {
        self.entries.retain(|entry| now_ms < entry.changed_at_ms + RETENTION_MS);
        if self.find_index(fingerprint).is_err() && self.entries.len() >= self.limit {
            self.remove_oldest();
        }
        let index = match self.find_index(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Entry::new(fingerprint, now_ms));
                index
            }
        };
        &mut self.entries[index]
    }

    /// Removes the oldest entry with the lowest status: a suspect rather than a quarantined
    /// content.
    fn remove_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .min_by_key(|(_, entry)| (entry.status(), entry.changed_at_ms))
            .map(|(index, _)| index);
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }
}

impl Probe {
    fn new(id: RequestId, now_ms: UnixMs) -> Self {
        Probe { id, until_ms: now_ms + PROBE_MS, runner: VmName::new() }
    }
}

impl Entry {
    fn new(fingerprint: Fingerprint, now_ms: UnixMs) -> Self {
        Entry { fingerprint, deaths: 0, changed_at_ms: now_ms, probe: None }
    }

    fn status(&self) -> QuarantineStatus {
        match self.deaths {
            0 => QuarantineStatus::Clear,
            deaths if deaths < DEATHS_TO_QUARANTINE => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }
}

/// Returns the runners that are reserved for the suspects of other nodes, sorted by name.
///
/// `nodes` and `runners` must be sorted. Each runner is assigned to one node, and all nodes compute
/// the same assignment, so that the suspects of two nodes never share a runner and a second server
/// death counts against one content only. If there are fewer runners than nodes, a node without a
/// runner may use all of them.
pub fn runners_reserved_for_others(own: &str, nodes: &[VmName], runners: &[VmName]) -> Vec<VmName> {
    let position = nodes.iter().position(|node| node == own);
    let Some(position) = position.filter(|position| *position < runners.len()) else {
        return Vec::new();
    };
    let numbered = runners.iter().enumerate();
    let of_others = numbered.filter(|(index, _)| index % nodes.len() != position);
    of_others.map(|(_, runner)| runner.clone()).collect()
}
