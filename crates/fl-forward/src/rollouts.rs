//! Moves services to new software versions as operators order, and stops the moves to bad ones.
//!
//! `fl_routing::rollout` decides. This module keeps what is known of each order, counts answers and
//! exchanges the counts with the peers; the holder of the duties' lease writes what is decided. See
//! `docs/design/130-canary-rollouts.md`.

mod answer;
mod known_order;
mod placement;
mod report;
mod status;
mod watch;
mod write;

pub use answer::{AnswerWatch, WatchedCall};
pub use placement::choose_server;
pub use report::RolloutReport;
pub use watch::watch;
pub use write::{WriterView, write_next};

use crate::clock::boot_time;
use fl_kernel::forward::ForwardBounds;
use fl_protocol::forward::{RolloutOrder, RolloutOrders, StoreVersion};
use fl_routing::rollout::RolloutBounds;
use known_order::KnownOrder;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;

/// The rollouts that this node knows.
pub struct Rollouts {
    /// Whether operators may order any. If not, nothing is read, counted or sent.
    is_enabled: bool,
    bounds: RolloutBounds,
    state: Mutex<State>,
    /// Notified when the peers have to hear something at once.
    urgent: Notify,
    /// Tells the counts of this process from those of an earlier one.
    process: u64,
}

#[derive(Default)]
struct State {
    /// Sorted by service.
    orders: Vec<KnownOrder>,
    /// Whether all orders were read before, so that one which is new was ordered since.
    has_read_orders: bool,
    /// Whether the rows on rollouts were read.
    has_read_status: bool,
    /// Keys of rows that cannot be read, which were logged.
    invalid_rows: Vec<String>,
}

impl Rollouts {
    /// Creates the state of a node that knows no orders.
    pub fn new(bounds: &ForwardBounds, is_enabled: bool) -> Self {
        let bounds = RolloutBounds {
            exposure_share: bounds.exposure_share,
            exposure_slack: bounds.exposure_slack,
            rollback_delay: bounds.rollback_delay,
        };
        let process = rand::random();
        let (state, urgent) = (Mutex::default(), Notify::new());
        Rollouts { is_enabled, bounds, state, urgent, process }
    }

    /// Applies orders that were read from the store at a version; `peers` are the nodes that are
    /// heard. Returns the invalid rows that are new.
    pub fn apply_orders(
        &self,
        read: &RolloutOrders,
        at: StoreVersion,
        peers: &[SocketAddr],
    ) -> Vec<(String, String)> {
        if !self.is_enabled {
            return Vec::new();
        }
        let now = boot_time();
        let mut state = self.state.lock();
        for order in &read.orders {
            match order.is_withdrawn() {
                true => state.withdraw(&order.service, order.written_at),
                false => state.apply_order(order, now, &self.bounds, peers),
            }
        }
        if read.is_whole {
            // A store that came back from an older copy may lack the row; the order stays then.
            let is_listed = |known: &KnownOrder| {
                known.order.written_at.incarnation != at.incarnation
                    || read.orders.iter().any(|order| order.service == known.order.service)
            };
            let missing: Vec<String> = (state.orders.iter())
                .filter(|known| !is_listed(known))
                .map(|known| known.order.service.clone())
                .collect();
            for service in missing {
                state.withdraw(&service, at);
            }
            state.has_read_orders = true;
        }
        let is_new = |(key, _): &&(String, String)| !state.invalid_rows.contains(key);
        let invalid: Vec<_> = read.invalid_rows.iter().filter(is_new).cloned().collect();
        state.invalid_rows.extend(invalid.iter().map(|(key, _)| key.clone()));
        invalid
    }

    /// Returns whether a service is being moved to another version.
    pub fn is_under_way(&self, service: &str) -> bool {
        let mut state = self.state.lock();
        state.find(service).is_some_and(|known| !known.phase.is_final())
    }

    /// Returns whether this node knows which versions may get calls.
    pub fn are_known(&self) -> bool {
        !self.is_enabled || self.state.lock().has_read_status
    }

    /// Waits until the peers have to hear something at once.
    pub async fn wait_for_urgent(&self) {
        self.urgent.notified().await;
    }
}

impl State {
    fn find(&mut self, service: &str) -> Option<&mut KnownOrder> {
        let found = self.orders.binary_search_by(|known| known.order.service.as_str().cmp(service));
        found.ok().map(|index| &mut self.orders[index])
    }

    /// Returns whether an order is the known one of its service, or an earlier one.
    fn knows(&mut self, order: &RolloutOrder) -> bool {
        let known = self.find(&order.service);
        known.is_some_and(|known| {
            known.order.is_same_row(order) || order.written_at <= known.order.written_at
        })
    }

    /// Begins the rollout of an order unless it is known or an earlier one.
    fn apply_order(
        &mut self,
        order: &RolloutOrder,
        now: Duration,
        bounds: &RolloutBounds,
        peers: &[SocketAddr],
    ) {
        let is_fresh = self.has_read_orders;
        let found = self.orders.binary_search_by(|known| known.order.service.cmp(&order.service));
        let known = KnownOrder::new(order.clone(), now, bounds, peers, is_fresh);
        match found {
            Err(index) => self.orders.insert(index, known),
            Ok(index) => {
                let before = &mut self.orders[index];
                if before.order.is_same_row(order) {
                    before.order.written_at = before.order.written_at.max(order.written_at);
                } else if order.written_at > before.order.written_at {
                    *before = known.after(before);
                }
            }
        }
    }

    fn withdraw(&mut self, service: &str, at: StoreVersion) {
        if let Some(known) = self.find(service).filter(|known| known.order.written_at < at) {
            known.withdraw();
        }
    }
}
