//! What the calls of a node and the task that stores the origins of streams tell each other.

use fl_protocol::UnixMs;
use fl_routing::origin_log::LoggedOrigin;
use parking_lot::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Streams that wait for the task. More are not stored.
const QUEUE_MAX: usize = 4096;

/// The queue of the streams to store, and the reads of those that are stored.
pub(super) struct OriginStoring {
    queue: Mutex<Vec<LoggedOrigin>>,
    /// Whether this node may be the writer of its data centre. It may until it knows better, so that
    /// streams which begin right after its start are stored.
    may_write: AtomicBool,
    /// Notified when the task has something to do.
    changed: Notify,
    /// Number of reads of the stored rows.
    reads: watch::Sender<u64>,
    is_read_wanted: AtomicBool,
}

impl Default for OriginStoring {
    fn default() -> Self {
        OriginStoring {
            queue: Mutex::default(),
            may_write: AtomicBool::new(true),
            changed: Notify::new(),
            reads: watch::Sender::new(0),
            is_read_wanted: AtomicBool::new(false),
        }
    }
}

impl OriginStoring {
    /// Adds a stream to the queue. Ignored if another node is the writer. `is_due` says whether it is
    /// known that it has to be stored.
    pub(super) fn add(&self, logged: LoggedOrigin, is_due: bool) {
        if !self.may_write.load(Ordering::Relaxed) {
            return;
        }
        let mut queue = self.queue.lock();
        if queue.len() < QUEUE_MAX {
            queue.push(logged);
        }
        if is_due {
            self.changed.notify_one();
        }
    }

    /// Takes the queue.
    pub(super) fn take(&self) -> Vec<LoggedOrigin> {
        std::mem::take(&mut self.queue.lock())
    }

    /// Drops what was added before a Unix time.
    pub(super) fn drop_before(&self, unix_ms: UnixMs) {
        self.queue.lock().retain(|(_, _, at_ms)| *at_ms >= unix_ms);
    }

    /// Sets whether this node is the writer.
    pub(super) fn set_writer(&self, is_writer: bool) {
        self.may_write.store(is_writer, Ordering::Relaxed);
    }

    /// Wakes the task.
    pub(super) fn notify(&self) {
        self.changed.notify_one();
    }

    /// Waits until the task has something to do, at most for a time.
    pub(super) async fn wait_for_work(&self, at_most: Duration) {
        // Both outcomes mean that the task looks again.
        let _ = tokio::time::timeout(at_most, self.changed.notified()).await;
    }

    /// Returns whether a call waits for another read.
    pub(super) fn is_read_wanted(&self) -> bool {
        self.is_read_wanted.load(Ordering::Relaxed)
    }

    /// Returns whether the rows were read.
    pub(super) fn has_read(&self) -> bool {
        *self.reads.borrow() > 0
    }

    /// Notes that the stored rows were read.
    pub(super) fn note_read(&self) {
        self.is_read_wanted.store(false, Ordering::Relaxed);
        self.reads.send_modify(|reads| *reads += 1);
    }

    /// Waits until the rows were read for the first time, at most for a time.
    pub(super) async fn wait_for_first_read(&self, at_most: Duration) {
        self.wait_for_reads(1, at_most).await;
    }

    /// Asks for another read and waits for it, at most for a time.
    pub(super) async fn read_again(&self, at_most: Duration) {
        let read = *self.reads.borrow();
        self.is_read_wanted.store(true, Ordering::Relaxed);
        self.changed.notify_one();
        self.wait_for_reads(read + 1, at_most).await;
    }

    async fn wait_for_reads(&self, count: u64, at_most: Duration) {
        let mut reads = self.reads.subscribe();
        // After the time limit the caller goes on with what is known.
        let _ = tokio::time::timeout(at_most, reads.wait_for(|reads| *reads >= count)).await;
    }
}
