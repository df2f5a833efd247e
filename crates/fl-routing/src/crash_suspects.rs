//! Finds what calls have in common that crashes the servers which begin to answer them: a part of
//! their prompts, or their whole content.
//!
//! All that calls in flight on a crashed server held is suspected. What crashes servers is never
//! answered, so an answered call clears whatever it held. Crashes are explained by the suspect that
//! was in flight at most of them; it is quarantined once there are enough. Nodes merge what they
//! know in any order and any number of times. See `docs/design/045-crashing-requests.md`.

mod suspect;

pub use suspect::{Crash, InstanceHash, Suspect, SuspectKey};

use std::time::Duration;
use suspect::separate_crashes;

/// Separate crashes after which a call that was in flight is not sent once more.
const CRASHES_TO_SUSPECT: usize = 2;
/// How long a suspect is remembered after the last change.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// How long a cleared suspect is remembered, so that peers learn that it is cleared.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// How long a change is repeated in each report to the peers.
const CHANGE_REPEATED: Duration = Duration::from_secs(3);
/// Answered prompt parts and contents of which the last time is kept.
const SUCCESSES_KEPT: usize = 4096;

/// A suspect that was quarantined, or that is no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The suspect.
    pub key: SuspectKey,
    /// Whether calls that hold it are refused from now on.
    pub is_quarantined: bool,
    /// Number of its crashes.
    pub crashes: usize,
}

#[derive(Debug, Clone)]
struct Entry {
    suspect: Suspect,
    changed_at: Duration,
    /// When this node itself saw a crash or an answer that changed the entry.
    changed_here_at: Option<Duration>,
    /// Whether a crash was seen by this node.
    is_seen_here: bool,
}

/// A suspect with the crashes that nothing else explains.
#[derive(Debug)]
struct Culprit {
    key: SuspectKey,
    /// Number of separate crashes.
    crashes: usize,
    /// The instances of servers that crashed.
    instances: Vec<InstanceHash>,
    /// When a call that held it was last answered, `None` if never.
    last_success: Option<Duration>,
}

/// The suspects of a node. Times are those of a clock that never goes back.
#[derive(Debug, Clone)]
pub struct CrashSuspects {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// When a call that held it was last answered, sorted by key.
    successes: Vec<(SuspectKey, Duration)>,
    /// Sorted.
    quarantined: Vec<SuspectKey>,
    entries_max: usize,
}

impl CrashSuspects {
    /// Creates an empty set that remembers at most `entries_max` suspects.
    pub fn new(entries_max: usize) -> Self {
        CrashSuspects {
            entries: Vec::new(),
            successes: Vec::new(),
            quarantined: Vec::new(),
            entries_max: entries_max.max(1),
        }
    }

    /// Records that a server crashed with a call in flight that held these keys.
    pub fn record_crash(
        &mut self,
        keys: &[SuspectKey],
        crash: Crash,
        now: Duration,
    ) -> Vec<QuarantineChange> {
        for key in keys {
            let entry = self.entry_mut(*key, now);
            entry.is_seen_here = true;
            if entry.suspect.add_crash(crash) {
                entry.changed_at = now;
                entry.changed_here_at = Some(now);
            }
        }
        self.judge(now)
    }

    /// Records that a call that held these keys was answered, which clears them.
    pub fn record_success(&mut self, keys: &[SuspectKey], now: Duration) -> Vec<QuarantineChange> {
        let mut has_cleared = false;
        for key in keys {
            self.note_success(*key, now);
            let Ok(index) = self.index(*key) else { continue };
            let entry = &mut self.entries[index];
            if entry.suspect.clear() {
                entry.changed_at = now;
                entry.changed_here_at = Some(now);
                has_cleared = true;
            }
        }
        if has_cleared { self.judge(now) } else { Vec::new() }
    }

    /// Merges what a peer or the store knows of suspects.
    pub fn merge(&mut self, suspects: &[Suspect], now: Duration) -> Vec<QuarantineChange> {
        let mut has_changed = false;
        for suspect in suspects {
            let entry = self.entry_mut(suspect.key, now);
            if entry.suspect.merge(suspect) {
                entry.changed_at = now;
                has_changed = true;
            }
        }
        if has_changed { self.judge(now) } else { Vec::new() }
    }

    /// Returns the first of these keys that is quarantined.
    pub fn quarantined(&self, keys: &[SuspectKey]) -> Option<SuspectKey> {
        let is_quarantined = |key: &&SuspectKey| self.quarantined.binary_search(key).is_ok();
        keys.iter().find(is_quarantined).copied()
    }

    /// Returns whether a call that holds these keys may have crashed servers, so that it is not sent
    /// to one more.
    pub fn is_suspect(&self, keys: &[SuspectKey]) -> bool {
        let entries = keys.iter().filter_map(|key| self.index(*key).ok());
        let mut suspects = entries.map(|index| &self.entries[index].suspect);
        suspects.any(|suspect| separate_crashes(&suspect.crashes) >= CRASHES_TO_SUSPECT)
    }

    /// Returns what peers have to know: recent changes that this node saw itself, and if
    /// `is_complete` all that is quarantined. What peers said is not passed on, as each node tells
    /// all others. The suspects hold at most `crashes_max` crashes in all; those with most crashes
    /// come first.
    pub fn report(&self, is_complete: bool, crashes_max: usize, now: Duration) -> Vec<Suspect> {
        let is_reported = |entry: &&Entry| {
            let is_recent = entry
                .changed_here_at
                .is_some_and(|changed_at| now.saturating_sub(changed_at) < CHANGE_REPEATED);
            is_recent || (is_complete && self.is_quarantined(entry))
        };
        let mut suspects: Vec<&Suspect> =
            self.entries.iter().filter(is_reported).map(|entry| &entry.suspect).collect();
        suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.crashes.len()));
        let mut crashes = 0;
        let fits = |suspect: &&&Suspect| {
            // A cleared suspect takes room too.
            crashes += suspect.crashes.len().max(1);
            crashes <= crashes_max
        };
        suspects.iter().take_while(fits).map(|suspect| (*suspect).clone()).collect()
    }

    /// Returns the quarantined suspects of which this node saw a crash; they are to be stored.
    pub fn to_store(&self) -> Vec<Suspect> {
        let seen = self.entries.iter().filter(|entry| entry.is_seen_here);
        seen.filter(|entry| self.is_quarantined(entry)).map(|entry| entry.suspect.clone()).collect()
    }

    /// Returns what is known of one suspect.
    pub fn suspect(&self, key: SuspectKey) -> Option<&Suspect> {
        self.index(key).ok().map(|index| &self.entries[index].suspect)
    }

    /// Returns the number of quarantined suspects.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    fn is_quarantined(&self, entry: &Entry) -> bool {
        self.quarantined.binary_search(&entry.suspect.key).is_ok()
    }

    /// Decides anew what is quarantined, and returns the changes.
    ///
    /// The suspect with the most separate crashes explains them; of equal ones, the one that was
    /// not answered for the longest time. What is explained counts against no other suspect.
    fn judge(&mut self, now: Duration) -> Vec<QuarantineChange> {
        let mut judged = Vec::new();
        let mut explained: Vec<InstanceHash> = Vec::new();
        while let Some(culprits) = self.next_culprits(&judged, &explained) {
            judged.extend(culprits.iter().map(|culprit| culprit.key));
            explained.extend(culprits.iter().flat_map(|culprit| &culprit.instances));
        }
        judged.sort();
        let before = std::mem::replace(&mut self.quarantined, judged);
        let changes = self.quarantine_changes(&before);
        self.forget_old(now);
        changes
    }

    /// Returns the suspect that explains most of the crashes that are not explained yet, if there
    /// are enough of them.
    ///
    /// Suspects that were never answered and explain equally many cannot be told apart. One more
    /// crash than usual gives a sound one the time to be answered; then it is returned too.
    fn next_culprits(
        &self,
        judged: &[SuspectKey],
        explained: &[InstanceHash],
    ) -> Option<Vec<Culprit>> {
        let suspects = self.entries.iter().map(|entry| &entry.suspect);
        // Most suspects have too few crashes whatever explains them.
        let open = suspects.filter(|suspect| {
            suspect.crashes.len() >= suspect.key.crashes_to_quarantine()
                && !judged.contains(&suspect.key)
        });
        let counted = open.map(|suspect| self.culprit(suspect, explained));
        let mut culprits: Vec<Culprit> = counted.filter(Culprit::has_enough_crashes).collect();
        culprits.sort_by_key(|culprit| (std::cmp::Reverse(culprit.crashes), culprit.last_success));
        let (crashes, last_success) =
            culprits.first().map(|first| (first.crashes, first.last_success))?;
        let is_like_first =
            |culprit: &Culprit| culprit.crashes == crashes && culprit.last_success == last_success;
        culprits.retain(is_like_first);
        if culprits.len() > 1 {
            culprits.retain(|culprit| crashes > culprit.key.crashes_to_quarantine());
        }
        (!culprits.is_empty()).then_some(culprits)
    }

    fn culprit(&self, suspect: &Suspect, explained: &[InstanceHash]) -> Culprit {
        let unexplained = |crash: &&Crash| !explained.contains(&crash.instance);
        let crashes: Vec<Crash> = suspect.crashes.iter().filter(unexplained).copied().collect();
        Culprit {
            key: suspect.key,
            crashes: separate_crashes(&crashes),
            instances: crashes.iter().map(|crash| crash.instance).collect(),
            last_success: self.last_success(suspect.key),
        }
    }

    fn quarantine_changes(&self, before: &[SuspectKey]) -> Vec<QuarantineChange> {
        let crashes = |key| self.suspect(key).map_or(0, |suspect| suspect.crashes.len());
        let change = |key: &SuspectKey, is_quarantined| QuarantineChange {
            key: *key,
            is_quarantined,
            crashes: crashes(*key),
        };
        let added = self.quarantined.iter().filter(|key| !before.contains(key));
        let released = before.iter().filter(|key| !self.quarantined.contains(key));
        added.map(|key| change(key, true)).chain(released.map(|key| change(key, false))).collect()
    }

    /// Forgets suspects that have not changed for long.
    fn forget_old(&mut self, now: Duration) {
        self.entries.retain(|entry| {
            let retention = match entry.suspect.crashes.is_empty() {
                true => CLEARED_RETENTION,
                false => RETENTION,
            };
            now.saturating_sub(entry.changed_at) < retention
        });
        let entries = &self.entries;
        let is_known = |key: &SuspectKey| entries.iter().any(|entry| entry.suspect.key == *key);
        self.quarantined.retain(is_known);
    }

    fn index(&self, key: SuspectKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.suspect.key)
    }

    /// Returns the entry of a key, and inserts one if there is none. A full set drops the suspect
    /// with the fewest crashes, of equal ones the one that changed first.
    fn entry_mut(&mut self, key: SuspectKey, now: Duration) -> &mut Entry {
        if self.index(key).is_err() && self.entries.len() >= self.entries_max {
            let numbered = self.entries.iter().enumerate();
            let weakest = numbered
                .min_by_key(|(_, entry)| (entry.suspect.crashes.len(), entry.changed_at))
                .map(|(index, _)| index);
            self.entries.remove(weakest.unwrap_or(0));
        }
        let index = self.index(key).unwrap_or_else(|index| {
            let suspect = Suspect { key, generation: 0, crashes: Vec::new() };
            let entry =
                Entry { suspect, changed_at: now, changed_here_at: None, is_seen_here: false };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }

    fn last_success(&self, key: SuspectKey) -> Option<Duration> {
        let index = self.successes.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        Some(self.successes[index].1)
    }

    /// Notes an answer; forgets the older half of the answers when there are too many.
    fn note_success(&mut self, key: SuspectKey, now: Duration) {
        match self.successes.binary_search_by_key(&key, |(known, _)| *known) {
            Ok(index) => self.successes[index].1 = now,
            Err(index) => self.successes.insert(index, (key, now)),
        }
        if self.successes.len() > SUCCESSES_KEPT {
            let mut times: Vec<Duration> = self.successes.iter().map(|(_, at)| *at).collect();
            let (_, median, _) = times.select_nth_unstable(SUCCESSES_KEPT / 2);
            let median = *median;
            self.successes.retain(|(_, at)| *at > median);
        }
    }
}

impl Culprit {
    fn has_enough_crashes(&self) -> bool {
        self.crashes >= self.key.crashes_to_quarantine()
    }
}
