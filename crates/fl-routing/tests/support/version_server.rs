//! Servers that differ in their software version alone, and routes of resumable streams.

#![allow(dead_code)]

use fl_protocol::forward::{CallKind, Route, ServerEntry, ServerState};
use std::sync::Arc;
use std::time::Duration;

/// Returns a server of the service `models` with a software version.
pub fn server(version: &str) -> ServerEntry {
    ServerEntry {
        name: format!("s-{version}"),
        service: "models".to_string(),
        address: ([127, 0, 0, 1], 8000).into(),
        zone: "zone-0".to_string(),
        slots: 8,
        state: ServerState::Ready,
        reclaimable: false,
        born_ms: None,
        software_version: version.to_string(),
    }
}

/// Returns a route of resumable streams to services of equal weight.
pub fn route(prefix: &str, services: &[&str]) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.to_string(),
        host: "desk.example".to_string(),
        prefix: prefix.to_string(),
        kind: CallKind::Stream,
        timeout: Duration::from_secs(15),
        latency_target: Duration::from_millis(800),
        priority: 1,
        services: services.iter().map(|service| (service.to_string(), 1)).collect(),
        servers_max: 2,
        anonymous: false,
        resumable: true,
        event_gap_target: None,
    })
}
