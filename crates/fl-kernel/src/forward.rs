//! Interfaces between the forwarding of calls and the platform that it runs on.
//!
//! An adapter implements them: it translates to and from the platform's formats and makes no
//! decisions. See `docs/design/100-on-the-platform.md`.

mod settings;

pub use settings::{ForwardBounds, ForwardSettings};

use async_trait::async_trait;
use bytes::Bytes;
use fl_protocol::forward::{
    CallHead, ReportedLoad, ResponseNotices, RolloutOrders, RolloutStatus, RouteTable, ServerEntry,
    ServerName, StoreVersion,
};
use fl_protocol::{DataCenterName, FencingToken, ServiceName, VmName, WorkspaceName};
use http::{HeaderMap, Request, StatusCode, request, response};
use std::pin::Pin;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Revision of the platform's store; grows with each write to any row.
pub type StoreRevision = u64;

/// Error of a store that keeps no rows on rollouts.
const NO_ROLLOUTS: &str = "the store keeps no rows on rollouts";

/// Reason why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// the platform did not run the call: {0}; try again later
    Refused(String),
    /// the platform did not answer: {0}; the call may have taken effect or may do so later
    NoResponse(String),
    /// the platform no longer has the requested history; read the whole table
    HistoryGone,
    /// the platform has seen a greater fencing token; another node holds the lease
    StaleFencingToken,
    /// the lease of the duties is new; calls are sent once those of its former holder have arrived
    LeaseTooNew,
    /// the lease of the duties ends soon; it is renewed before further calls
    LeaseEnding,
    /// the platform's response cannot be parsed: {0}; the last known state stays in use
    Unreadable(String),
}

impl PlatformError {
    /// Returns whether nothing was sent, since the lease of the duties allows no call now.
    pub fn is_outside_lease(&self) -> bool {
        matches!(self, PlatformError::LeaseTooNew | PlatformError::LeaseEnding)
    }
}

/// Row of one of the tables that this system keeps in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Key of the row, unique in its table.
    pub key: String,
    /// Value as text.
    pub value: String,
    /// Revision of the last write to the row.
    pub revision: StoreRevision,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row has this revision now.
    Written(StoreRevision),
    /// The row had another revision than expected; holds the row as it is, `None` if there is none.
    Conflict(Option<StoredRow>),
}

/// Result of reading the operators' document from the store.
#[derive(Debug, Clone)]
pub struct RouteTableRead {
    /// Parsed route table; `None` when nothing changed or the document is invalid.
    pub table: Option<RouteTable>,
    /// Reason why the document is invalid, if it is.
    pub error: Option<String>,
    /// Orders of rollouts that were read along; empty where none may be ordered.
    pub rollouts: RolloutOrders,
    /// Version of the store after which to wait for the next change.
    pub store_version: StoreVersion,
}

/// A response of the store that has begun; reading it to its end gives the route table.
///
/// Its bytes may take seconds on a slow link. It ends with an error if they stop arriving.
pub type RouteTableResponse =
    Pin<Box<dyn Future<Output = Result<RouteTableRead, PlatformError>> + Send>>;

/// Registry of backend servers at one revision.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    /// Valid entries, sorted by name.
    pub entries: Vec<ServerEntry>,
    /// Names of the servers whose entries are invalid, each with the reason.
    pub invalid_entries: Vec<(String, String)>,
    /// Version of the store at which the registry was read.
    pub store_version: StoreVersion,
}

/// Persistent store of the platform.
///
/// Holds the operators' route table, the registry of backend servers and this system's own tables.
#[async_trait]
pub trait PlatformStore: Send + Sync {
    /// Reads the operators' whole document.
    async fn read_route_table(&self) -> Result<RouteTableRead, PlatformError>;
    /// Returns the greatest incarnation that any response of the store has named, `None` before the
    /// first response.
    fn incarnation(&self) -> Option<u64>;
    /// Waits up to `wait` for a change of the operators' document after a version, and returns when
    /// the store begins to respond.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::HistoryGone`] if the store does not know that version, also because
    /// it came back from an older copy.
    async fn wait_for_route_table(
        &self,
        version: StoreVersion,
        wait: Duration,
    ) -> Result<RouteTableResponse, PlatformError>;
    /// Reads the registry of backend servers.
    async fn read_servers(&self) -> Result<ServerList, PlatformError>;
    /// Reads all rows of a table of this system, sorted by key.
    async fn read_rows(&self, table: &str) -> Result<Vec<StoredRow>, PlatformError>;
    /// Reads one row; `None` if there is no such row.
    async fn read_row(&self, table: &str, key: &str) -> Result<Option<StoredRow>, PlatformError>;
    /// Writes a row if it still has the expected revision; 0 expects that there is no such row.
    async fn write_row(
        &self,
        table: &str,
        key: &str,
        value: &str,
        expected: StoreRevision,
    ) -> Result<WriteOutcome, PlatformError>;
    /// Reads the system's rows on the rollouts of all services; rows of unknown form are left out.
    async fn read_rollouts(&self) -> Result<Vec<RolloutStatus>, PlatformError> {
        Err(PlatformError::Refused(NO_ROLLOUTS.to_string()))
    }
    /// Writes the system's row on a rollout if it still has [`RolloutStatus::revision`].
    async fn write_rollout(&self, _status: &RolloutStatus) -> Result<WriteOutcome, PlatformError> {
        Err(PlatformError::Refused(NO_ROLLOUTS.to_string()))
    }
}

/// Proof of the right to perform duties, sent with each call to the platform's API for duties.
#[derive(Debug, Clone)]
pub struct DutyLease {
    /// Node that holds the lease.
    pub holder: VmName,
    /// Fencing token of the lease; each later holder has a greater one.
    pub fencing: FencingToken,
    /// Boot time from which calls may be sent. Before that, calls of the former holder may arrive.
    pub sends_from: Duration,
    /// Boot time until which calls may be sent. After that the holder renews the lease first.
    pub sends_until: Duration,
    /// Cancelled before this node releases the lease.
    pub released: CancellationToken,
}

impl DutyLease {
    /// Returns an error if no call may be sent at `now`, a boot time. Checked before each call, since
    /// the calls before it may have taken long.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::LeaseTooNew`] before [`DutyLease::sends_from`], and
    /// [`PlatformError::LeaseEnding`] from [`DutyLease::sends_until`] or the release on.
    pub fn check(&self, now: Duration) -> Result<(), PlatformError> {
        if now < self.sends_from {
            return Err(PlatformError::LeaseTooNew);
        }
        let is_ending = now >= self.sends_until || self.released.is_cancelled();
        if is_ending { Err(PlatformError::LeaseEnding) } else { Ok(()) }
    }
}

/// Order that sets the number of backend servers of a service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetOrder {
    /// Service that the servers offer.
    pub service: ServiceName,
    /// Data centre of the servers.
    pub zone: DataCenterName,
    /// Whether the order is for servers that the cloud may reclaim.
    pub reclaimable: bool,
    /// Wanted number of servers.
    pub servers: u32,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform has no capacity now, or has seen a greater fencing token.
    Declined,
}

/// Duties that one node performs for the whole fleet: usage reports and orders of servers.
#[async_trait]
pub trait PlatformDuties: Send + Sync {
    /// Returns how long a call takes at most, after which it is given up.
    fn longest_call(&self) -> Duration;
    /// Reports how many calls of each workspace began to run in one window.
    async fn report_usage(
        &self,
        lease: &DutyLease,
        window: u64,
        counts: &[(WorkspaceName, u64)],
    ) -> Result<(), PlatformError>;
    /// Orders backend servers of one service in one data centre.
    async fn order_servers(
        &self,
        lease: &DutyLease,
        order: &FleetOrder,
    ) -> Result<OrderOutcome, PlatformError>;
}

/// Reason why a caller's request cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum InvalidCall {
    /// header {0} is missing or invalid
    Header(String),
    /// the host is missing or invalid
    Host,
}

/// Options for sending a call to a backend server.
#[derive(Debug, Clone)]
pub struct SendOptions {
    /// Server that the call is for; any other server that now has its address must not run the
    /// call.
    pub server: ServerName,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Workspace that owns the caller's key, if it sent one.
    pub workspace: Option<WorkspaceName>,
    /// Last event that the caller received, when a stream is resumed.
    pub last_event_id: Option<u64>,
    /// Priority in the queue of a model engine; 0 runs first.
    pub engine_priority: Option<u8>,
}

/// Parsed head of a backend server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the response belongs to the call: it carries the call's id or no id at all.
    pub matches_call: bool,
    /// Whether the server reports that it did not run the call.
    pub not_run: bool,
    /// Whether another server than the intended one responded; such a server does not run the call.
    pub is_misdirected: bool,
    /// Whether the response carries the server's signature.
    pub is_signed: bool,
    /// Load that the server reports.
    pub load: Option<ReportedLoad>,
    /// What the server asks of the nodes.
    pub notices: ResponseNotices,
    /// Time for which the server keeps the idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
}

/// Response to a caller whose call was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Reason, for the response body and the log.
    pub reason: &'static str,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Translates requests and responses between the platform's HTTP headers and [`CallHead`],
/// [`SendOptions`] and [`ResponseHead`].
pub trait CallCodec: Send + Sync {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<CallHead, InvalidCall>;
    /// Returns the headers of a caller's request that are forwarded to any backend server.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Builds the request to a backend server.
    fn build_request(
        &self,
        head: &request::Parts,
        forwarded: &HeaderMap,
        body: Bytes,
        options: &SendOptions,
    ) -> Result<Request<http_body_util::Full<Bytes>>, http::Error>;
    /// Parses the head of a backend server's response to the call `id`.
    fn parse_response(&self, id: &str, head: &response::Parts) -> ResponseHead;
    /// Returns the headers of a backend server's response that are returned to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Builds the headers of a response that this system itself sends.
    fn refusal_headers(&self, id: Option<&str>, refusal: &Refusal) -> HeaderMap;
}
