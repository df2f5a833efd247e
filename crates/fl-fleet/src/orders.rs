//! Which orders bring the engines to the wanted state.
//!
//! Orders are absolute: they say what an engine shall hold, never what to add, so that obeying one
//! twice or late does no harm that the next reading does not repair. Engines that check fencing
//! numbers refuse a former holder's orders; on the others a late one may take effect, and is found
//! and repaired when the state is read back.

use fl_protocol::engine::{EngineOrder, EngineState};
use fl_protocol::{FencingNumber, ModelName, VmName};
use std::time::Duration;

/// The role of an engine that serves requests.
pub const SERVING_ROLE: &str = "serve";

/// What an engine shall hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// The runner.
    pub runner: VmName,
    /// Models and adapters, sorted.
    pub models: Vec<ModelName>,
}

/// The order that an engine needs, if it differs from what is wanted.
pub fn compute_order(
    wanted: &DesiredState,
    found: &EngineState,
    fencing: FencingNumber,
) -> Option<EngineOrder> {
    if found.models == wanted.models && found.role == SERVING_ROLE {
        return None;
    }
    Some(EngineOrder { fencing, models: wanted.models.clone(), role: SERVING_ROLE.to_string() })
}

/// When a new holder may give its first order.
///
/// A former holder's last order left before its lease ended and is through after the order timeout;
/// engines that ignore fencing numbers must not get a new order before that.
pub fn earliest_order_at(acquired_at: Duration, order_timeout: Duration) -> Duration {
    acquired_at + order_timeout
}
