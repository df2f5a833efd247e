//! Which registered servers may be used, through leaves, outages and lapsed entries.

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
    }
}

struct World {
    servers: RegistryView,
    revision: u64,
}

impl World {
    fn new() -> Self {
        World { servers: RegistryView::default(), revision: 0 }
    }

    fn list(&mut self, at_ms: u64, entries: &[(&str, ServerState)]) -> Vec<RegistryChange> {
        self.revision += 1;
        let list = entries.iter().map(|(name, state)| entry(name, *state)).collect();
        let at = Duration::from_millis(at_ms);
        self.servers.apply_list(list, self.revision, at, HEARTBEAT)
    }

    fn usable(&self) -> Vec<&str> {
        self.servers.usable().map(|entry| entry.name.as_str()).collect()
    }
}

const READY: ServerState = ServerState::Ready;
const DRAINING: ServerState = ServerState::Draining;

#[test]
fn draining_and_gone_at_once() {
    let mut world = World::new();
    world.list(0, &[("a", READY), ("b", READY), ("c", READY)]);
    let changes = world.list(900, &[("a", DRAINING), ("c", READY)]);
    assert_eq!(world.usable(), ["c"]);
    assert_eq!(changes.len(), 2, "{changes:?}");
}

#[test]
fn lapsed_entry_kept_after_outage() {
    let mut world = World::new();
    world.list(0, &[("a", READY), ("b", READY)]);
    world.list(6_000, &[("a", READY)]);
    assert_eq!(world.usable(), ["a", "b"], "its server had no time to register again");
    world.list(7_000, &[("a", READY)]);
    assert_eq!(world.usable(), ["a", "b"]);
    world.list(7_600, &[("a", READY)]);
    assert_eq!(world.usable(), ["a"], "what is still missing is gone");
}

#[test]
fn draining_known_through_outage() {
    let mut world = World::new();
    world.list(0, &[("a", READY), ("b", READY)]);
    world.list(900, &[("a", READY), ("b", DRAINING)]);
    world.list(6_000, &[("a", READY)]);
    assert_eq!(world.usable(), ["a"]);
}

#[test]
fn older_list_changes_nothing() {
    let mut world = World::new();
    world.list(0, &[("a", READY)]);
    world.list(900, &[("a", DRAINING)]);
    let late = vec![entry("a", READY)];
    let changes = world.servers.apply_list(late, 1, Duration::from_millis(901), HEARTBEAT);
    assert!(changes.is_empty());
    assert!(world.usable().is_empty());
}

#[test]
fn same_name_starts_again() {
    let mut world = World::new();
    world.list(0, &[("a", DRAINING)]);
    world.list(900, &[("a", READY)]);
    assert_eq!(world.usable(), ["a"]);
}
