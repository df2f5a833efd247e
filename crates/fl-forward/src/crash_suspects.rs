//! Quarantine of calls that crash the servers which begin to answer them.
//!
//! [`fl_routing::crash_suspects`] decides what is quarantined; this module tells it what happened
//! to this node's calls, and refuses calls. See `docs/design/045-crashing-requests.md`.

mod end_checks;
mod stored;

pub use stored::keep_stored;

use crate::clock::boot_time;
use crate::forwarding::Call;
use crate::links;
use crate::log::event::{QuarantineChanged, ServerCrashed};
use crate::node::Node;
use crate::peer_proxy;
use end_checks::EndChecks;
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::Refusal;
use fl_protocol::forward::{ModelCall, ServerEntry};
use fl_protocol::{Fingerprint, UnixMs, hash64};
use fl_routing::crash_suspects::{
    Crash, CrashSuspects, InstanceHash, QuarantineChange, RETENTION, Suspect, SuspectKey,
};
use http::StatusCode;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Suspects that a node remembers.
const SUSPECTS_MAX: usize = 512;
/// Crashes in one report to the peers, so that it fits into a datagram.
const REPORTED_CRASHES_MAX: usize = 300;
/// How long a server may take to accept a connection until it counts as crashed, after a connection
/// to it broke.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Reason for refusing a quarantined call.
const QUARANTINED: &str = "calls with this content crash servers";

/// The crash suspects of a node, shared by its tasks.
pub struct NodeCrashSuspects {
    suspects: Mutex<CrashSuspects>,
    checks: Mutex<EndChecks>,
    quarantine_changed: Notify,
}

impl Default for NodeCrashSuspects {
    fn default() -> Self {
        NodeCrashSuspects {
            suspects: Mutex::new(CrashSuspects::new(SUSPECTS_MAX)),
            checks: Mutex::default(),
            quarantine_changed: Notify::new(),
        }
    }
}

impl NodeCrashSuspects {
    /// Returns what the peers have to know; all that is quarantined if `is_complete`, otherwise what
    /// changed recently.
    pub fn report(&self, is_complete: bool) -> Vec<Suspect> {
        self.suspects.lock().report(is_complete, REPORTED_CRASHES_MAX, boot_time())
    }

    /// Returns the number of quarantined prompt parts and contents.
    pub fn quarantined_count(&self) -> usize {
        self.suspects.lock().quarantined_count()
    }

    /// Returns whether a call may have crashed servers, so that it is not sent to one more.
    pub fn is_suspect(&self, call: &Call) -> bool {
        self.suspects.lock().is_suspect(&call.suspect_keys)
    }
}

/// Returns what other calls may have in common with this one: the parts of its prompt but the last,
/// and its content.
pub fn suspect_keys(content: Fingerprint, model: Option<&ModelCall>) -> Vec<SuspectKey> {
    let mut keys = part_keys(model);
    keys.push(SuspectKey::Content(content));
    keys
}

/// Returns the parts of a prompt that other calls may share.
pub fn part_keys(model: Option<&ModelCall>) -> Vec<SuspectKey> {
    let parts = model.into_iter().flat_map(ModelCall::shared_parts);
    parts.map(|part| SuspectKey::PromptPart(part.id)).collect()
}

/// Refuses a call that holds what is quarantined.
///
/// # Errors
///
/// Returns the refusal, which says that the call did not run.
pub fn check(node: &Node, keys: &[SuspectKey]) -> Result<(), Refusal> {
    match node.crash_suspects.suspects.lock().quarantined(keys) {
        None => Ok(()),
        Some(_) => Err(Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: QUARANTINED,
            retry_after: Some(RETENTION),
        }),
    }
}

/// Clears what an answered call held.
pub fn note_answer(node: &Node, call: &Call) {
    let changes =
        node.crash_suspects.suspects.lock().record_success(&call.suspect_keys, boot_time());
    announce(node, &changes, "answer");
}

/// A call whose connection to a server broke.
#[derive(Debug, Clone, Copy)]
pub struct BrokenCall<'a> {
    /// Id of the caller's attempt.
    pub call_id: &'a str,
    /// What it may have in common with other calls.
    pub suspect_keys: &'a [SuspectKey],
    /// When it was sent to the server.
    pub sent_at: Instant,
}

/// Finds out whether a server crashed under a call whose connection to it broke, and suspects what
/// the call held. Returns whether the server crashed.
///
/// A server that still accepts connections, of this node or of a peer, or that was to leave, did
/// not crash: this node may have lost its links to it.
pub async fn note_broken_connection(
    node: &Arc<Node>,
    broken: BrokenCall<'_>,
    server: &ServerEntry,
) -> bool {
    let crashed_ms = unix_ms();
    if !node.servers.is_usable_instance(server) || !has_ended(node, server).await {
        return false;
    }
    record_crash(node, broken, server, crashed_ms);
    true
}

/// Suspects what a call held under which a server crashed.
pub fn record_crash(node: &Node, broken: BrokenCall<'_>, server: &ServerEntry, crashed_ms: UnixMs) {
    let call_time_ms = broken.sent_at.elapsed().as_millis() as u64;
    metrics::counter!("fl_server_crashes_total").increment(1);
    node.log.write(&ServerCrashed { server: &server.name, request_id: broken.call_id });
    let sent_ms = crashed_ms.saturating_sub(call_time_ms);
    let crash = Crash { instance: instance_hash(server), sent_ms, crashed_ms };
    let keys = broken.suspect_keys;
    let changes = node.crash_suspects.suspects.lock().record_crash(keys, crash, boot_time());
    announce(node, &changes, "crash");
    node.peers.request_urgent_report();
}

/// Returns whether an instance of a server accepts no connections of this node and its peers. Calls
/// that it broke off at the same time share one check.
async fn has_ended(node: &Arc<Node>, server: &ServerEntry) -> bool {
    let check = node.crash_suspects.checks.lock().for_instance(instance_hash(server));
    let ended = check.get_or_init(|| async {
        !accepts_connections(node, server).await
            && !peer_proxy::reaches_server(node, &server.name).await
    });
    *ended.await
}

/// Merges what a peer or the store knows.
pub fn merge(node: &Node, suspects: &[Suspect], source: &str) {
    let changes = node.crash_suspects.suspects.lock().merge(suspects, boot_time());
    announce(node, &changes, source);
}

/// Logs what is quarantined from now on or no longer, and lets it be stored.
fn announce(node: &Node, changes: &[QuarantineChange], source: &str) {
    for change in changes {
        let (kind, id) = match change.key {
            SuspectKey::PromptPart(id) => ("prompt part", format!("{id:x}")),
            SuspectKey::Content(id) => ("content", format!("{id:016x}")),
        };
        let is_quarantined = change.is_quarantined;
        let crashes = change.crashes;
        node.log.write(&QuarantineChanged { kind, id: &id, is_quarantined, crashes, source });
    }
    if !changes.is_empty() {
        node.crash_suspects.quarantine_changed.notify_one();
    }
}

/// Returns whether a server accepts a connection, which is kept for the next call.
pub async fn accepts_connections(node: &Arc<Node>, server: &ServerEntry) -> bool {
    let opening = tokio::time::timeout(ACCEPT_TIMEOUT, links::open(node, server.address)).await;
    let Ok(Ok(connection)) = opening else { return false };
    node.keep_connection(connection, &server.service).await;
    true
}

fn instance_hash(server: &ServerEntry) -> InstanceHash {
    hash64(&[server.name.as_bytes(), &server.born_ms.unwrap_or(0).to_be_bytes()])
}
