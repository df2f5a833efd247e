//! Which registered backend servers may be used, from lists that are read now and then.
//!
//! Entries lapse by themselves while the store is away, although their servers live. So an entry
//! that is missing right after an outage is kept until its server had time to register again.

use fl_protocol::forward::{ServerEntry, ServerState};
use std::time::Duration;

/// How long after the first list that was read again a living server needs to register again. The
/// store may have been back for most of a second by then, and what is still missing two seconds
/// after its return is gone.
const REGISTRATION_TIME: Duration = Duration::from_millis(1300);
/// Heartbeats without a read after which entries may have lapsed unseen.
const LAPSE_HEARTBEATS: u32 = 2;

/// A server that may be used or was lately.
#[derive(Debug, Clone, PartialEq)]
pub struct RegisteredServer {
    /// What its entry says.
    pub entry: ServerEntry,
    /// When it was told to leave or its entry went, if so.
    pub leaving_since: Option<Duration>,
}

/// What became different with a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// A server may be used.
    Joined(String),
    /// A server said that it is leaving.
    Draining(String),
    /// A server's entry is gone.
    Gone(String),
}

/// The belief about registered servers.
#[derive(Debug, Clone, Default)]
pub struct RegistryView {
    servers: Vec<RegisteredServer>,
    revision: u64,
    read_at: Option<Duration>,
    outage_ended_at: Option<Duration>,
}

impl RegistryView {
    /// Servers that may be used, sorted by name.
    pub fn usable(&self) -> impl Iterator<Item = &ServerEntry> {
        let usable = self.servers.iter().filter(|server| server.leaving_since.is_none());
        usable.map(|server| &server.entry)
    }

    /// Says whether missing entries are kept for now, so that the next list is wanted soon.
    pub fn retains_missing(&self, now: Duration) -> bool {
        let since = self.outage_ended_at.map(|ended| now.saturating_sub(ended));
        since.is_some_and(|since| since < REGISTRATION_TIME)
    }

    /// When the last list was read.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// The store's revision of the last list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a list that was true at `asked_at`, sorted by name; an older one changes nothing.
    pub fn apply_list(
        &mut self,
        list: Vec<ServerEntry>,
        revision: u64,
        asked_at: Duration,
        heartbeat: Duration,
    ) -> Vec<RegistryChange> {
        if revision < self.revision || self.read_at.is_some_and(|read_at| asked_at < read_at) {
            return Vec::new();
        }
        let silence = self.read_at.map(|read_at| asked_at.saturating_sub(read_at));
        if silence.is_some_and(|silence| silence > heartbeat * LAPSE_HEARTBEATS) {
            self.outage_ended_at = Some(asked_at);
        }
        self.revision = revision;
        self.read_at = Some(asked_at);
        self.merge(list, asked_at, self.retains_missing(asked_at))
    }

    fn merge(
        &mut self,
        list: Vec<ServerEntry>,
        now: Duration,
        retains_missing: bool,
    ) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        let before = std::mem::take(&mut self.servers);
        for old in &before {
            let listed = list.binary_search_by(|entry| entry.name.cmp(&old.entry.name)).is_ok();
            if listed {
                continue;
            }
            if retains_missing
                || old.leaving_since.is_some_and(|since| now < since + REGISTRATION_TIME)
            {
                self.servers.push(old.clone());
            } else if old.leaving_since.is_none() {
                changes.push(RegistryChange::Gone(old.entry.name.clone()));
            }
        }
        for entry in list {
            let known = before.iter().find(|old| old.entry.name == entry.name);
            let was_usable = known.is_some_and(|old| old.leaving_since.is_none());
            let leaving_since = match entry.state {
                ServerState::Ready => None,
                ServerState::Draining => {
                    Some(known.and_then(|old| old.leaving_since).unwrap_or(now))
                }
            };
            match leaving_since {
                None if !was_usable => changes.push(RegistryChange::Joined(entry.name.clone())),
                Some(_) if was_usable => changes.push(RegistryChange::Draining(entry.name.clone())),
                _ => {}
            }
            self.servers.push(RegisteredServer { entry, leaving_since });
        }
        self.servers.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        changes
    }
}
