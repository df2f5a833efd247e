//! The interfaces between forwarding and the platform it runs on.
//!
//! An adapter implements them: it knows names, formats and calls, and decides nothing. See
//! `docs/design/100-on-the-platform.md`.

mod settings;

pub use settings::{ForwardBounds, ForwardSettings};

use async_trait::async_trait;
use bytes::Bytes;
use fl_protocol::forward::{CallHead, RouteTable, ServerEntry, ServerLoad, ServerName};
use fl_protocol::{DataCenterName, FencingToken, ServiceName, VmName, WorkspaceName};
use http::{HeaderMap, Request, StatusCode, request, response};
use std::time::Duration;

/// Grows with each change in the platform's store.
pub type StoreRevision = u64;

/// Why a call to the platform brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// the platform did not do it: {0}; try again later
    Refused(String),
    /// the platform did not answer: {0}; the call may have taken effect or may do so later
    NoAnswer(String),
    /// the asked history is gone; read the table whole
    HistoryGone,
    /// the platform has seen a greater fencing number; another node holds the duty
    Stale,
    /// the platform answered what cannot be read: {0}; the last known state stays in use
    Unreadable(String),
}

/// One row of this system's own tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// The revision of its last write.
    pub revision: StoreRevision,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and the row has this revision.
    Written(StoreRevision),
    /// The row was not as expected; this is what it is.
    Conflict(Option<StoredRow>),
}

/// What operators declared, as the store has it.
#[derive(Debug, Clone)]
pub struct RouteTableRead {
    /// The table; none when nothing changed, or what was written cannot be read.
    pub table: Option<RouteTable>,
    /// What was wrong with a version that cannot be read.
    pub fault: Option<String>,
    /// Where to go on.
    pub revision: StoreRevision,
}

/// The registry of backend servers at one moment.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    /// Entries that can be read, sorted by name.
    pub entries: Vec<ServerEntry>,
    /// Names and faults of those that cannot.
    pub faults: Vec<(String, String)>,
    /// The store's revision.
    pub revision: StoreRevision,
}

/// Reads and writes what lasts.
#[async_trait]
pub trait PlatformStore: Send + Sync {
    /// Reads what operators declared, whole.
    async fn read_route_table(&self) -> Result<RouteTableRead, PlatformError>;
    /// Waits for a change of what operators declared after a revision.
    async fn wait_for_route_table(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<RouteTableRead, PlatformError>;
    /// Reads the registry of backend servers.
    async fn read_servers(&self) -> Result<ServerList, PlatformError>;
    /// Reads all rows of a table of this system, sorted by key.
    async fn read_rows(&self, table: &str) -> Result<Vec<StoredRow>, PlatformError>;
    /// Reads one row.
    async fn read_row(&self, table: &str, key: &str) -> Result<Option<StoredRow>, PlatformError>;
    /// Writes a row if it still has a revision; 0 means that there is no such row.
    async fn write_row(
        &self,
        table: &str,
        key: &str,
        value: &str,
        expected: StoreRevision,
    ) -> Result<WriteOutcome, PlatformError>;
}

/// The right to perform a duty, sent along with each call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyLease {
    /// The node that holds the duty.
    pub holder: VmName,
    /// Orders the holders.
    pub fencing: FencingToken,
}

/// An order for the backend servers of a service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetOrder {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub zone: DataCenterName,
    /// Whether it is for servers that the cloud may take back.
    pub reclaimable: bool,
    /// How many there shall be.
    pub servers: u32,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was taken.
    Accepted,
    /// There is no capacity now, or a greater fencing number was seen.
    Declined,
}

/// Performs duties at the platform.
#[async_trait]
pub trait PlatformDuties: Send + Sync {
    /// Reports the calls that began to run in one window, by workspace.
    async fn report_usage(
        &self,
        lease: &DutyLease,
        window: u64,
        counts: &[(WorkspaceName, u64)],
    ) -> Result<(), PlatformError>;
    /// Orders backend servers.
    async fn order(
        &self,
        lease: &DutyLease,
        order: &FleetOrder,
    ) -> Result<OrderOutcome, PlatformError>;
}

/// What is wrong with a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum InvalidCall {
    /// header {0} is missing or cannot be read
    Header(String),
    /// the host is missing or cannot be read
    Host,
}

/// How a call is sent to a backend server.
#[derive(Debug, Clone)]
pub struct SendOptions {
    /// The server that is meant; another at its address must not run the call.
    pub server: ServerName,
    /// What is left of the caller's time.
    pub time_left: Duration,
    /// The workspace of the caller's key.
    pub workspace: Option<WorkspaceName>,
    /// The last event the caller has.
    pub last_event_id: Option<u64>,
    /// Urgency at model engines, 0 first.
    pub engine_priority: Option<u8>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// Whether the answer belongs to the call.
    pub matches_call: bool,
    /// Whether the server says that it did not run the call.
    pub not_run: bool,
    /// Whether another server than the one that was meant answered, which runs nothing.
    pub is_misdirected: bool,
    /// Whether the server signed the answer.
    pub is_signed: bool,
    /// Its load.
    pub load: Option<ServerLoad>,
    /// How long it keeps the connection when idle; none if it did not say.
    pub keep_alive: Option<Duration>,
}

/// Why a call is refused or failed, and what its caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// Why, for the caller's people and the logs.
    pub reason: &'static str,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// Translates calls between the wire and the product's types.
pub trait CallCodec: Send + Sync {
    /// Reads what a caller asks.
    fn parse_request(&self, head: &request::Parts) -> Result<CallHead, InvalidCall>;
    /// Keeps the headers of a call that are passed on to whichever backend server takes it.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Writes a call for a backend server.
    fn build_request(
        &self,
        head: &request::Parts,
        passed: &HeaderMap,
        body: Bytes,
        options: &SendOptions,
    ) -> Result<Request<http_body_util::Full<Bytes>>, http::Error>;
    /// Reads the head of a backend server's answer to a call.
    fn parse_response(&self, id: &str, head: &response::Parts) -> ResponseHead;
    /// Keeps the headers of an answer that are returned to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Headers of an answer of this system's own.
    fn refusal_headers(&self, id: Option<&str>, refusal: &Refusal) -> HeaderMap;
}
