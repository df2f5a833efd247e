//! Lets a stream go on only at the software version that began it.
//!
//! When a stream begins, one node in each data centre is told its origin; a node at which a caller
//! takes the stream up asks there. `fl_routing::stream_origins` decides whom. What cannot be told
//! from the versions of services and the routes alone is stored as well. See
//! `docs/design/120-stream-origins.md`.

mod confirmation;
mod stored;
mod storing;

pub use stored::OriginStoreTask;

use confirmation::Confirmation;
use storing::OriginStoring;

use crate::admission::Admission;
use crate::clock::boot_time;
use crate::node::Node;
use crate::peers::{Datagram, Peers};
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::Refusal;
use fl_protocol::forward::{CallHead, Route, RouteTable, ServerEntry};
use fl_routing::origin_log::{LoggedOrigin, zone_writer};
use fl_routing::stream_origins::{
    StreamHash, StreamOrigin, StreamOrigins, holders, queried_nodes, stream_hash,
};
use fl_routing::version_history::{Moment, VersionHistory};
use http::StatusCode;
use parking_lot::Mutex;
use std::time::Duration;
use tokio::sync::Notify;

/// Streams whose origin a node remembers.
const ORIGINS_MAX: usize = 16_384;
/// How long a node waits for the replies to one round of queries.
const QUERY_TIMEOUT: Duration = Duration::from_millis(40);
/// Rounds of queries, since datagrams may be lost.
const QUERY_ROUNDS: u32 = 3;
/// Time after which a caller may try again to take up a stream that cannot go on here and now.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// How long a call waits for a read of the stored origins.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// The same as a divisor of the time that the caller still waits.
const READ_TIMEOUT_DIVISOR: u32 = 8;
/// How far the clock of this module reaches back before the VM's start, since what is stored may be
/// older than the VM.
const CLOCK_REACH: Duration = Duration::from_secs(3600);

/// What a node knows of the origins of streams.
pub struct NodeStreamOrigins {
    origins: Mutex<StreamOrigins>,
    versions: Mutex<VersionHistory>,
    /// Notified when an origin was recorded.
    recorded: Notify,
    storing: OriginStoring,
    confirmation: Confirmation,
}

impl Default for NodeStreamOrigins {
    fn default() -> Self {
        NodeStreamOrigins {
            origins: Mutex::new(StreamOrigins::new(ORIGINS_MAX)),
            versions: Mutex::default(),
            recorded: Notify::new(),
            storing: OriginStoring::default(),
            confirmation: Confirmation::default(),
        }
    }
}

/// Returns the current moment by the clock of this module and by the wall clock.
fn moment() -> Moment {
    Moment { now: now(), unix_ms: unix_ms() }
}

fn now() -> Duration {
    boot_time() + CLOCK_REACH
}

impl NodeStreamOrigins {
    /// Notes the software versions of a list of servers.
    pub fn note_list(&self, servers: &[ServerEntry]) {
        if self.versions.lock().note_list(servers, now()) {
            self.storing.notify();
        }
    }

    /// Notes the routes of the table in force.
    pub fn note_routes(&self, table: &RouteTable) {
        self.versions.lock().note_routes(&table.routes, now());
        self.storing.notify();
    }

    /// Records what began a stream, as a peer says, and stores it if this node is the writer.
    pub fn record(&self, stream: StreamHash, origin: StreamOrigin) {
        self.origins.lock().record(stream, origin, now());
        self.recorded.notify_waiters();
        self.storing.add((stream, origin, unix_ms()), self.is_any_stored());
    }

    /// Records what is stored. Returns how many of the streams are young enough to count.
    fn record_stored(&self, logged: &[LoggedOrigin]) -> usize {
        let moment = moment();
        let streams = logged.iter().filter_map(|(stream, origin, at_ms)| {
            moment.if_remembered(*at_ms).map(|recorded_at| (*stream, *origin, recorded_at))
        });
        let streams: Vec<_> = streams.collect();
        let count = streams.len();
        self.origins.lock().record_all(streams, moment.now);
        self.recorded.notify_waiters();
        count
    }

    /// Returns what began a stream, as far as this node knows.
    pub fn find(&self, stream: StreamHash) -> Option<StreamOrigin> {
        self.origins.lock().find(stream, now())
    }

    /// Returns whether a route of resumable streams was in force.
    fn has_routes(&self) -> bool {
        self.versions.lock().has_routes()
    }

    /// Returns whether what begins the streams of any route has to be stored.
    fn is_any_stored(&self) -> bool {
        self.versions.lock().has_ambiguous_routes(now())
    }

    /// Returns whether what begins the streams of a route has to be stored: a node that starts could
    /// not tell it from the versions and routes alone.
    pub fn is_stored(&self, route: &Route) -> bool {
        self.route_origin(route).is_none()
    }

    /// Returns the only origin that the streams of a route can have, `None` if there may be several.
    fn route_origin(&self, route: &Route) -> Option<StreamOrigin> {
        self.versions.lock().route_origin(route, now())
    }
}

/// Records that a server sent the first event of a call's stream, or of its rest, and tells the
/// nodes that remember it.
pub fn announce(node: &Node, head: &CallHead, route: &Route, origin: StreamOrigin) {
    let first_attempt = head.resumed_attempt.as_ref().unwrap_or(&head.id);
    notify_holders(&node.stream_origins, &node.peers, first_attempt, route, origin);
}

/// Records what began the stream of an attempt, and tells the nodes that remember or store it.
fn notify_holders(
    origins: &NodeStreamOrigins,
    peers: &Peers,
    attempt: &str,
    route: &Route,
    origin: StreamOrigin,
) {
    let stream = stream_hash(attempt);
    origins.record(stream, origin);
    let (addresses, nodes) = peers.origin_holders();
    let mut told = holders(stream, &nodes);
    if origins.is_stored(route) {
        told.extend(zone_writer(peers.own_holder(), &nodes));
    }
    told.sort_unstable();
    told.dedup();
    for index in told {
        peers.send(&Datagram::StreamBegan(stream, origin), addresses[index]);
    }
}

/// Returns the origin of the stream that a call resumes, `None` if it resumes none. Sets the
/// service that began it.
///
/// # Errors
///
/// Returns a refusal if no node knows what began the stream, or if its service is no longer one of
/// the route's.
pub async fn find_origin(
    node: &Node,
    head: &CallHead,
    admission: &mut Admission,
) -> Result<Option<StreamOrigin>, Refusal> {
    if head.last_event_id.is_none() || !admission.route.is_resumable_stream() {
        return Ok(None);
    }
    let time_left = admission.deadline.saturating_duration_since(tokio::time::Instant::now());
    let read_timeout = READ_TIMEOUT.min(time_left / READ_TIMEOUT_DIVISOR);
    let Node { stream_origins: origins, peers, .. } = node;
    origins.storing.wait_for_first_read(read_timeout).await;
    let stream = head.resumed_attempt.as_deref().map(stream_hash);
    let mut origin = match stream {
        Some(stream) => find_known(origins, peers, stream, read_timeout).await,
        None => None,
    };
    if origin.is_none() {
        origin = derive_origin(node, stream, &admission.route, read_timeout).await;
    }
    let found = if origin.is_some() { "known" } else { "unknown" };
    metrics::counter!("fl_streams_taken_up_total", "origin" => found).increment(1);
    let origin = origin.ok_or_else(|| refuse("no node knows what began the stream"))?;
    let mut services = admission.route.services.iter().map(|(service, _)| service);
    let service = services.find(|service| origin.is_of_service(service));
    let service = service.ok_or_else(|| refuse("the route left the service of the stream"))?;
    admission.service = service.clone();
    // A caller may name this attempt when it resumes the stream once more.
    notify_holders(origins, peers, &head.id, &admission.route, origin);
    Ok(Some(origin))
}

/// Returns what began a stream, if this node, its peers or the store know it.
async fn find_known(
    origins: &NodeStreamOrigins,
    peers: &Peers,
    stream: StreamHash,
    read_timeout: Duration,
) -> Option<StreamOrigin> {
    if let Some(origin) = query_peers(origins, peers, stream).await {
        return Some(origin);
    }
    // A node that could not read the rows yet goes on trying by itself.
    if origins.is_any_stored() && origins.storing.has_read() {
        origins.storing.read_again(read_timeout).await;
    }
    origins.find(stream)
}

/// Returns the only origin that a stream of a route can have, as the servers and routes of this
/// moment show. If they show a second one, the stream is looked for among those that are stored.
async fn derive_origin(
    node: &Node,
    stream: Option<StreamHash>,
    route: &Route,
    read_timeout: Duration,
) -> Option<StreamOrigin> {
    let origins = &node.stream_origins;
    origins.route_origin(route)?;
    let confirming = origins.confirmation.is_current_since(node, boot_time());
    let is_current = tokio::time::timeout(read_timeout, confirming).await.unwrap_or(false);
    if !is_current {
        metrics::counter!("fl_stream_origins_unconfirmed_total").increment(1);
        return None;
    }
    let derived = origins.route_origin(route);
    if derived.is_some() {
        return derived;
    }
    origins.storing.read_again(read_timeout).await;
    origins.find(stream?)
}

/// Returns what began a stream, from this node's own memory or that of its peers.
async fn query_peers(
    origins: &NodeStreamOrigins,
    peers: &Peers,
    stream: StreamHash,
) -> Option<StreamOrigin> {
    for _ in 0..QUERY_ROUNDS {
        let recorded = origins.recorded.notified();
        tokio::pin!(recorded);
        // Waits from now on, also for replies that arrive before the first poll.
        recorded.as_mut().enable();
        if let Some(origin) = origins.find(stream) {
            return Some(origin);
        }
        let (addresses, nodes) = peers.origin_holders();
        for index in queried_nodes(stream, &nodes) {
            peers.send(&Datagram::OriginQuery(stream), addresses[index]);
        }
        let end = tokio::time::Instant::now() + QUERY_TIMEOUT;
        while tokio::time::timeout_at(end, recorded.as_mut()).await.is_ok() {
            if let Some(origin) = origins.find(stream) {
                return Some(origin);
            }
            recorded.set(origins.recorded.notified());
            recorded.as_mut().enable();
        }
    }
    origins.find(stream)
}

fn refuse(reason: &'static str) -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal { status, reason, retry_after: Some(RETRY_AFTER) }
}
