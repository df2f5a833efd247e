//! The memory and the connections that all clients of a node share.

use crate::budget::{MemoryBudget, Reservation};
use crate::connection_table::ConnectionTable;
use crate::limits::ClientLimits;
use crate::reserved_buffer::NoMemory;
use std::sync::Arc;
use std::time::Duration;

/// How long a reservation waits for the connections that are closed to make room.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause until an answer asks for memory again. Smaller reservations get their turn meanwhile.
const ANSWER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The memory and the connections that all clients of a node share. Clones share them too.
#[derive(Debug, Clone)]
pub struct ClientResources {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: MemoryBudget,
    callers: ConnectionTable,
    peers: ConnectionTable,
    monitoring_connections_max: usize,
}

impl ClientResources {
    /// Creates the resources of a node that has no client yet.
    pub fn new(limits: ClientLimits) -> Self {
        let shared = Shared {
            budget: MemoryBudget::new(limits.shared_bytes),
            callers: ConnectionTable::new("callers", limits.caller_connections_max),
            peers: ConnectionTable::new("peers", limits.peer_connections_max),
            monitoring_connections_max: limits.monitoring_connections_max,
        };
        ClientResources { shared: Arc::new(shared) }
    }

    /// Returns the connections of callers.
    pub fn callers(&self) -> &ConnectionTable {
        &self.shared.callers
    }

    /// Returns the connections of peers.
    pub fn peers(&self) -> &ConnectionTable {
        &self.shared.peers
    }

    /// Creates the table of one address for monitoring.
    pub fn monitoring_table(&self, name: &'static str) -> ConnectionTable {
        ConnectionTable::new(name, self.shared.monitoring_connections_max)
    }

    /// Returns the memory that connections share for what is larger than included with each.
    pub fn budget(&self) -> &MemoryBudget {
        &self.shared.budget
    }

    /// Reserves shared memory. If too little is free, connections whose clients have stopped are
    /// closed, the one that stopped first before the others.
    ///
    /// # Errors
    ///
    /// Returns an error if too little is free still.
    pub async fn reserve(&self, bytes: usize) -> Result<Reservation, NoMemory> {
        let budget = &self.shared.budget;
        if let Some(reservation) = budget.try_reserve(bytes) {
            return Ok(reservation);
        }
        self.make_room(bytes.saturating_sub(budget.free_bytes()));
        let reserving = tokio::time::timeout(ROOM_TIMEOUT, budget.reserve(bytes)).await;
        reserving.ok().flatten().ok_or(NoMemory)
    }

    /// Reserves shared memory like [`ClientResources::reserve`], and waits until enough is free. For
    /// answers, whose calls have run.
    ///
    /// # Errors
    ///
    /// Returns an error if there is less memory than that in all.
    pub async fn reserve_for_answer(&self, bytes: usize) -> Result<Reservation, NoMemory> {
        while bytes <= self.shared.budget.total_bytes() {
            if let Ok(reservation) = self.reserve(bytes).await {
                return Ok(reservation);
            }
            tokio::time::sleep(ANSWER_RETRY_DELAY).await;
        }
        Err(NoMemory)
    }

    fn make_room(&self, bytes: usize) {
        let mut freed_bytes = 0;
        while freed_bytes < bytes {
            let tables = [&self.shared.callers, &self.shared.peers];
            let closed = tables.into_iter().find_map(ConnectionTable::close_stopped_holder);
            let Some(closed_bytes) = closed else { return };
            freed_bytes += closed_bytes;
        }
    }
}
