//! Keeps what is quarantined in the platform's store, for nodes that start when no peer knows it.

use super::merge;
use crate::log::event::DependencyLost;
use crate::node::Node;
use crate::shared_reads::retry_pause;
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::StoredRow;
use fl_protocol::UnixMs;
use fl_routing::crash_suspects::{RETENTION, Suspect, SuspectKey};
use std::sync::Arc;
use std::time::Duration;

/// The table with one row for each quarantined suspect.
const QUARANTINE_TABLE: &str = "quarantine";
/// Pause of a node that reads the store for others after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often the node looks whether the store came back from an older copy, which may lack rows.
const INCARNATION_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A suspect as this node wrote or read it last.
type StoredSuspect = Suspect;

/// Reads what is stored, then writes each change of what this node knows to be quarantined, until
/// the node ends.
pub async fn keep_stored(node: Arc<Node>) {
    let Some(mut stored) = read_all(&node).await else { return };
    let mut incarnation = node.platform.store.incarnation();
    loop {
        let changed = node.crash_suspects.quarantine_changed.notified();
        let waiting = tokio::time::timeout(INCARNATION_CHECK_INTERVAL, changed);
        if node.cancel.run_until_cancelled(waiting).await.is_none() {
            return;
        }
        if node.platform.store.incarnation() != incarnation {
            incarnation = node.platform.store.incarnation();
            stored.clear();
        }
        let mut failures = 0;
        while let Err(error) = write_changes(&node, &mut stored).await {
            if failures == 0 {
                node.log.write(&DependencyLost { dependency: "quarantine table", error });
            }
            failures += 1;
            if node.sleep(retry_pause(&node, RETRY_DELAY, failures)).await.is_none() {
                return;
            }
        }
    }
}

/// Reads all rows and applies them. Returns `None` if the node ends before.
async fn read_all(node: &Node) -> Option<Vec<StoredSuspect>> {
    let mut failures = 0;
    loop {
        let rows = node.platform.store.read_rows(QUARANTINE_TABLE).await;
        node.count_store_call("quarantine", rows.is_ok());
        if let Ok(rows) = rows {
            let known: Vec<Suspect> = rows.iter().filter_map(parse_row).collect();
            merge(node, &known, "store");
            return Some(known);
        }
        failures += 1;
        node.sleep(retry_pause(node, RETRY_DELAY, failures)).await?;
    }
}

/// Returns the suspect of a row, `None` if it cannot be read or is too old to count.
fn parse_row(row: &StoredRow) -> Option<Suspect> {
    let suspect: Suspect = serde_json::from_str(&row.value).ok()?;
    let last_crash_ms = suspect.crashes.iter().map(|crash| crash.crashed_ms).max();
    let age_ms = unix_ms().saturating_sub(last_crash_ms.unwrap_or(UnixMs::MAX));
    (age_ms < RETENTION.as_millis() as UnixMs).then_some(suspect)
}

/// Writes what was quarantined or cleared since it was last stored.
async fn write_changes(node: &Node, stored: &mut Vec<StoredSuspect>) -> Result<(), String> {
    for suspect in changed_suspects(node, stored) {
        write(node, &suspect).await?;
        stored.retain(|known| known.key != suspect.key);
        stored.push(suspect);
    }
    Ok(())
}

/// Returns the quarantined suspects whose rows are missing, and the cleared ones whose rows this
/// node knows.
fn changed_suspects(node: &Node, stored: &[StoredSuspect]) -> Vec<Suspect> {
    let suspects = node.crash_suspects.suspects.lock();
    let is_stored = |suspect: &Suspect| {
        stored
            .iter()
            .any(|known| known.key == suspect.key && known.generation == suspect.generation)
    };
    let current = stored.iter().filter_map(|known| suspects.suspect(known.key));
    let cleared = current.filter(|suspect| suspect.crashes.is_empty() && !is_stored(suspect));
    let mut changed: Vec<Suspect> = cleared.cloned().collect();
    changed.extend(suspects.to_store().into_iter().filter(|suspect| !is_stored(suspect)));
    changed
}

async fn write(node: &Node, suspect: &Suspect) -> Result<(), String> {
    let store = &node.platform.store;
    let key = row_key(suspect.key);
    let row = store.read_row(QUARANTINE_TABLE, &key).await;
    node.count_store_call("quarantine", row.is_ok());
    let row = row.map_err(|error| error.to_string())?;
    if row.as_ref().and_then(parse_row).is_some_and(|known| known.generation >= suspect.generation)
    {
        return Ok(());
    }
    let expected = row.map_or(0, |row| row.revision);
    let value = serde_json::to_string(suspect).map_err(|error| error.to_string())?;
    // Another node may write at the same time; either row quarantines the suspect.
    let written = store.write_row(QUARANTINE_TABLE, &key, &value, expected).await;
    node.count_store_call("quarantine", written.is_ok());
    written.map(|_| ()).map_err(|error| error.to_string())
}

fn row_key(key: SuspectKey) -> String {
    match key {
        SuspectKey::PromptPart(id) => format!("part-{id:016x}"),
        SuspectKey::Content(id) => format!("content-{id:016x}"),
    }
}
