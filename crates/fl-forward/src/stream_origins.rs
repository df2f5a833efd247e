//! Lets a stream go on only at the software version that began it.
//!
//! When a stream begins, one node in each data centre is told its origin; a node at which a caller
//! takes the stream up asks there. `fl_routing::stream_origins` decides whom. See
//! `docs/design/100-on-the-platform.md`.

use crate::admission::Admission;
use crate::clock::boot_time;
use crate::node::Node;
use crate::peers::Datagram;
use fl_kernel::forward::Refusal;
use fl_protocol::forward::{CallHead, ServerEntry};
use fl_routing::stream_origins::{
    StreamHash, StreamOrigin, StreamOrigins, VersionHistory, asked_nodes, holders, stream_hash,
};
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

/// What a node knows of the origins of streams.
pub struct NodeStreamOrigins {
    origins: Mutex<StreamOrigins>,
    versions: Mutex<VersionHistory>,
    /// Notified when an origin was recorded.
    recorded: Notify,
}

impl Default for NodeStreamOrigins {
    fn default() -> Self {
        NodeStreamOrigins {
            origins: Mutex::new(StreamOrigins::new(ORIGINS_MAX)),
            versions: Mutex::default(),
            recorded: Notify::new(),
        }
    }
}

impl NodeStreamOrigins {
    /// Notes the software versions of a list of servers.
    pub fn note_list(&self, servers: &[ServerEntry]) {
        self.versions.lock().note_list(servers, boot_time());
    }

    /// Records what began a stream, as a peer says.
    pub fn record(&self, stream: StreamHash, origin: StreamOrigin) {
        self.origins.lock().record(stream, origin, boot_time());
        self.recorded.notify_waiters();
    }

    /// Returns what began a stream, as far as this node knows.
    pub fn find(&self, stream: StreamHash) -> Option<StreamOrigin> {
        self.origins.lock().find(stream, boot_time())
    }
}

/// Records that a server sent the first event of a call's stream, or of its rest, and tells the
/// nodes that remember it.
pub fn announce(node: &Node, head: &CallHead, origin: StreamOrigin) {
    let first_attempt = head.resumed_attempt.as_ref().unwrap_or(&head.id);
    let stream = stream_hash(first_attempt);
    node.stream_origins.record(stream, origin);
    let (addresses, nodes) = node.peers.origin_holders();
    for index in holders(stream, &nodes) {
        node.peers.send(&Datagram::StreamBegan(stream, origin), addresses[index]);
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
    let known = match &head.resumed_attempt {
        Some(attempt) => ask_peers(node, stream_hash(attempt)).await,
        None => None,
    };
    let origin = known.or_else(|| only_origin(node, admission));
    let found = if origin.is_some() { "known" } else { "unknown" };
    metrics::counter!("fl_streams_taken_up_total", "origin" => found).increment(1);
    let origin = origin.ok_or_else(|| refuse("no node knows what began the stream"))?;
    let mut services = admission.route.services.iter().map(|(service, _)| service);
    let service = services.find(|service| origin.is_of_service(service));
    let service = service.ok_or_else(|| refuse("the route left the service of the stream"))?;
    admission.service = service.clone();
    Ok(Some(origin))
}

/// Returns what began a stream, from this node's own memory or that of its peers.
async fn ask_peers(node: &Node, stream: StreamHash) -> Option<StreamOrigin> {
    for _ in 0..QUERY_ROUNDS {
        let recorded = node.stream_origins.recorded.notified();
        tokio::pin!(recorded);
        // Waits from now on, also for replies that arrive before the first poll.
        recorded.as_mut().enable();
        if let Some(origin) = node.stream_origins.find(stream) {
            return Some(origin);
        }
        let (addresses, nodes) = node.peers.origin_holders();
        for index in asked_nodes(stream, &nodes) {
            node.peers.send(&Datagram::OriginQuery(stream), addresses[index]);
        }
        let end = tokio::time::Instant::now() + QUERY_TIMEOUT;
        while tokio::time::timeout_at(end, recorded.as_mut()).await.is_ok() {
            if let Some(origin) = node.stream_origins.find(stream) {
                return Some(origin);
            }
            recorded.set(node.stream_origins.recorded.notified());
            recorded.as_mut().enable();
        }
    }
    node.stream_origins.find(stream)
}

/// Returns the only origin that the stream can have, if its service had one version alone.
fn only_origin(node: &Node, admission: &Admission) -> Option<StreamOrigin> {
    let [(service, _)] = &admission.route.services[..] else { return None };
    node.stream_origins.versions.lock().only_origin(service, boot_time())
}

fn refuse(reason: &'static str) -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal { status, reason, retry_after: Some(RETRY_AFTER) }
}
