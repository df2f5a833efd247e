//! Writes the outcomes of claims to the table, with retries, until they are known to be there.

use super::NodeLedger;
use fl_ledger::{ClaimNonce, ReadOutcome, Settlement, SettlementStep, WriteOutcome};
use fl_protocol::{RequestId, format_request_id};
use std::time::Duration;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

impl NodeLedger {
    pub(super) fn settle_in_background(
        &self,
        id: RequestId,
        nonce: ClaimNonce,
        settlement: Settlement,
    ) {
        let Some(ledger) = self.weak_self.upgrade() else {
            return;
        };
        let shutdown = self.context.shutdown.clone();
        self.context.spawn(async move {
            let key = format_request_id(id);
            let settled = shutdown.run_until_cancelled(ledger.settle(&key, &settlement)).await;
            if settled.is_some() {
                ledger.local_claims.set_status(nonce, None);
            }
        });
    }

    async fn settle(&self, key: &str, settlement: &Settlement) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            let ReadOutcome::Row(found) = self.store.read(key).await else {
                continue;
            };
            let written = match settlement.step(found.as_ref()) {
                SettlementStep::Settled => return,
                SettlementStep::Write(revision, row) => self.store.write(key, revision, row).await,
            };
            if matches!(written, WriteOutcome::Committed(_)) {
                return;
            }
        }
    }
}
