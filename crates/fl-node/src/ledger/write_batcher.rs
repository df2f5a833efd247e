//! Batches the writes that arrive while a transaction is in flight into the next one.

use super::claim_store::{OutageMonitor, TABLE, parse_row};
use fl_ledger::WriteOutcome;
use fl_platform::table::is_definite_failure;
use fl_platform::{HttpError, TableClient};
use fl_protocol::platform::{Condition, Put, Row, Transaction, TransactionResponse};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Rows that one transaction writes at most.
const MAX_ROWS_PER_TRANSACTION: usize = 64;

/// A conditional write that waits for the next transaction.
pub struct PendingWrite {
    /// The key of the row.
    pub key: String,
    /// The revision that the row must have; 0 if there must be no row.
    pub revision: u64,
    /// The value to write.
    pub value: String,
    /// Receives the outcome of the write.
    pub reply: oneshot::Sender<WriteOutcome>,
}

/// Batches writes into transactions, of which one is in flight at a time.
pub struct WriteBatcher {
    client: Arc<TableClient>,
    outage: Arc<OutageMonitor>,
}

impl WriteBatcher {
    /// Creates a batcher that reports failures to `outage`.
    pub fn new(client: Arc<TableClient>, outage: Arc<OutageMonitor>) -> Self {
        WriteBatcher { client, outage }
    }

    /// Writes what arrives until all senders are dropped.
    pub async fn run(self, mut arriving: mpsc::Receiver<PendingWrite>) {
        let mut waiting: Vec<PendingWrite> = Vec::new();
        loop {
            if waiting.is_empty() {
                match arriving.recv().await {
                    Some(write) => waiting.push(write),
                    None => return,
                }
            }
            while waiting.len() < MAX_ROWS_PER_TRANSACTION
                && let Ok(write) = arriving.try_recv()
            {
                waiting.push(write);
            }
            let (batch, next) = split_by_key(waiting);
            waiting = next;
            waiting.extend(self.write(batch).await);
        }
    }

    /// Sends one transaction and returns the writes to send again.
    ///
    /// These are the writes whose own condition held in a transaction that failed because of the
    /// condition of another write.
    async fn write(&self, batch: Vec<PendingWrite>) -> Vec<PendingWrite> {
        metrics::counter!("fl_ledger_transactions_total").increment(1);
        metrics::counter!("fl_ledger_rows_total").increment(batch.len() as u64);
        match self.client.transact(&build_transaction(&batch)).await {
            Ok(response) if response.committed => {
                reply_committed(batch, &response);
                Vec::new()
            }
            Ok(response) => reply_conflicts(batch, &response),
            Err(error) => {
                self.reply_failed(batch, &error);
                Vec::new()
            }
        }
    }

    fn reply_failed(&self, batch: Vec<PendingWrite>, error: &HttpError) {
        // A broken connection or a timeout may be a single lost response and no outage; the row is
        // read back next, which shows whether the service answers.
        if !matches!(error, HttpError::ConnectionLost(..) | HttpError::TimedOut(..)) {
            self.outage.report_failure(error);
        }
        let outcome =
            if is_definite_failure(error) { WriteOutcome::Refused } else { WriteOutcome::Lost };
        for write in batch {
            let _ = write.reply.send(outcome.clone());
        }
    }
}

/// Splits off the first write of each key; later writes of the same key wait for its outcome.
fn split_by_key(waiting: Vec<PendingWrite>) -> (Vec<PendingWrite>, Vec<PendingWrite>) {
    let mut keys: Vec<String> = Vec::new();
    waiting.into_iter().partition(|write| match keys.binary_search(&write.key) {
        Ok(_) => false,
        Err(index) => {
            keys.insert(index, write.key.clone());
            true
        }
    })
}

fn build_transaction(batch: &[PendingWrite]) -> Transaction {
    let condition = |write: &PendingWrite| Condition {
        table: TABLE.to_string(),
        key: write.key.clone(),
        revision: write.revision,
    };
    let put = |write: &PendingWrite| Put {
        table: TABLE.to_string(),
        key: write.key.clone(),
        value: write.value.clone(),
    };
    Transaction {
        conditions: batch.iter().map(condition).collect(),
        puts: batch.iter().map(put).collect(),
    }
}

fn reply_committed(batch: Vec<PendingWrite>, response: &TransactionResponse) {
    for write in batch {
        let revision =
            find_row(response, &write.key).map_or(write.revision + 1, |found| found.revision);
        let _ = write.reply.send(WriteOutcome::Committed(revision));
    }
}

/// Replies to the writes whose conditions failed, and returns the others to be sent again.
fn reply_conflicts(batch: Vec<PendingWrite>, response: &TransactionResponse) -> Vec<PendingWrite> {
    let current_revision =
        |write: &PendingWrite| find_row(response, &write.key).map_or(0, |found| found.revision);
    let is_conflict = |write: &PendingWrite| current_revision(write) != write.revision;
    let none_failed = !batch.iter().any(is_conflict);
    let (conflicts, others): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_conflict);
    for write in conflicts {
        let outcome = match find_row(response, &write.key).map(parse_row).transpose() {
            Ok(found) => WriteOutcome::Conflict(found),
            Err(_) => WriteOutcome::Refused,
        };
        let _ = write.reply.send(outcome);
    }
    if !none_failed {
        return others;
    }
    // The response reports a conflict but no failed condition. The outcome is unknown, so the
    // writers read their rows back.
    for write in others {
        let _ = write.reply.send(WriteOutcome::Lost);
    }
    Vec::new()
}

fn find_row<'a>(response: &'a TransactionResponse, key: &str) -> Option<&'a Row> {
    response.rows.iter().find(|row| row.key == key)
}
