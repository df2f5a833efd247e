//! Tests which registered servers may be used while servers leave, the store is unavailable and
//! entries expire.

use fl_protocol::forward::{ServerEntry, ServerState};
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
    }
}

struct Registry {
    view: RegistryView,
    revision: u64,
}

impl Registry {
    fn new() -> Self {
        Registry { view: RegistryView::default(), revision: 0 }
    }

    fn read(&mut self, at_ms: u64, entries: &[(&str, ServerState)]) -> Vec<RegistryChange> {
        self.revision += 1;
        let list = entries.iter().map(|(name, state)| entry(name, *state)).collect();
        let at = Duration::from_millis(at_ms);
        self.view.apply_list(list, self.revision, at, HEARTBEAT)
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
    let changes = registry.view.apply_list(older, 1, Duration::from_millis(901), HEARTBEAT);
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
