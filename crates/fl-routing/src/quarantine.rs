//! Which request contents are suspected of making servers die.
//!
//! A content that was in flight on a server that died without notice becomes a suspect and runs
//! apart from others; a second death with it quarantines it. See
//! `docs/design/045-crashing-requests.md`.

use fl_protocol::{Fingerprint, RequestId, UnixMs, VmName};

/// Deaths with a content after which it is not run again.
const DEATHS_TO_QUARANTINE: u32 = 2;
/// Number of servers dying within [`MASS_FAILURE_WINDOW_MS`] from which the deaths count as a mass
/// failure, which is no evidence against any content.
const MASS_FAILURE_SERVERS: usize = 3;
/// Time within which deaths count as one wave, in milliseconds.
const MASS_FAILURE_WINDOW_MS: u64 = 5_000;
/// Time for which one request probes a suspect content alone, in milliseconds.
const PROBE_MS: u64 = 10_000;
/// Time for which suspects keep to the runners of their own node, in milliseconds.
const APART_MS: u64 = 3_000;
/// Time after which a judgement is forgotten, in milliseconds.
const MEMORY_MS: u64 = 3_600_000;

/// What is known of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuarantineStatus {
    /// Nothing against it.
    Clear,
    /// It was in flight on a server that died.
    Suspect,
    /// Two servers died with it.
    Quarantined,
}

/// A content whose judgement changed.
pub type StatusChange = (Fingerprint, QuarantineStatus);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    fingerprint: Fingerprint,
    deaths: u32,
    changed_at_ms: UnixMs,
    probe: Option<Probe>,
}

/// The one request that runs a suspect content.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Probe {
    id: RequestId,
    /// Until when requests with the same content wait for it.
    until_ms: UnixMs,
    /// Its runner, which other suspects keep away from; empty before it has one.
    runner: VmName,
}

/// The contents under suspicion, sorted by fingerprint, and the deaths of late.
#[derive(Debug, Clone)]
pub struct QuarantineTable {
    entries: Vec<Entry>,
    recent_deaths: Vec<(UnixMs, VmName)>,
    limit: usize,
}

impl QuarantineTable {
    /// Keeps judgements on `limit` contents at most; the oldest are forgotten first.
    pub fn new(limit: usize) -> Self {
        QuarantineTable { entries: Vec::new(), recent_deaths: Vec::new(), limit: limit.max(1) }
    }

    /// What is known of a content.
    pub fn status(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> QuarantineStatus {
        match self.find(fingerprint) {
            Some(entry) if now_ms < entry.changed_at_ms + MEMORY_MS => entry.status(),
            _ => QuarantineStatus::Clear,
        }
    }

    /// Takes word that a server died without notice, and gives the judgements that changed.
    ///
    /// A server that was announced to leave, and the later servers of a wave, are no evidence.
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
        let judged = |fingerprint| (fingerprint, self.status(fingerprint, now_ms));
        contents.into_iter().map(judged).collect()
    }

    /// Takes word that a content ended well; true if it was a suspect and is clear now.
    pub fn record_success(&mut self, fingerprint: Fingerprint) -> bool {
        match self.index(fingerprint) {
            Ok(index) if self.entries[index].status() == QuarantineStatus::Suspect => {
                self.entries.remove(index);
                true
            }
            _ => false,
        }
    }

    /// Takes a peer's judgement; true if it was news.
    ///
    /// A suspicion told by a peer is held back until the peer's own probe had its time.
    pub fn apply_peer_status(
        &mut self,
        fingerprint: Fingerprint,
        quarantined: bool,
        now_ms: UnixMs,
    ) -> bool {
        let deaths = if quarantined { DEATHS_TO_QUARANTINE } else { 1 };
        let entry = self.entry(fingerprint, now_ms);
        if entry.deaths >= deaths {
            return false;
        }
        entry.deaths = deaths;
        entry.changed_at_ms = now_ms;
        entry.probe = Some(Probe::new(RequestId::MAX, now_ms));
        true
    }

    /// Says whether a request may run its content now, and makes it the suspect's probe if so.
    ///
    /// Requests with the same suspect content run one after the other, so that a content that
    /// kills servers meets one of them at a time.
    pub fn try_start(&mut self, fingerprint: Fingerprint, id: RequestId, now_ms: UnixMs) -> bool {
        match self.status(fingerprint, now_ms) {
            QuarantineStatus::Clear => return true,
            QuarantineStatus::Quarantined => return false,
            QuarantineStatus::Suspect => {}
        }
        let entry = self.entry(fingerprint, now_ms);
        match &entry.probe {
            Some(probe) if probe.id != id && now_ms < probe.until_ms => false,
            _ => {
                entry.probe = Some(Probe::new(id, now_ms));
                true
            }
        }
    }

    /// Takes word that the probe of a suspect content runs at a runner.
    pub fn set_probe_runner(&mut self, fingerprint: Fingerprint, runner: &VmName) {
        let Ok(index) = self.index(fingerprint) else {
            return;
        };
        if let Some(probe) = &mut self.entries[index].probe {
            probe.runner.clone_from(runner);
        }
    }

    /// The runners of the other suspects' probes here, sorted.
    pub fn other_probe_runners(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> Vec<VmName> {
        let others = self.entries.iter().filter(|entry| entry.fingerprint != fingerprint);
        let probes = others.filter_map(|entry| entry.probe.as_ref());
        let running = probes.filter(|probe| now_ms < probe.until_ms && !probe.runner.is_empty());
        let mut runners: Vec<VmName> = running.map(|probe| probe.runner.clone()).collect();
        runners.sort();
        runners
    }

    /// Says whether a content came under suspicion so lately that other nodes may probe the
    /// contents of the same death now.
    pub fn is_recent(&self, fingerprint: Fingerprint, now_ms: UnixMs) -> bool {
        self.find(fingerprint).is_some_and(|entry| now_ms < entry.changed_at_ms + APART_MS)
    }

    /// Contents under suspicion.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether nothing is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts a death for a content; true if it counted.
    fn count_death(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) -> bool {
        let entry = self.entry(fingerprint, now_ms);
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
        self.index(fingerprint).ok().map(|index| &self.entries[index])
    }

    fn index(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    /// The entry of a content; a new one where there is none or only a forgotten one.
    fn entry(&mut self, fingerprint: Fingerprint, now_ms: UnixMs) -> &mut Entry {
        self.entries.retain(|entry| now_ms < entry.changed_at_ms + MEMORY_MS);
        if self.index(fingerprint).is_err() && self.entries.len() >= self.limit {
            self.forget_oldest();
        }
        let index = match self.index(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Entry::new(fingerprint, now_ms));
                index
            }
        };
        &mut self.entries[index]
    }

    /// Forgets the oldest suspect, or the oldest of all where none is a mere suspect.
    fn forget_oldest(&mut self) {
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

/// The runners on which other nodes run their suspects, sorted.
///
/// All nodes deal the runners out in the same order, so that the suspects of two nodes do not meet
/// on one runner and a second death speaks against one content only. Both lists are sorted; a node
/// that is dealt no runner keeps none from itself.
pub fn runners_reserved_for_others(own: &str, nodes: &[VmName], runners: &[VmName]) -> Vec<VmName> {
    let position = nodes.iter().position(|node| node == own);
    let Some(position) = position.filter(|position| *position < runners.len()) else {
        return Vec::new();
    };
    let dealt = runners.iter().enumerate();
    let of_others = dealt.filter(|(index, _)| index % nodes.len() != position);
    of_others.map(|(_, runner)| runner.clone()).collect()
}
