//! Usage reports: one for each window, the same whichever node sends it.
//!
//! A report is written to the store before it is sent. If this node fails to send it, the next
//! holder of the lease sends exactly the same report. A store that comes back from an older copy has
//! lost such rows. See `docs/design/100-on-the-platform.md`.

use super::DUTY_TABLE;
use super::call_timer::CallTimer;
use super::lease_row::store_incarnation;
use super::tenure::first_call_wait;
use crate::clock::boot_time;
use crate::log::event::{DutyRowUnreadable, UsageReported, UsageRowOutdated};
use crate::node::Node;
use crate::usage::{WindowCounts, add_count, window_number};
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::{DutyLease, PlatformError, StoreRevision, StoredRow, WriteOutcome};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const USAGE_KEY: &str = "usage";
/// Shortest wait after a window's end for the peers' counts.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// A report that would be overdue within this time is sent without waiting for silent peers. The time
/// covers a handover of the lease, to which the wait before the new holder's first call is added.
const OVERDUE_MARGIN: Duration = Duration::from_millis(4000);

/// By how much the wall clock of the node that wrote a row may be ahead of this one's.
const CLOCK_ERROR_MAX: Duration = Duration::from_secs(3600);

/// The last report and whether it was sent.
#[derive(Debug, Default)]
pub struct ReportState {
    last: Option<StoredReport>,
    is_sent: bool,
    /// The fencing token of the lease under which the last report was read.
    fencing: u64,
    /// The first window that may be reported, if other nodes may have sent later reports than the last
    /// one. Their counts may have changed since, so a second report could contradict the first.
    first_reportable: Option<u64>,
    /// The incarnation in which the store came back while this node held the lease. No other node
    /// sent reports between the last one of this node and then.
    held_until_incarnation: Option<u64>,
}

/// The last report as the store holds it.
#[derive(Debug, Serialize, Deserialize)]
struct ReportRow {
    #[serde(flatten)]
    report: WindowCounts,
    /// The store's incarnation before the row was written. Rows of former builds have none and count
    /// as the oldest.
    #[serde(default)]
    incarnation: u64,
}

#[derive(Debug)]
struct StoredReport {
    report: WindowCounts,
    revision: StoreRevision,
}

/// Sends the report that is due, if any.
pub async fn send_due_reports(
    node: &Node,
    duty_lease: &DutyLease,
    reports: &mut ReportState,
) -> Result<(), PlatformError> {
    if reports.fencing != duty_lease.fencing {
        *reports = load_last(node, duty_lease.fencing, reports).await?;
    }
    if !reports.is_sent {
        return send_last(node, duty_lease, reports).await;
    }
    let Some(window) = due_window(node, reports) else { return Ok(()) };
    let report = WindowCounts { window, counts: sum_counts(node, window) };
    store_report(node, reports, report).await?;
    send_last(node, duty_lease, reports).await
}

impl ReportState {
    /// Notes that the store came back in an incarnation while this node held the lease.
    pub fn note_held_until(&mut self, incarnation: u64) {
        self.held_until_incarnation = Some(incarnation);
    }
}

/// Reads the previous holder's last report. It is sent again, as it may not have arrived.
///
/// The last report that this node stored itself is newer than that of the row if the store has come
/// back from an older copy.
async fn load_last(
    node: &Node,
    fencing: u64,
    own: &ReportState,
) -> Result<ReportState, PlatformError> {
    let read = node.platform.store.read_row(DUTY_TABLE, USAGE_KEY).await;
    node.count_store_call("usage", read.is_ok());
    let row = read?;
    let revision = row.as_ref().map_or(0, |row| row.revision);
    let stored = row.as_ref().and_then(|row| parse_row(node, row));
    let is_unreadable = row.is_some() && stored.is_none();
    node.note_incarnation(store_incarnation(node));
    let (incarnation, seen_at) = node.store_incarnation();
    let row_incarnation = stored.as_ref().map_or(0, |row| row.incarnation);
    let is_last_newest =
        row_incarnation == incarnation || own.held_until_incarnation == Some(incarnation);
    let first_reportable = if is_unreadable {
        Some(window_at(node, boot_time()))
    } else if is_last_newest {
        None
    } else {
        node.log.write(&UsageRowOutdated { incarnation, row_incarnation });
        Some(window_at(node, seen_at))
    };
    let newer = own
        .last
        .as_ref()
        .map(|last| &last.report)
        .filter(|own| stored.as_ref().is_none_or(|row| own.window > row.report.window));
    let (last, is_sent) = match (newer, stored) {
        (Some(report), _) => (Some(report.clone()), own.is_sent),
        (None, Some(row)) => (Some(row.report), false),
        (None, None) => (None, true),
    };
    let last = last.map(|report| StoredReport { report, revision });
    let held_until_incarnation = own.held_until_incarnation;
    Ok(ReportState { last, is_sent, fencing, first_reportable, held_until_incarnation })
}

/// Returns the contents of a row, `None` if no node can have written it.
fn parse_row(node: &Node, row: &StoredRow) -> Option<ReportRow> {
    let latest_ms = unix_ms() + CLOCK_ERROR_MAX.as_millis() as u64;
    let latest = window_number(latest_ms, node.settings.bounds.usage_window);
    let parsed = serde_json::from_str::<ReportRow>(&row.value).ok();
    let sound_row = parsed.filter(|parsed| parsed.report.window <= latest);
    if sound_row.is_none() {
        node.log.write(&DutyRowUnreadable { key: USAGE_KEY, revision: row.revision });
    }
    sound_row
}

/// Returns the window of a boot time that has passed.
fn window_at(node: &Node, time: Duration) -> u64 {
    let since = boot_time().saturating_sub(time);
    let then_ms = unix_ms().saturating_sub(since.as_millis() as u64);
    window_number(then_ms, node.settings.bounds.usage_window)
}

/// Returns the window whose report is due, if any.
fn due_window(node: &Node, reports: &ReportState) -> Option<u64> {
    let bounds = &node.settings.bounds;
    let length_ms = bounds.usage_window.as_millis() as u64;
    let now_ms = unix_ms();
    let current = window_number(now_ms, bounds.usage_window);
    let overdue = bounds.usage_delay.as_millis() as u64 / length_ms.max(1);
    let oldest = current.saturating_sub(overdue);
    let oldest = reports.first_reportable.map_or(oldest, |first| first.max(oldest));
    let window = reports.last.as_ref().map_or(oldest, |last| (last.report.window + 1).max(oldest));
    let ended_ms = now_ms.checked_sub((window + 1) * length_ms)?;
    let since_end = Duration::from_millis(ended_ms);
    if since_end < SETTLE_TIME {
        return None;
    }
    let settled_at = boot_time().saturating_sub(since_end.saturating_sub(SETTLE_TIME / 2));
    let overdue_margin = OVERDUE_MARGIN + first_call_wait(node);
    let is_late = since_end + overdue_margin >= bounds.usage_delay;
    (is_late || node.peers.all_reported_since(settled_at)).then_some(window)
}

/// Returns the sums of the counts of all nodes in a window, by workspace.
fn sum_counts(node: &Node, window: u64) -> Vec<(String, u64)> {
    let mut counts = Vec::new();
    let peer_counts = node.peers.usage().into_iter().flatten();
    for counted in node.usage.all().into_iter().chain(peer_counts) {
        if counted.window == window {
            for (workspace, calls) in counted.counts {
                add_count(&mut counts, &workspace, calls);
            }
        }
    }
    counts
}

/// Writes a report to the store, so that a later holder of the lease sends the same one.
async fn store_report(
    node: &Node,
    reports: &mut ReportState,
    report: WindowCounts,
) -> Result<(), PlatformError> {
    let row = ReportRow { report, incarnation: store_incarnation(node) };
    let value = serde_json::to_string(&row)
        .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
    let expected = reports.last.as_ref().map_or(0, |last| last.revision);
    let written = node.platform.store.write_row(DUTY_TABLE, USAGE_KEY, &value, expected).await;
    node.count_store_call("usage", written.is_ok());
    match written {
        Ok(WriteOutcome::Written(revision)) => {
            reports.last = Some(StoredReport { report: row.report, revision });
            reports.is_sent = false;
            Ok(())
        }
        Ok(WriteOutcome::Conflict(_)) | Err(_) => {
            // The row may hold a report of another node. No lease has the token 0, so the next
            // check reads the row again.
            reports.fencing = 0;
            written.map(|_| ())
        }
    }
}

async fn send_last(
    node: &Node,
    duty_lease: &DutyLease,
    reports: &mut ReportState,
) -> Result<(), PlatformError> {
    let (Some(duties), Some(last)) = (&node.platform.duties, &reports.last) else { return Ok(()) };
    let report = &last.report;
    duty_lease.check(boot_time())?;
    let timer = CallTimer::start("usage report", duty_lease);
    let sent = duties.report_usage(duty_lease, report.window, &report.counts).await;
    let took_ms = timer.stop(sent.as_ref().err());
    let lease_left_ms = timer.lease_left_ms();
    let calls = report.counts.iter().fold(0, |sum: u64, (_, calls)| sum.saturating_add(*calls));
    let outcome = if sent.is_ok() { "accepted" } else { "not accepted" };
    let (window, fencing) = (report.window, duty_lease.fencing);
    node.log.write(&UsageReported { window, calls, fencing, lease_left_ms, took_ms, outcome });
    reports.is_sent = sent.is_ok();
    sent
}
