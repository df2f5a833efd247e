//! A node's view of the registered backend servers, built from periodic readings of the registry.
//!
//! Entries expire while the store is unavailable, even if their servers are alive. An entry that is
//! missing right after an outage is therefore retained until its server has had time to register
//! again.

use fl_protocol::forward::{ServerEntry, ServerState, StoreVersion};
use std::time::Duration;

/// Time after the first reading that follows an outage within which a live server registers again.
///
/// The store may have been available for most of a second before that reading, and an entry that is
/// still missing two seconds after the store's return is gone.
const REGISTRATION_TIME: Duration = Duration::from_millis(1300);
/// How long a server that left is remembered, so that an entry from an older copy of the store does
/// not bring it back.
const LEFT_MEMORY: Duration = Duration::from_secs(30);
/// Number of heartbeats after the store came back from an older copy until the entries of servers
/// that are gone have expired again.
const OLDER_COPY_HEARTBEATS: u32 = 4;
/// Number of heartbeats without a reading after which entries may have expired unnoticed.
const EXPIRY_HEARTBEATS: u32 = 2;

/// A server that may be used, or that is leaving.
#[derive(Debug, Clone, PartialEq)]
pub struct RegisteredServer {
    /// Latest entry of the server in the registry.
    pub entry: ServerEntry,
    /// Time at which a reading first showed the server as draining, if one did.
    pub leaving_since: Option<Duration>,
}

/// A change that a reading of the registry brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// The server with this name may be used from now on.
    Joined(String),
    /// The server with this name announced that it is leaving.
    Draining(String),
    /// The entry of the server with this name is gone.
    Gone(String),
}

/// The registered servers as of the latest reading, with the entries that are retained after an
/// outage.
#[derive(Debug, Clone, Default)]
pub struct RegistryView {
    servers: Vec<RegisteredServer>,
    /// Servers that left not long ago, with the time at which that was noticed.
    left: Vec<(ServerEntry, Duration)>,
    store_version: StoreVersion,
    read_at: Option<Duration>,
    outage_ended_at: Option<Duration>,
    /// Time until which lists may hold entries from an older copy of the store.
    older_copy_until: Duration,
}

impl RegistryView {
    /// Returns the servers that may be used, sorted by name.
    pub fn usable(&self) -> impl Iterator<Item = &ServerEntry> {
        let usable = self.servers.iter().filter(|server| server.leaving_since.is_none());
        usable.map(|server| &server.entry)
    }

    /// Returns whether missing entries are retained at the moment. The next reading should then
    /// follow soon.
    pub fn retains_missing(&self, now: Duration) -> bool {
        let since = self.outage_ended_at.map(|ended| now.saturating_sub(ended));
        since.is_some_and(|since| since < REGISTRATION_TIME)
    }

    /// Returns the time of the latest reading.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// Returns the store's version of the latest reading.
    pub fn store_version(&self) -> StoreVersion {
        self.store_version
    }

    /// Applies a list that was current at `asked_at` and returns the changes.
    ///
    /// The list must be sorted by name, and `heartbeat` is the interval at which servers renew their
    /// entries. A list that is older than the latest one changes nothing.
    ///
    /// The first list of a new incarnation of the store comes from an older copy, until the servers
    /// have written again: as after an outage, missing entries are retained for a while, and what
    /// was known to leave stays out.
    pub fn apply_list(
        &mut self,
        list: Vec<ServerEntry>,
        store_version: StoreVersion,
        asked_at: Duration,
        heartbeat: Duration,
    ) -> Vec<RegistryChange> {
        if store_version < self.store_version
            || self.read_at.is_some_and(|read_at| asked_at < read_at)
        {
            return Vec::new();
        }
        let silence = self.read_at.map(|read_at| asked_at.saturating_sub(read_at));
        let came_back = silence.is_some_and(|silence| silence > heartbeat * EXPIRY_HEARTBEATS);
        let older_copy =
            silence.is_some() && store_version.incarnation > self.store_version.incarnation;
        if came_back || older_copy {
            self.outage_ended_at = Some(asked_at);
        }
        if older_copy {
            self.older_copy_until = asked_at + heartbeat * OLDER_COPY_HEARTBEATS;
        }
        self.left.retain(|(_, left_at)| asked_at.saturating_sub(*left_at) < LEFT_MEMORY);
        self.store_version = store_version;
        self.read_at = Some(asked_at);
        self.merge(list, asked_at, self.retains_missing(asked_at))
    }

    /// Returns whether an entry that lists a server as ready is outdated: the server was known to
    /// leave or to be gone before the store came back.
    fn comes_from_older_copy(
        &self,
        entry: &ServerEntry,
        known: Option<&RegisteredServer>,
        now: Duration,
    ) -> bool {
        if now >= self.older_copy_until {
            return false;
        }
        let is_same =
            |other: &ServerEntry| other.name == entry.name && other.born_ms == entry.born_ms;
        let was_leaving =
            known.is_some_and(|old| old.leaving_since.is_some() && is_same(&old.entry));
        was_leaving || self.left.iter().any(|(left, _)| is_same(left))
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
            } else {
                self.left.push((old.entry.clone(), now));
                if old.leaving_since.is_none() {
                    changes.push(RegistryChange::Gone(old.entry.name.clone()));
                }
            }
        }
        for entry in list {
            let known = before.iter().find(|old| old.entry.name == entry.name);
            let was_usable = known.is_some_and(|old| old.leaving_since.is_none());
            let known_to_leave = known.and_then(|old| old.leaving_since);
            let leaving_since = match entry.state {
                ServerState::Ready if self.comes_from_older_copy(&entry, known, now) => {
                    Some(known_to_leave.unwrap_or(now))
                }
                ServerState::Ready => None,
                ServerState::Draining => Some(known_to_leave.unwrap_or(now)),
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
