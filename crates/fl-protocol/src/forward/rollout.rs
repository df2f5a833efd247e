//! Operators' orders to move a service to a new software version, and how far such a move is.

use super::StoreVersion;
use crate::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Order to move a service's traffic to a software version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that its traffic is moved to; empty if the order was withdrawn.
    pub software_version: String,
    /// Time within which all traffic has to be moved.
    pub duration: Duration,
    /// When the row was written; for a withdrawn order, when it was removed at the latest.
    pub written_at: StoreVersion,
}

impl RolloutOrder {
    /// Creates the news that the order for a service was withdrawn.
    pub fn withdrawn(service: &str, at: StoreVersion) -> Self {
        RolloutOrder {
            service: service.to_string(),
            software_version: String::new(),
            duration: Duration::ZERO,
            written_at: at,
        }
    }

    /// Returns whether the order was withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.software_version.is_empty()
    }

    /// Returns whether the rows are the same, also if the store came back from an older copy between
    /// the two reads.
    pub fn is_same_row(&self, other: &RolloutOrder) -> bool {
        self.service == other.service
            && self.software_version == other.software_version
            && self.duration == other.duration
            && self.written_at.revision == other.written_at.revision
    }
}

/// Orders that were read from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutOrders {
    /// The orders, one for each service, and those that were withdrawn as far as the read tells.
    pub orders: Vec<RolloutOrder>,
    /// Keys of rows that cannot be read, with the reasons.
    pub invalid_rows: Vec<(String, String)>,
    /// Whether these are all orders, so that others were withdrawn.
    pub is_whole: bool,
}

/// What the store says of how far a rollout is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The new version is watched.
    Watching,
    /// All new calls go to the new version.
    Moving,
    /// The move is over.
    Completed,
    /// The move was given up.
    RolledBack,
}

/// The system's row on the rollout of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that its traffic is moved to.
    pub software_version: String,
    /// How far the move is.
    pub state: RolloutState,
    /// Revision of the order's row.
    pub order: u64,
    /// When the order was first seen, in Unix milliseconds.
    pub ordered_ms: u64,
    /// Versions that were rolled back and that no order named since.
    pub excluded: Vec<String>,
    /// Number of nodes that were known when the order was first seen.
    pub nodes: usize,
    /// Revision of this row; 0 if it was not written yet.
    pub revision: u64,
}
