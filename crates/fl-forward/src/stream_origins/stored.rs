//! Keeps the origins of streams and the versions of services in the store, so that they outlive all
//! nodes.
//!
//! `fl_routing::origin_log` and `fl_routing::version_history` decide what is written. See
//! `docs/design/120-stream-origins.md`.

use super::{NodeStreamOrigins, moment};
use crate::log::Log;
use crate::log::event::{DependencyLost, StreamOriginsRead};
use crate::peers::Peers;
use fl_kernel::forward::{
    ForwardSettings, PlatformError, PlatformStore, StoreRevision, StoredRow, WriteOutcome,
};
use fl_protocol::UnixMs;
use fl_routing::origin_log::{
    LoggedOrigin, OriginLog, RowWrite, StoredOrigins, WriterRole, write_interval, writer_role,
};
use fl_routing::store_retries::{RetryRole, retry_pause};
use fl_routing::version_history::StoredVersions;
use std::time::Duration;
use tokio::time::Instant;

/// The table of this module.
const TABLE: &str = "streams";
/// Key of the row that holds the versions of all services. The number is that of the rows' form: a
/// build with another form writes other rows and ignores these.
const VERSIONS_KEY: &str = "versions.1";
/// Beginning of the keys of rows with origins; the data centre and the number of the row follow.
const ORIGINS_PREFIX: &str = "origins.1.";
/// Longest time until the task looks whether the row of versions is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two reads that calls ask for.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Usual pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time by which this node's list of servers is behind those of others.
const LIST_DELAY_MAX: Duration = Duration::from_secs(3);
/// How long a node that has started counts all listed nodes as present.
const DISCOVERY_TIME: Duration = Duration::from_secs(30);

/// The task that reads and writes the rows.
pub struct OriginStoreTask<'a> {
    store: &'a dyn PlatformStore,
    peers: &'a Peers,
    origins: &'a NodeStreamOrigins,
    settings: &'a ForwardSettings,
    log: &'a Log,
    /// Counts a call to the store, by purpose and success.
    count_call: &'a (dyn Fn(&'static str, bool) + Sync),
    rows: OriginLog,
    /// Whether this node is the writer and has taken over the rows of its data centre.
    knows_rows: bool,
    versions_revision: StoreRevision,
    started_at: Instant,
    read_at: Option<Instant>,
    /// Most nodes that were heard at a time.
    heard_max: usize,
    failures: u32,
}

impl<'a> OriginStoreTask<'a> {
    /// Creates the task of a node that has read nothing.
    pub fn new(
        store: &'a dyn PlatformStore,
        peers: &'a Peers,
        origins: &'a NodeStreamOrigins,
        settings: &'a ForwardSettings,
        log: &'a Log,
        count_call: &'a (dyn Fn(&'static str, bool) + Sync),
    ) -> Self {
        OriginStoreTask {
            store,
            peers,
            origins,
            settings,
            log,
            count_call,
            rows: OriginLog::default(),
            knows_rows: false,
            versions_revision: 0,
            started_at: Instant::now(),
            read_at: None,
            heard_max: 0,
            failures: 0,
        }
    }

    /// Reads what is stored as soon as a route of resumable streams is in force, then writes what is
    /// due. Never ends.
    pub async fn run(mut self) {
        while !self.origins.has_routes() {
            self.origins.storing.wait_for_work(CHECK_INTERVAL).await;
        }
        loop {
            match self.do_work().await {
                Ok(pause) => {
                    self.failures = 0;
                    tokio::time::sleep(pause).await;
                    self.origins.storing.wait_for_work(CHECK_INTERVAL).await;
                }
                Err(error) => self.pause_after(error).await,
            }
        }
    }

    /// Makes the calls to the store that are due. Returns the pause until the next ones.
    async fn do_work(&mut self) -> Result<Duration, PlatformError> {
        let heard = self.peers.origin_holders().1;
        self.heard_max = self.heard_max.max(heard.len());
        let role = writer_role(self.peers.own_holder(), &heard);
        self.origins.storing.set_writer(role.writes_zone);
        let becomes_writer = role.writes_zone && !self.knows_rows;
        if self.read_at.is_none() || becomes_writer || self.is_read_due() {
            self.read(becomes_writer).await?;
        }
        self.knows_rows = role.writes_zone;
        if !role.writes_zone {
            self.rows.clear_pending();
            self.origins.storing.take();
            return Ok(Duration::ZERO);
        }
        self.write_versions(role).await?;
        self.take_queue();
        match self.rows.next_write(moment().unix_ms) {
            Some(write) => self.write_origins(write).await.map(|()| self.interval(heard.len())),
            None => Ok(Duration::ZERO),
        }
    }

    /// Takes the streams that have to be stored. Those told by nodes that may know of a second version
    /// or another route before this one does stay in the queue for a while.
    fn take_queue(&mut self) {
        if !self.origins.is_any_stored() {
            let kept_ms = LIST_DELAY_MAX.as_millis() as UnixMs;
            self.origins.storing.drop_before(moment().unix_ms.saturating_sub(kept_ms));
            return;
        }
        for logged in self.origins.storing.take() {
            if !self.rows.add(logged) {
                metrics::counter!("fl_stream_origins_unstored_total").increment(1);
            }
        }
    }

    fn is_read_due(&self) -> bool {
        let is_old = self.read_at.is_none_or(|at| at.elapsed() >= READ_INTERVAL);
        is_old && self.origins.storing.is_read_wanted()
    }

    /// Returns the interval at which this node may write rows while it hears so many others.
    fn interval(&self, heard: usize) -> Duration {
        let listed = match self.started_at.elapsed() < DISCOVERY_TIME {
            true => self.peers.known(),
            false => 0,
        };
        let unheard = self.heard_max.max(listed).saturating_sub(heard);
        write_interval(self.settings.store_writes_per_s, self.settings.zones.len(), unheard)
    }

    /// Reads and applies all rows. `recovers` says whether this node goes on with those of its data
    /// centre.
    async fn read(&mut self, recovers: bool) -> Result<(), PlatformError> {
        let sent_at = Instant::now();
        let rows = self.store.read_rows(TABLE).await;
        (self.count_call)("streams", rows.is_ok());
        let rows = rows?;
        let moment = moment();
        match rows.iter().find(|row| row.key == VERSIONS_KEY) {
            Some(row) => self.apply_versions(row),
            // No node has written the row, so none has carried a stream.
            None if self.read_at.is_none() && self.settings.is_first_start => {
                self.origins.versions.lock().begin_without_streams(moment.now);
            }
            None => {}
        }
        let own_prefix = format!("{ORIGINS_PREFIX}{}.", self.settings.zone);
        let mut own_rows = Vec::new();
        let mut all = Vec::new();
        for row in rows.iter().filter(|row| row.key.starts_with(ORIGINS_PREFIX)) {
            let logged = parse_origins(row);
            all.extend(&logged);
            let place = row.key.strip_prefix(&own_prefix).and_then(|place| place.parse().ok());
            own_rows.extend(place.map(|place: usize| (place, row.revision, logged)));
        }
        if recovers {
            self.rows.recover(&own_rows, moment.unix_ms);
        }
        let streams = self.origins.record_stored(&all);
        self.read_at = Some(Instant::now());
        self.origins.storing.note_read();
        let read_ms = sent_at.elapsed().as_millis() as u64;
        self.log.write(&StreamOriginsRead { rows: rows.len(), streams, read_ms });
        Ok(())
    }

    fn apply_versions(&mut self, row: &StoredRow) {
        self.versions_revision = row.revision;
        if let Ok(stored) = serde_json::from_str::<StoredVersions>(&row.value) {
            let incarnation = self.store.incarnation().unwrap_or(0);
            self.origins.versions.lock().apply_stored(stored, moment(), incarnation);
        }
    }

    async fn write_versions(&mut self, role: WriterRole) -> Result<(), PlatformError> {
        let incarnation = self.store.incarnation().unwrap_or(0);
        let versions = &self.origins.versions;
        let due = versions.lock().to_store(moment(), incarnation, role.confirms_versions);
        let Some(due) = due else { return Ok(()) };
        let value = serde_json::to_string(&due)
            .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
        match self.write_row(VERSIONS_KEY, &value, self.versions_revision).await? {
            WriteOutcome::Written(revision) => {
                self.versions_revision = revision;
                versions.lock().note_stored(due);
            }
            WriteOutcome::Conflict(Some(row)) => self.apply_versions(&row),
            WriteOutcome::Conflict(None) => self.versions_revision = 0,
        }
        Ok(())
    }

    async fn write_origins(&mut self, write: RowWrite) -> Result<(), PlatformError> {
        let key = format!("{ORIGINS_PREFIX}{}.{:02}", self.settings.zone, write.row);
        let value = serde_json::to_string(&write.value)
            .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
        let now_ms = moment().unix_ms;
        match self.write_row(&key, &value, write.revision).await? {
            WriteOutcome::Written(revision) => self.rows.note_written(revision, now_ms),
            WriteOutcome::Conflict(Some(row)) => {
                self.rows.note_conflict(row.revision, &parse_origins(&row), now_ms);
            }
            WriteOutcome::Conflict(None) => self.rows.note_conflict(0, &[], now_ms),
        }
        Ok(())
    }

    async fn write_row(
        &self,
        key: &str,
        value: &str,
        expected: StoreRevision,
    ) -> Result<WriteOutcome, PlatformError> {
        let written = self.store.write_row(TABLE, key, value, expected).await;
        (self.count_call)("streams", written.is_ok());
        written
    }

    /// Pauses after a failed call, the longer the more nodes there are.
    async fn pause_after(&mut self, error: PlatformError) {
        if self.failures == 0 {
            let error = error.to_string();
            self.log.write(&DependencyLost { dependency: "origins of streams", error });
        }
        self.failures += 1;
        let role = match self.peers.reporting_addresses().len() {
            0 => RetryRole::Alone,
            peers => RetryRole::Served { nodes: peers + 1 },
        };
        let pause = retry_pause(RETRY_DELAY, self.failures, role, rand::random());
        tokio::time::sleep(pause).await;
    }
}

/// Returns the streams of a row; none if it has an unknown form.
fn parse_origins(row: &StoredRow) -> Vec<LoggedOrigin> {
    let stored = serde_json::from_str::<StoredOrigins>(&row.value);
    stored.map(|stored| stored.logged()).unwrap_or_default()
}
