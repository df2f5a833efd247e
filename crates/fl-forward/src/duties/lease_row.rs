//! Reads and writes the row of the duties' lease in the platform's store.
//!
//! A store that came back from an older copy repeats revisions, so those of two incarnations cannot be
//! compared.
//! See `docs/design/080-leases-and-fencing.md`.

use super::DUTY_TABLE;
use crate::log::event::DutyRowUnreadable;
use crate::node::Node;
use fl_fleet::{LeaseRow, LeaseWrite};
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::{PlatformError, StoreRevision, StoredRow, WriteOutcome};

/// Key of the row in the table of the duties.
const LEASE_KEY: &str = "lease";

/// Returns the store's newest incarnation; 0 before its first response.
pub(super) fn store_incarnation(node: &Node) -> u64 {
    node.platform.store.incarnation().unwrap_or(0)
}

/// Returns whether the store has responded in a later incarnation.
pub(super) fn is_store_newer(node: &Node, incarnation: u64) -> bool {
    store_incarnation(node) > incarnation
}

/// Reads the row and its revision, `None` if there is none.
pub(super) async fn read_lease(node: &Node) -> Result<Option<StoredRow>, PlatformError> {
    let result = node.platform.store.read_row(DUTY_TABLE, LEASE_KEY).await;
    node.count_store_call("lease", result.is_ok());
    result
}

/// Writes the row if it still has the revision that the write expects.
pub(super) async fn write_lease(
    node: &Node,
    lease_write: &LeaseWrite,
) -> Result<WriteOutcome, PlatformError> {
    let value = serde_json::to_string(&lease_write.row)
        .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
    let result =
        node.platform.store.write_row(DUTY_TABLE, LEASE_KEY, &value, lease_write.revision).await;
    node.count_store_call("lease", result.is_ok());
    result
}

/// Returns the revision and the contents of the row. A row that no node can have written is taken for
/// that of an unknown holder, so that it cannot keep the lease from all nodes.
pub(super) fn parse_row(node: &Node, row: &StoredRow) -> (StoreRevision, LeaseRow) {
    let incarnation = store_incarnation(node);
    let parsed = serde_json::from_str::<LeaseRow>(&row.value).ok();
    let sound_row = parsed.filter(|parsed| parsed.is_plausible(incarnation));
    let lease_row = sound_row.unwrap_or_else(|| {
        node.log.write(&DutyRowUnreadable { key: LEASE_KEY, revision: row.revision });
        let term = node.settings.bounds.lease_duration;
        LeaseRow::of_unknown_holder(incarnation, term, unix_ms())
    });
    (row.revision, lease_row)
}
