//! Tests which registered servers may be used while servers leave, the store is unavailable and
//! entries expire.

use fl_protocol::forward::{ServerEntry, ServerState, StoreVersion};
use fl_routing::registry_view::{RegistryChange, RegistryView};
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(1200);

fn entry(name: &str, state: ServerState) -> ServerEntry {
    ServerEntry {
        name: name.to_string(),
        service: "model".to_string(),
        address: ([127, 0, 0, 1], 8000).into(),
        zone: "zone-a".to_string(),
        slots: 8,
        state,
        reclaimable: false,
        born_ms: None,
        software_version: String::new(),
    }
}

fn version(incarnation: u64, revision: u64) -> StoreVersion {
    StoreVersion { incarnation, revision }
}

struct Registry {
    view: RegistryView,
    version: StoreVersion,
}

impl Registry {
    fn new() -> Self {
        Registry { view: RegistryView::default(), version: StoreVersion::default() }
    }

    fn read(&mut self, at_ms: u64, entries: &[(&str, ServerState)]) -> Vec<RegistryChange> {
        self.version.revision += 1;
        let list = entries.iter().map(|(name, state)| entry(name, *state)).collect();
        let at = Duration::from_millis(at_ms);
        self.view.apply_list(list, self.version, at, HEARTBEAT)
    }

    /// Lets the store come back from a copy that has lost some revisions.
    fn come_back(&mut self, revisions_lost: u64) {
        self.version.incarnation += 1;
        self.version.revision -= revisions_lost;
    }

    fn usable(&self) -> Vec<&str> {
        self.view.usable().map(|entry| entry.name.as_str()).collect()
    }
}

const READY: ServerState = ServerState::Ready;
const DRAINING: ServerState = ServerState::Draining;

#[test]
fn leaving_servers_unusable_at_once() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY), ("b", READY), ("c", READY)]);
    let changes = registry.read(900, &[("a", DRAINING), ("c", READY)]);
    assert_eq!(registry.usable(), ["c"]);
    assert_eq!(changes.len(), 2, "{changes:?}");
}

#[test]
fn expired_entry_retained_after_outage() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY), ("b", READY)]);
    registry.read(6_000, &[("a", READY)]);
    assert_eq!(registry.usable(), ["a", "b"], "the server of `b` had no time to register again");
    registry.read(7_000, &[("a", READY)]);
    assert_eq!(registry.usable(), ["a", "b"]);
    registry.read(7_600, &[("a", READY)]);
    assert_eq!(registry.usable(), ["a"], "`b` is gone after its time to register again");
}

#[test]
fn draining_state_survives_outage() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY), ("b", READY)]);
    registry.read(900, &[("a", READY), ("b", DRAINING)]);
    registry.read(6_000, &[("a", READY)]);
    assert_eq!(registry.usable(), ["a"]);
}

#[test]
fn older_list_ignored() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY)]);
    registry.read(900, &[("a", DRAINING)]);
    let older = vec![entry("a", READY)];
    let changes =
        registry.view.apply_list(older, version(0, 1), Duration::from_millis(901), HEARTBEAT);
    assert!(changes.is_empty());
    assert!(registry.usable().is_empty());
}

#[test]
fn restarted_server_usable_again() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", DRAINING)]);
    registry.read(900, &[("a", READY)]);
    assert_eq!(registry.usable(), ["a"]);
}

/// Guards against lists that are ignored after the store came back from an older copy, until its
/// revisions have passed those of before.
#[test]
fn list_of_new_incarnation_applies() {
    let mut registry = Registry::new();
    for at_ms in [0, 300, 600, 900] {
        registry.read(at_ms, &[("a", READY), ("b", READY)]);
    }
    registry.come_back(3);
    registry.read(1_200, &[("a", DRAINING), ("b", READY)]);
    assert_eq!(registry.usable(), ["b"]);
}

/// Nodes see incarnations out of order, through the replies of others.
#[test]
fn list_of_old_incarnation_ignored() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY)]);
    registry.come_back(0);
    registry.read(300, &[("a", DRAINING)]);
    let list = vec![entry("a", READY)];
    let changes =
        registry.view.apply_list(list, version(0, 900), Duration::from_millis(600), HEARTBEAT);
    assert!(changes.is_empty() && registry.usable().is_empty());
}

/// Guards against calls to a server that was known to leave, or to be gone, before the store came
/// back from a copy that lists it as ready.
#[test]
fn older_copy_brings_nobody_back() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY), ("b", READY), ("c", READY)]);
    registry.read(300, &[("a", DRAINING), ("c", READY)]);
    registry.come_back(1);
    for at_ms in [600, 900, 1_200] {
        registry.read(at_ms, &[("a", READY), ("b", READY), ("c", READY)]);
        assert_eq!(registry.usable(), ["c"], "at {at_ms} ms");
    }
}

/// A server that is still listed once outdated entries have expired has come back itself.
#[test]
fn returned_server_used_again() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY), ("b", READY)]);
    registry.read(300, &[("b", READY)]);
    registry.come_back(1);
    registry.read(600, &[("a", READY), ("b", READY)]);
    assert_eq!(registry.usable(), ["b"]);
    registry.read(600 + 4 * HEARTBEAT.as_millis() as u64, &[("a", READY), ("b", READY)]);
    assert_eq!(registry.usable(), ["a", "b"]);
}

/// Entries that are missing from the older copy are written again; one that is still missing later
/// is gone.
#[test]
fn missing_entries_retained_after_older_copy() {
    let mut registry = Registry::new();
    registry.read(0, &[("a", READY), ("b", READY)]);
    registry.come_back(0);
    registry.read(300, &[("a", READY)]);
    assert_eq!(registry.usable(), ["a", "b"]);
    registry.read(2_300, &[("a", READY)]);
    assert_eq!(registry.usable(), ["a"]);
}
