//! What is known of one suspect, and how that is merged between nodes.

use fl_protocol::UnixMs;
use serde::{Deserialize, Serialize};

/// Hash of one instance of a server.
pub type InstanceHash = u64;

/// Separate crashes after which a prompt part is quarantined. Calls that share no other part may
/// crash five servers before it has to be known.
const PART_CRASHES: usize = 4;
/// Separate crashes after which a content is quarantined. A content may crash three servers before
/// it has to be known.
const CONTENT_CRASHES: usize = 3;
/// Crashes within this time of each other are one, unless a call was sent in between: servers that
/// end together are no evidence against the calls that they had in common.
const SEPARATION_MS: u64 = 250;
/// Crashes that are kept of a suspect.
const CRASHES_KEPT: usize = 16;
/// What calls may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SuspectKey {
    /// The id of a prompt part that different calls may share.
    PromptPart(u64),
    /// The fingerprint of a call's content.
    Content(u64),
}

/// The end of one instance of a server with a call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The instance of the server.
    pub instance: InstanceHash,
    /// When the call was sent to it, in Unix milliseconds.
    pub sent_ms: UnixMs,
    /// When the connection broke, in Unix milliseconds.
    pub crashed_ms: UnixMs,
}

/// What is known of one suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// What the calls had in common.
    pub key: SuspectKey,
    /// Grows each time that an answered call clears the suspect; crashes of an earlier generation
    /// are void.
    pub generation: u32,
    /// The crashes of this generation, one for each instance of a server, sorted by instance.
    pub crashes: Vec<Crash>,
}

impl SuspectKey {
    pub(super) fn crashes_to_quarantine(self) -> usize {
        match self {
            SuspectKey::PromptPart(_) => PART_CRASHES,
            SuspectKey::Content(_) => CONTENT_CRASHES,
        }
    }
}

impl Suspect {
    /// Adds a crash unless the instance is known or enough are kept. Returns whether it was added.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        match self.crashes.binary_search_by_key(&crash.instance, |known| known.instance) {
            Err(index) if self.crashes.len() < CRASHES_KEPT => {
                self.crashes.insert(index, crash);
                true
            }
            _ => false,
        }
    }

    /// Makes the crashes void. Returns whether there were any.
    pub(super) fn clear(&mut self) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        self.generation += 1;
        self.crashes.clear();
        true
    }

    /// Merges what another node knows of the same suspect. Returns whether that changed anything.
    pub(super) fn merge(&mut self, other: &Suspect) -> bool {
        if other.generation < self.generation {
            return false;
        }
        if other.generation > self.generation {
            self.generation = other.generation;
            self.crashes = other.crashes.clone();
            return true;
        }
        let mut has_changed = false;
        for crash in &other.crashes {
            has_changed |= self.add_crash(*crash);
        }
        has_changed
    }
}

/// Returns how many of the crashes are separate: a call was sent after the one before, or it was
/// long enough before.
pub(super) fn separate_crashes(crashes: &[Crash]) -> usize {
    let mut by_time = crashes.to_vec();
    by_time.sort_by_key(|crash| crash.crashed_ms);
    let mut last_ms: Option<UnixMs> = None;
    let mut count = 0;
    for crash in &by_time {
        let is_separate = last_ms.is_none_or(|last_ms| {
            crash.sent_ms >= last_ms || crash.crashed_ms >= last_ms + SEPARATION_MS
        });
        if is_separate {
            count += 1;
            last_ms = Some(crash.crashed_ms);
        }
    }
    count
}
