//! A budget of memory from which parts are reserved before they are used.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A budget of memory, in bytes. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    free_bytes: Arc<Semaphore>,
    total_bytes: usize,
}

/// A reserved part of a budget, which is given back when it is dropped.
#[derive(Debug)]
pub struct Reservation(OwnedSemaphorePermit);

impl Reservation {
    /// Returns its size in bytes.
    pub fn bytes(&self) -> usize {
        self.0.num_permits()
    }
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(total_bytes: usize) -> Self {
        let total_bytes = total_bytes.min(Semaphore::MAX_PERMITS);
        MemoryBudget { free_bytes: Arc::new(Semaphore::new(total_bytes)), total_bytes }
    }

    /// Reserves bytes; returns `None` if fewer are free.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let bytes = u32::try_from(bytes).ok()?;
        self.free_bytes.clone().try_acquire_many_owned(bytes).ok().map(Reservation)
    }

    /// Reserves bytes, as soon as so many are free; returns `None` if the budget is smaller.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        if bytes > self.total_bytes {
            return None;
        }
        let bytes = u32::try_from(bytes).ok()?;
        self.free_bytes.clone().acquire_many_owned(bytes).await.ok().map(Reservation)
    }

    /// Returns the bytes that may still be reserved.
    pub fn free_bytes(&self) -> usize {
        self.free_bytes.available_permits()
    }

    /// Returns the size of the budget in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}
