//! Forwards an admitted call to a backend server and retries it within the limits of its route and
//! the retry budget.
//!
//! A call that may have run is sent again only if its route allows that.

use crate::admission::Admission;
use crate::attempt::{AttemptError, AttemptFailure, CrashSign, Resumption, send_attempt};
use crate::backend_response::{BackendResponse, ResponseOutcome, open_stream, read_full_response};
use crate::clock::boot_time;
use crate::crash_suspects::{self, BrokenCall};
use crate::log::event::AttemptFailed;
use crate::node::Node;
use bytes::Bytes;
use fl_clients::HeldBytes;
use fl_kernel::clock::unix_ms;
use fl_kernel::forward::Refusal;
use fl_limits::SlidingRetryBudget;
use fl_protocol::Fingerprint;
use fl_protocol::forward::{CallHead, CallKind, ModelCall, ServerEntry, ServerName};
use fl_routing::crash_suspects::SuspectKey;
use http::{HeaderMap, StatusCode, request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Connect failures after which a call is given up.
const CONNECT_FAILURES_MAX: usize = 3;
/// Retry delay given to callers when no backend server took the call.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Most prompt parts that one log line names.
const LOGGED_PARTS_MAX: usize = 8;

/// A call that is being forwarded.
pub struct Call {
    /// The decoded head of the caller's request.
    pub head: CallHead,
    /// The request's head as received.
    pub parts: request::Parts,
    /// The request headers that are forwarded to the backend server.
    pub forwarded_headers: HeaderMap,
    /// The whole request body, kept for retries.
    pub body: Bytes,
    /// The route, service, deadline and rank decided at admission.
    pub admission: Admission,
    /// Hash of its method, host, path, workspace, body and prompt.
    pub fingerprint: Fingerprint,
    /// Where its stream goes on, if it resumes one.
    pub resumption: Resumption,
    /// What it may have in common with calls that crashed servers.
    pub suspect_keys: Vec<SuspectKey>,
    /// Memory of its prompt's parts, if they are very many.
    pub _parts_memory: Option<HeldBytes>,
}

/// The attempts of a call so far.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Number of servers that the call was sent to.
    pub sends: u32,
    /// Servers that failed the call and are not tried again.
    pub excluded_servers: Vec<ServerName>,
    /// Whether the call may have run at any server.
    pub may_have_run: bool,
    /// Whether the call was counted for the usage report.
    pub usage_counted: bool,
    connect_failures: usize,
}

/// Forwards a call until a server answers it.
///
/// # Errors
///
/// Returns the refusal for the caller if no server can be tried again or the deadline passed.
pub async fn forward_call(
    node: &Arc<Node>,
    call: Arc<Call>,
) -> Result<(BackendResponse, Progress), (Refusal, Progress)> {
    let mut progress = Progress::default();
    let nodes = node.peers.sharing_nodes();
    node.retry_budgets.with_budget(&call.admission.service, nodes, |budget| {
        budget.count_first_attempt(boot_time())
    });
    loop {
        let mut attempt = match send_attempt(node, &call, &mut progress, call.resumption).await {
            Ok(attempt) => attempt,
            Err(AttemptError::Refused(refusal)) => return Err((refusal, progress)),
            Err(AttemptError::Failed(server, failure, sent_at)) => {
                record_failure(node, &call, &server, &failure, sent_at).await;
                if let Err(refusal) =
                    decide_retry(node, &call, &mut progress, server.name, &failure)
                {
                    return Err((refusal, progress));
                }
                continue;
            }
        };
        let server = attempt.chosen.entry.clone();
        let sent_at = attempt.sent_at;
        if attempt.head.status.is_server_error() {
            node.servers.record_failure(&server.name);
            attempt.watch.on_failure(false, &node.log);
            if call.admission.route.is_retryable() && try_take_retry(node, &call, &progress) {
                progress.may_have_run = true;
                progress.excluded_servers.push(server.name);
                continue;
            }
        }
        let outcome = match call.admission.route.kind {
            CallKind::Stream if attempt.head.status.is_success() => {
                open_stream(node, &call, attempt, &mut progress).await
            }
            _ => read_full_response(node, &call, attempt, &mut progress).await,
        };
        match outcome {
            ResponseOutcome::Response(response) => return Ok((*response, progress)),
            ResponseOutcome::Failed(failure) => {
                record_failure(node, &call, &server, &failure, sent_at).await;
                if let Err(refusal) =
                    decide_retry(node, &call, &mut progress, server.name, &failure)
                {
                    return Err((refusal, progress));
                }
            }
        }
    }
}

/// Records a failed attempt and decides whether the call is retried at another server.
fn decide_retry(
    node: &Arc<Node>,
    call: &Call,
    progress: &mut Progress,
    server: ServerName,
    failure: &AttemptFailure,
) -> Result<(), Refusal> {
    progress.excluded_servers.push(server);
    progress.may_have_run |= failure.may_have_run;
    if !failure.reached_server {
        progress.connect_failures += 1;
        if progress.connect_failures < CONNECT_FAILURES_MAX {
            return Ok(());
        }
        return Err(refuse_failed(progress, "no backend server could be reached"));
    }
    let may_run_again = !failure.may_have_run || call.admission.route.is_retryable();
    let may_crash_more =
        failure.crash_sign != CrashSign::None && node.crash_suspects.is_suspect(call);
    if !may_crash_more && may_run_again && try_take_retry(node, call, progress) {
        return Ok(());
    }
    if Instant::now() >= call.admission.deadline {
        return Err(refuse_expired(progress));
    }
    Err(refuse_failed(progress, failure.reason))
}

/// Returns whether the call may be sent to one more server, and takes the retry from the budget.
pub fn try_take_retry(node: &Arc<Node>, call: &Call, progress: &Progress) -> bool {
    let nodes = node.peers.sharing_nodes();
    let take = |budget: &mut SlidingRetryBudget| budget.try_retry(boot_time());
    let service = &call.admission.service;
    let may_retry = progress.sends < call.admission.route.servers_max
        && node.retry_budgets.with_budget(service, nodes, take);
    if may_retry {
        metrics::counter!("fl_repeats_total").increment(1);
    }
    may_retry
}

/// Logs a failed attempt, lowers the server's rank in placement if the server caused it, and finds
/// out whether the server crashed.
pub async fn record_failure(
    node: &Arc<Node>,
    call: &Call,
    server: &ServerEntry,
    failure: &AttemptFailure,
    sent_at: Instant,
) {
    if failure.may_have_run || !failure.reached_server || failure.is_misdirected {
        node.servers.record_failure(&server.name);
    }
    metrics::counter!("fl_attempts_failed_total", "failure" => failure.reason).increment(1);
    node.log.write(&AttemptFailed {
        request_id: &call.head.id,
        server: &server.name,
        failure: failure.reason,
        error: &failure.error,
        may_have_run: failure.may_have_run,
        content: &format!("{:016x}", call.fingerprint),
        prompt_parts: &logged_parts(call),
        after_ms: sent_at.elapsed().as_millis() as u64,
    });
    let suspect_keys = &call.suspect_keys;
    let broken = BrokenCall { call_id: &call.head.id, suspect_keys, sent_at };
    match failure.crash_sign {
        CrashSign::Suspected => {
            crash_suspects::note_broken_connection(node, broken, server).await;
        }
        CrashSign::FoundByPeer => crash_suspects::record_crash(node, broken, server, unix_ms()),
        CrashSign::None | CrashSign::LeftToPeer => {}
    }
}

/// Returns the first prompt parts of a call that other calls may share, for the log.
fn logged_parts(call: &Call) -> Vec<String> {
    let parts = call.head.model.iter().flat_map(ModelCall::shared_parts);
    parts.take(LOGGED_PARTS_MAX).map(|part| format!("{:x}", part.id)).collect()
}

/// Returns the refusal of a call that is not retried.
///
/// The status is 503 only if the call certainly did not run, otherwise 502.
pub fn refuse_failed(progress: &Progress, reason: &'static str) -> Refusal {
    if progress.may_have_run {
        return Refusal { status: StatusCode::BAD_GATEWAY, reason, retry_after: None };
    }
    Refusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason,
        retry_after: Some(UNAVAILABLE_RETRY_AFTER),
    }
}

/// Returns the refusal of a call that every server asked not to be sent now; `wait` is the shortest
/// time until one of them wants calls again, if that is known.
pub fn refuse_denied(progress: &Progress, wait: Option<Duration>) -> Refusal {
    let refusal = refuse_failed(progress, "the backend servers want no call now");
    let retry_after = refusal.retry_after.map(|usual| wait.unwrap_or(usual));
    Refusal { retry_after, ..refusal }
}

/// Returns the refusal of a call whose deadline passed.
///
/// The status is 503 only if the call certainly did not run, otherwise 504.
pub fn refuse_expired(progress: &Progress) -> Refusal {
    let reason = "the time for the call is over";
    let status = match progress.may_have_run {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Refusal { status, reason, retry_after: None }
}
