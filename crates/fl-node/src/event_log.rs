//! The event log service, which keeps the node's part of the time line.
//!
//! See `docs/design/020-time-line.md`.

mod lifecycle;

pub use lifecycle::{choose_handover_peers, hand_over_events, record_node_ready};

use crate::context::{ServiceContext, StartError};
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::EventLog;
use fl_protocol::event::{Event, EventKind, HlcTimestamp};
use fl_protocol::{DataCenterName, RequestId, VmName, format_request_id};
use fl_timeline::event_kind::kind_name;
use fl_timeline::{EventFilter, EventRing, HybridClock, TimeLinePage};
use parking_lot::Mutex;
use spdlog::Level;
use std::sync::Arc;

/// The registry name of the [`NodeEventLog`] itself, for its clock and its pages.
pub const NODE_EVENT_LOG: &str = "time-line";

/// Events of its own that a node keeps at most; they take about 10 MB.
const RING_EVENTS: usize = 32_768;
/// Events that a node keeps at most for nodes that went away.
const KEPT_EVENTS: usize = 16_384;

/// The newest events of this node and the hybrid logical clock that timestamps them.
pub struct NodeEventLog {
    vm: VmName,
    data_center: DataCenterName,
    state: Mutex<State>,
}

struct State {
    clock: HybridClock,
    ring: EventRing,
    /// Events that nodes handed over when they went away.
    kept: EventRing,
}

/// Starts the event log and registers it as [`EventLog`] and as [`NODE_EVENT_LOG`].
pub fn start(context: &ServiceContext) -> Result<Arc<NodeEventLog>, StartError> {
    let node = &context.settings.node;
    let log = Arc::new(NodeEventLog::new(&node.vm, &node.data_center));
    context.registry.register(NODE_EVENT_LOG, log.clone())?;
    context.registry.register::<dyn EventLog>(names::EVENT_LOG, log.clone())?;
    Ok(log)
}

impl NodeEventLog {
    /// Creates an empty log for a node.
    pub fn new(vm: &str, data_center: &str) -> Self {
        let state = State {
            clock: HybridClock::default(),
            ring: EventRing::new(RING_EVENTS),
            kept: EventRing::new(KEPT_EVENTS),
        };
        NodeEventLog {
            vm: vm.to_string(),
            data_center: data_center.to_string(),
            state: Mutex::new(state),
        }
    }

    /// Returns the events that match a filter, with the node's clock.
    ///
    /// Events kept for nodes that went away come first.
    pub fn page(&self, filter: &EventFilter) -> TimeLinePage {
        let (clock, dropped_events, events) = self.select(filter);
        TimeLinePage {
            vm: self.vm.clone(),
            data_center: self.data_center.clone(),
            clock,
            dropped_events,
            events: events.iter().map(|event| event.as_ref().clone()).collect(),
        }
    }

    fn select(&self, filter: &EventFilter) -> (HlcTimestamp, u64, Vec<Arc<Event>>) {
        let state = self.state.lock();
        let mut events = state.kept.select(filter);
        events.extend(state.ring.select(filter));
        (state.clock.last(), state.ring.dropped_events(), events)
    }

    fn newest(&self, count: usize) -> Vec<Event> {
        self.state.lock().ring.newest(count)
    }

    fn push(&self, kind: EventKind, request_id: Option<String>, detail: String) {
        let mut state = self.state.lock();
        let stamp = state.clock.tick(unix_ms());
        let vm = self.vm.clone();
        let data_center = self.data_center.clone();
        state.ring.push(Event { stamp, vm, data_center, kind, request_id, detail });
    }
}

impl EventLog for NodeEventLog {
    fn record(&self, kind: EventKind, request: Option<RequestId>, detail: String) {
        let name = kind_name(kind);
        let request_id = request.map(format_request_id);
        log_event(log_level(kind), &name, request_id.as_deref(), &detail);
        metrics::counter!("fl_events_total", "kind" => name).increment(1);
        self.push(kind, request_id, detail);
    }

    fn stamp(&self) -> HlcTimestamp {
        self.state.lock().clock.tick(unix_ms())
    }

    fn observe(&self, stamp: HlcTimestamp) {
        self.state.lock().clock.observe(stamp, unix_ms());
    }

    fn store_events(&self, events: Vec<Event>) {
        let mut state = self.state.lock();
        for event in events {
            state.kept.push(event);
        }
    }
}

fn log_event(level: Level, name: &str, request_id: Option<&str>, detail: &str) {
    let message = if detail.is_empty() { name.to_string() } else { format!("{name}: {detail}") };
    match request_id {
        Some(id) => spdlog::log!(level, "{message}", kv: { request_id = id }),
        None => spdlog::log!(level, "{message}"),
    }
}

/// Returns the log level of an event.
///
/// Events of single requests are frequent; most are therefore logged at debug level.
fn log_level(kind: EventKind) -> Level {
    match kind {
        EventKind::ServerDied
        | EventKind::Judged
        | EventKind::OutcomeUnknown
        | EventKind::GivenUp
        | EventKind::StrangerRefused
        | EventKind::PlatformChanged => Level::Warn,
        EventKind::NodeStarted
        | EventKind::NodeReady
        | EventKind::NodeLeaving
        | EventKind::NodeStopped
        | EventKind::MemberChanged
        | EventKind::ConfigurationInForce
        | EventKind::LeaseChanged
        | EventKind::OrderGiven
        | EventKind::VmLeaving => Level::Info,
        _ => Level::Debug,
    }
}
