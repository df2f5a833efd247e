//! Orders that bring the engines to their desired state.
//!
//! An order is absolute: it lists what an engine must hold, not what to add, so that an order that
//! is executed twice or late is corrected after the next read of the engine's state. Engines that
//! check fencing tokens refuse the orders of a former holder. On other engines a late order may
//! take effect; it is found and corrected when the state is read back.

use fl_protocol::engine::{EngineOrder, EngineState};
use fl_protocol::{FencingToken, ModelName, VmName};
use std::time::Duration;

/// Role of an engine that serves requests.
pub const SERVING_ROLE: &str = "serve";

/// Models and adapters that an engine must hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// VM of the runner.
    pub runner: VmName,
    /// Names of the models and adapters, sorted.
    pub models: Vec<ModelName>,
}

/// Returns the order that an engine needs, or `None` if it is in the desired state already.
pub fn compute_order(
    desired: &DesiredState,
    found: &EngineState,
    fencing: FencingToken,
) -> Option<EngineOrder> {
    if found.models == desired.models && found.role == SERVING_ROLE {
        return None;
    }
    Some(EngineOrder { fencing, models: desired.models.clone(), role: SERVING_ROLE.to_string() })
}

/// Returns the time from which a new holder may give orders.
///
/// The last order of a former holder was sent before its lease ended and is completed within the
/// order timeout. Engines that ignore fencing tokens must not get a new order before that.
pub fn earliest_order_at(acquired_at: Duration, order_timeout: Duration) -> Duration {
    acquired_at + order_timeout
}
