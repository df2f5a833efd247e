//! Reads of the route table from the store, whole or as changes.
//!
//! A read whose response has begun is never abandoned, whatever versions are reported meanwhile: on
//! a slow link a large table takes seconds, and a read that begins anew for each version would never
//! end while versions follow each other. See `docs/design/100-on-the-platform.md`.

use crate::clock::boot_time;
use crate::log::event::{
    DependencyLost, DependencyRegained, RolloutOrderUnreadable, TableInForce, TableReadFailed,
    TableReadRestarted, TableUnreadable,
};
use crate::node::Node;
use crate::shared_reads::{announce_return, chosen_reader, retry_pause};
use fl_kernel::forward::{PlatformError, RouteTableRead, RouteTableResponse};
use fl_protocol::forward::StoreVersion;
use std::sync::Arc;
use std::time::Duration;

/// Name of the route table as a dependency, in log lines and metrics.
const DEPENDENCY: &str = "operators' table";
/// Shortest sleep before a node checks the table's age again.
const SLEEP_MIN: Duration = Duration::from_millis(10);
/// Pause before the whole table is read because the store has no history of its changes.
const HISTORY_GONE_DELAY: Duration = Duration::from_millis(100);
/// Pause of a node that reads for others after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest pause once a peer knows a newer version, as a divisor of the propagation bound.
const NEWER_VERSION_DIVISOR: u32 = 8;

/// Keeps the route table up to date until the node ends.
pub async fn watch(node: Arc<Node>) {
    let reader = TableReader { node: &node, after: None, outage: None };
    node.cancel.run_until_cancelled(reader.run()).await;
}

/// Reads the route table again and again.
struct TableReader<'a> {
    node: &'a Node,
    /// Version of the store after which to wait for changes; `None` if the whole table has to be read.
    after: Option<StoreVersion>,
    outage: Option<Outage>,
}

/// Reads that have failed since the last successful one.
struct Outage {
    /// Boot time of the first failure.
    since: Duration,
    failures: u32,
}

/// Outcome of a wait for a change.
enum WaitOutcome {
    /// The store has responded, or the call failed.
    Ended(Result<StoreVersion, PlatformError>),
    /// A peer reported this newer version before the store responded.
    NewerVersion(u64),
}

impl TableReader<'_> {
    async fn run(mut self) {
        loop {
            let started_at = boot_time();
            let outcome = match self.after {
                None => WaitOutcome::Ended(self.read_whole().await),
                Some(version) => self.wait_for_change(version).await,
            };
            match outcome {
                WaitOutcome::NewerVersion(reported_version) => {
                    self.after = None;
                    let read_ms = millis_since(started_at);
                    self.node.log.write(&TableReadRestarted { read_ms, reported_version });
                }
                WaitOutcome::Ended(result) => {
                    self.node.count_store_call(DEPENDENCY, result.is_ok());
                    self.note_result(result, started_at).await;
                }
            }
        }
    }

    /// Reads the whole table.
    async fn read_whole(&self) -> Result<StoreVersion, PlatformError> {
        let sent_at = boot_time();
        let table_read = self.node.platform.store.read_route_table().await?;
        self.apply(table_read, sent_at, sent_at)
    }

    /// Waits for the next change after a version, or for a report of a newer version. The report
    /// ends the wait only until the store has begun to respond.
    async fn wait_for_change(&self, after: StoreVersion) -> WaitOutcome {
        let begun = tokio::select! {
            version = self.node.route_table.wait_for_newer_version() => {
                return WaitOutcome::NewerVersion(version);
            }
            begun = self.begin_wait_when_due(after) => begun,
        };
        WaitOutcome::Ended(match begun {
            Ok((response, sent_at)) => self.finish_wait(response, sent_at).await,
            Err(error) => Err(error),
        })
    }

    /// Waits for a change if this node reads for others, otherwise when its table has become too
    /// old. Returns the response and the boot time at which the call was sent.
    async fn begin_wait_when_due(
        &self,
        after: StoreVersion,
    ) -> Result<(RouteTableResponse, Duration), PlatformError> {
        let node = self.node;
        while chosen_reader(node).is_some() {
            let age = node.route_table.age().unwrap_or(Duration::MAX);
            let Some(left) = node.read_intervals.table_age_max.checked_sub(age) else { break };
            tokio::time::sleep(left.max(SLEEP_MIN)).await;
        }
        let sent_at = boot_time();
        let wait = node.read_intervals.table_wait;
        let response = node.platform.store.wait_for_route_table(after, wait).await?;
        Ok((response, sent_at))
    }

    async fn finish_wait(
        &self,
        response: RouteTableResponse,
        sent_at: Duration,
    ) -> Result<StoreVersion, PlatformError> {
        let table_read = response.await?;
        let wait = self.node.read_intervals.table_wait;
        // A response without a change is sent at the end of the wait, so it confirms that moment.
        let waited = table_read.table.is_none() && table_read.error.is_none();
        let full_wait = waited && boot_time().saturating_sub(sent_at) >= wait;
        let confirmed_at = if full_wait { sent_at + wait } else { sent_at };
        self.apply(table_read, sent_at, confirmed_at)
    }

    /// Puts the table that was read in force and returns the version to wait after.
    fn apply(
        &self,
        table_read: RouteTableRead,
        sent_at: Duration,
        confirmed_at: Duration,
    ) -> Result<StoreVersion, PlatformError> {
        let node = self.node;
        node.note_incarnation(table_read.store_version.incarnation);
        self.apply_rollouts(&table_read);
        if let Some(error) = &table_read.error {
            let in_force = node.route_table.current().version;
            node.log.write(&TableUnreadable { fault: error, in_force });
            return Err(PlatformError::Unreadable(error.clone()));
        }
        if let Some(table) = table_read.table {
            let (version, routes) = (table.version, table.routes.len());
            let (workspaces, keys) = (table.workspaces.len(), table.keys.len());
            let incarnation = table_read.store_version.incarnation;
            if let Some(previous) = node.route_table.install(table, incarnation) {
                let read_ms = millis_since(sent_at);
                let event = TableInForce { version, previous, routes, workspaces, keys, read_ms };
                node.log.write(&event);
                node.apply_quotas();
                node.stream_origins.note_routes(&node.route_table.current());
            }
        }
        if node.route_table.is_newest_known() {
            node.route_table.confirm(confirmed_at);
        }
        Ok(table_read.store_version)
    }

    /// Applies the orders of rollouts that were read along, also if the table cannot be read.
    fn apply_rollouts(&self, table_read: &RouteTableRead) {
        let node = self.node;
        let peers = node.peers.reporting_addresses();
        let RouteTableRead { rollouts, store_version, .. } = table_read;
        for (key, fault) in node.rollouts.apply_orders(rollouts, *store_version, &peers) {
            node.log.write(&RolloutOrderUnreadable { key: &key, fault: &fault });
        }
    }

    /// Notes the outcome of a read, and pauses after a failure.
    async fn note_result(
        &mut self,
        result: Result<StoreVersion, PlatformError>,
        started_at: Duration,
    ) {
        match result {
            Ok(version) => {
                self.after = Some(version);
                self.end_outage();
            }
            Err(PlatformError::HistoryGone) => {
                self.after = None;
                // A store without history refuses each wait; the reads in between must not flood it.
                tokio::time::sleep(HISTORY_GONE_DELAY).await;
            }
            Err(error) => {
                let failures = self.note_failure(error.to_string(), started_at);
                self.pause(failures).await;
            }
        }
    }

    /// Pauses after a failed read. The pause is short once a peer knows a newer version, also if
    /// that is heard meanwhile, as every node reads that version itself.
    async fn pause(&self, failures: u32) {
        let node = self.node;
        let pause = retry_pause(node, RETRY_DELAY, failures);
        let short_pause = node.settings.bounds.propagation_delay / NEWER_VERSION_DIVISOR;
        let newer_version = async {
            if node.route_table.is_newest_known() {
                node.route_table.wait_for_newer_version().await;
            }
            tokio::time::sleep(pause.min(short_pause)).await;
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = newer_version => {}
        }
    }

    /// Notes a failed read. Returns the number of failed reads in a row.
    fn note_failure(&mut self, error: String, started_at: Duration) -> u32 {
        if self.outage.is_none() {
            let error = error.clone();
            self.node.log.write(&DependencyLost { dependency: DEPENDENCY, error });
        }
        let outage = self.outage.get_or_insert(Outage { since: boot_time(), failures: 0 });
        outage.failures += 1;
        let (read_ms, failures) = (millis_since(started_at), outage.failures);
        self.node.log.write(&TableReadFailed { read_ms, failures, error });
        failures
    }

    fn end_outage(&mut self) {
        if let Some(outage) = self.outage.take() {
            let away_ms = millis_since(outage.since);
            self.node.log.write(&DependencyRegained { dependency: DEPENDENCY, away_ms });
            announce_return(self.node);
        }
    }
}

fn millis_since(start: Duration) -> u64 {
    boot_time().saturating_sub(start).as_millis() as u64
}
