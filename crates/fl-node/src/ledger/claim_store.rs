//! The ledger's rows in the table service, and the monitoring of the service's outages.

use super::write_batcher::{PendingWrite, WriteBatcher};
use crate::context::ServiceContext;
use fl_kernel::names;
use fl_kernel::services::EventLog;
use fl_ledger::{ClaimRow, ReadOutcome, VersionedRow, WriteOutcome};
use fl_platform::{HttpError, TableClient};
use fl_protocol::event::EventKind;
use fl_protocol::platform::Row;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The name of the ledger's table.
pub const TABLE: &str = "calls";
/// The key that is read to probe whether the table service works again.
const PROBE_KEY: &str = "probe";
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Writes that wait for a transaction at most; further callers wait to queue theirs.
const MAX_WAITING_WRITES: usize = 1_024;

/// Reads and writes the ledger's rows, and reports whether the table service is out, so that calls
/// can be refused at once.
pub struct ClaimStore {
    client: Arc<TableClient>,
    writes_tx: mpsc::Sender<PendingWrite>,
    outage: Arc<OutageMonitor>,
}

/// Tracks whether the table service is out, so that calls need not wait for a timeout.
pub struct OutageMonitor {
    is_out: AtomicBool,
    client: Arc<TableClient>,
    context: ServiceContext,
}

impl ClaimStore {
    /// Creates the store and starts the task that batches its writes.
    pub fn start(context: &ServiceContext) -> Self {
        let platform = &context.settings.platform;
        let client = Arc::new(TableClient::new(platform.table, platform.request_timeout));
        let (tx, rx) = mpsc::channel(MAX_WAITING_WRITES);
        let outage = Arc::new(OutageMonitor {
            is_out: AtomicBool::new(false),
            client: client.clone(),
            context: context.clone(),
        });
        let batcher = WriteBatcher::new(client.clone(), outage.clone());
        let shutdown = context.shutdown.clone();
        context.spawn(async move {
            let _ = shutdown.run_until_cancelled(batcher.run(rx)).await;
        });
        ClaimStore { client, writes_tx: tx, outage }
    }

    /// Returns whether the table service is out.
    pub fn is_out(&self) -> bool {
        self.outage.is_out.load(Ordering::Relaxed)
    }

    /// Writes a row if its revision in the table is still `revision`; 0 stands for no row.
    pub async fn write(&self, key: &str, revision: u64, row: ClaimRow) -> WriteOutcome {
        let Ok(value) = row.to_json() else {
            return WriteOutcome::Refused;
        };
        let (reply, outcome) = oneshot::channel();
        let pending = PendingWrite { key: key.to_string(), revision, value, reply };
        if self.writes_tx.send(pending).await.is_err() {
            return WriteOutcome::Refused;
        }
        outcome.await.unwrap_or(WriteOutcome::Lost)
    }

    /// Reads a row; a failure is reported to the outage monitor.
    pub async fn read(&self, key: &str) -> ReadOutcome {
        metrics::counter!("fl_ledger_reads_total").increment(1);
        match self.client.read(TABLE, key).await {
            Ok(row) => match row.as_ref().map(parse_row).transpose() {
                Ok(found) => ReadOutcome::Row(found),
                Err(_) => ReadOutcome::Failed,
            },
            Err(error) => {
                self.outage.report_failure(&error);
                ReadOutcome::Failed
            }
        }
    }
}

impl OutageMonitor {
    /// Evaluates a failure; one that shows that the service is out starts the probe.
    pub fn report_failure(self: &Arc<Self>, error: &HttpError) {
        let is_response = matches!(error, HttpError::Status(_, status, _) if *status != 503);
        if is_response || self.is_out.swap(true, Ordering::Relaxed) {
            return;
        }
        self.record("the table service is out");
        let outage = self.clone();
        let shutdown = self.context.shutdown.clone();
        self.context.spawn(async move {
            let _ = shutdown.run_until_cancelled(outage.probe()).await;
        });
    }

    async fn probe(&self) {
        while self.client.read(TABLE, PROBE_KEY).await.is_err() {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        self.is_out.store(false, Ordering::Relaxed);
        self.record("the table service answers again");
    }

    fn record(&self, what: &str) {
        if let Ok(events) = self.context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            events.record(EventKind::PlatformChanged, None, what.to_string());
        }
    }
}

/// Parses a row of the ledger's table.
pub fn parse_row(row: &Row) -> Result<VersionedRow, fl_ledger::RowError> {
    Ok(VersionedRow { revision: row.revision, row: ClaimRow::from_json(&row.value)? })
}
