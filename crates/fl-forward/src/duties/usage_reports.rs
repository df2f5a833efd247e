//! Reports of usage: one a window, the same whoever sends it.
//!
//! A report is written to the store before it is sent, so that another holder sends the very same
//! one if this node does not get to it.

use super::DUTY_TABLE;
use crate::clock::boot_time;
use crate::log::event::UsageReported;
use crate::node::Node;
use crate::usage::{WindowCounts, add_count, window_number};
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::{DutyLease, PlatformError, StoreRevision, WriteOutcome};
use std::time::Duration;

const USAGE_KEY: &str = "usage";
/// How long after a window's end the peers' counts are waited for at least.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// What is left of the time for a report when silent peers are no longer waited for.
const LATEST_MARGIN: Duration = Duration::from_millis(4000);

/// What was reported last.
#[derive(Debug, Default)]
pub struct Reports {
    last: Option<Written>,
    is_sent: bool,
    fencing: u64,
}

#[derive(Debug)]
struct Written {
    report: WindowCounts,
    revision: StoreRevision,
}

/// Sends what is due.
pub async fn send_due_reports(
    node: &Node,
    token: &DutyLease,
    reports: &mut Reports,
) -> Result<(), PlatformError> {
    if reports.fencing != token.fencing {
        *reports = load(node, token.fencing).await?;
    }
    if !reports.is_sent {
        return send(node, token, reports).await;
    }
    let Some(window) = due_window(node, reports) else { return Ok(()) };
    let report = WindowCounts { window, counts: collect(node, window) };
    write(node, reports, report).await?;
    send(node, token, reports).await
}

/// Reads what the holder before reported last; it is sent again, since that may not have arrived.
async fn load(node: &Node, fencing: u64) -> Result<Reports, PlatformError> {
    let row = node.platform.store.read_row(DUTY_TABLE, USAGE_KEY).await?;
    let Some(row) = row else { return Ok(Reports { last: None, is_sent: true, fencing }) };
    let report = serde_json::from_str(&row.value)
        .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
    let last = Some(Written { report, revision: row.revision });
    Ok(Reports { last, is_sent: false, fencing })
}

/// The window to report now, if one is due.
fn due_window(node: &Node, reports: &Reports) -> Option<u64> {
    let bounds = &node.settings.bounds;
    let length_ms = bounds.usage_window.as_millis() as u64;
    let now_ms = unix_ms();
    let current = window_number(now_ms, bounds.usage_window);
    let overdue = bounds.usage_delay.as_millis() as u64 / length_ms.max(1);
    let oldest = current.saturating_sub(overdue);
    let window = reports.last.as_ref().map_or(oldest, |last| (last.report.window + 1).max(oldest));
    let ended_ms = now_ms.checked_sub((window + 1) * length_ms)?;
    let since_end = Duration::from_millis(ended_ms);
    if since_end < SETTLE_TIME {
        return None;
    }
    let settled_at = boot_time().saturating_sub(since_end.saturating_sub(SETTLE_TIME / 2));
    let is_late = since_end + LATEST_MARGIN >= bounds.usage_delay;
    (is_late || node.peers.all_reported_since(settled_at)).then_some(window)
}

fn collect(node: &Node, window: u64) -> Vec<(String, u64)> {
    let mut counts = Vec::new();
    let of_peers = node.peers.usage().into_iter().flatten();
    for counted in node.usage.all().into_iter().chain(of_peers) {
        if counted.window == window {
            for (workspace, calls) in counted.counts {
                add_count(&mut counts, &workspace, calls);
            }
        }
    }
    counts
}

async fn write(
    node: &Node,
    reports: &mut Reports,
    report: WindowCounts,
) -> Result<(), PlatformError> {
    let value = serde_json::to_string(&report)
        .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
    let expected = reports.last.as_ref().map_or(0, |last| last.revision);
    let written = node.platform.store.write_row(DUTY_TABLE, USAGE_KEY, &value, expected).await;
    match written {
        Ok(WriteOutcome::Written(revision)) => {
            reports.last = Some(Written { report, revision });
            reports.is_sent = false;
            Ok(())
        }
        Ok(WriteOutcome::Conflict(_)) | Err(_) => {
            // What is in the row decides, whoever wrote it.
            reports.fencing = 0;
            written.map(|_| ())
        }
    }
}

async fn send(node: &Node, token: &DutyLease, reports: &mut Reports) -> Result<(), PlatformError> {
    let (Some(duties), Some(last)) = (&node.platform.duties, &reports.last) else { return Ok(()) };
    let report = &last.report;
    let sent = duties.report_usage(token, report.window, &report.counts).await;
    let calls = report.counts.iter().map(|(_, calls)| calls).sum();
    let outcome = if sent.is_ok() { "accepted" } else { "not accepted" };
    let (window, fencing) = (report.window, token.fencing);
    node.log.write(&UsageReported { window, calls, fencing, outcome });
    reports.is_sent = sent.is_ok();
    sent
}
