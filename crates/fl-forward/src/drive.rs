//! Drives a call from its admission to an answer: choose a server, send, and send again only what
//! may be repeated.

use crate::admit::Admitted;
use crate::answer::{Answer, Opened, open_stream, read_whole};
use crate::channels::{Channel, SendError};
use crate::clock::boot_time;
use crate::log::event::AttemptFailed;
use crate::node::Node;
use crate::servers::{Chosen, InFlight};
use bytes::Bytes;
use fl_kernel::forward::{AnswerHead, ForwardBounds, Refusal, SendOrder};
use fl_limits::RepeatWindow;
use fl_protocol::forward::{CallHead, CallKind, ServerName};
use http::{HeaderMap, Response, StatusCode, request};
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Servers that could not be reached at all before a call is given up.
const UNREACHED_MAX: usize = 3;
/// Less time than this is not worth sending a call for.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Targets of first tokens that part calls of one rank by urgency at a model engine.
const TARGET_BANDS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2000)];
/// The least urgent priority of model engines.
const LEAST_ENGINE_PRIORITY: u8 = 9;
/// When to come back after all places were taken.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// A call on its way.
pub struct Call {
    /// What its caller asks.
    pub head: CallHead,
    /// The request's head as it came.
    pub parts: request::Parts,
    /// Its headers that are passed on.
    pub passed: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What was decided at its admission.
    pub admitted: Admitted,
    /// When its head was read.
    pub received_at: Instant,
}

/// What a call has cost so far.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Servers it was sent to.
    pub sends: u32,
    /// Servers that are not asked again.
    pub left_out: Vec<ServerName>,
    /// Whether it may have run anywhere.
    pub may_have_run: bool,
    /// Whether its run was counted.
    pub counted: bool,
    unreached: usize,
}

/// How one attempt failed.
#[derive(Debug)]
pub struct Failure {
    /// What happened.
    pub what: &'static str,
    /// Details.
    pub error: String,
    /// Whether the call arrived at the server.
    pub arrived: bool,
    /// Whether it may have run there.
    pub may_have_run: bool,
}

/// A server's answer of which only the head was read.
pub struct Attempt {
    /// Where.
    pub chosen: Chosen,
    /// The connection.
    pub channel: Channel,
    /// The decoded head.
    pub head: AnswerHead,
    /// The answer.
    pub response: Response<Incoming>,
    /// Counts the call at the server.
    pub in_flight: InFlight,
    /// When it was sent.
    pub sent_at: Instant,
}

/// Budgets of repeats, sorted by service.
pub struct Repeats {
    ratio: f64,
    slack: f64,
    window: Duration,
    windows: Mutex<Vec<(String, RepeatWindow)>>,
}

impl Repeats {
    /// Makes budgets within the bounds that were promised.
    pub fn new(bounds: &ForwardBounds) -> Self {
        Repeats {
            ratio: bounds.repeat_ratio,
            slack: bounds.repeat_slack,
            window: bounds.repeat_window,
            windows: Mutex::default(),
        }
    }

    fn with<T>(&self, service: &str, nodes: usize, act: impl FnOnce(&mut RepeatWindow) -> T) -> T {
        let reserve = self.slack / nodes.max(1) as f64;
        let mut windows = self.windows.lock();
        let place = windows.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let place = place.unwrap_or_else(|place| {
            let window = RepeatWindow::new(self.ratio, reserve, self.window);
            windows.insert(place, (service.to_string(), window));
            place
        });
        windows[place].1.set_reserve(reserve);
        act(&mut windows[place].1)
    }
}

/// Drives a call to an answer or says why there is none.
pub async fn drive(
    node: &Arc<Node>,
    call: Arc<Call>,
) -> Result<(Answer, Progress), (Refusal, Progress)> {
    let mut progress = Progress::default();
    let nodes = node.peers.nodes();
    node.repeats.with(&call.admitted.service, nodes, |window| window.count_first(boot_time()));
    loop {
        let attempt = match attempt(node, &call, &mut progress, call.head.last_event_id).await {
            Ok(attempt) => attempt,
            Err(Stop::Refused(refusal)) => return Err((refusal, progress)),
            Err(Stop::Failed(server, failure, sent_at)) => {
                note_failure(node, &call, &server, &failure, sent_at.elapsed());
                if let Err(refusal) = go_on(node, &call, &mut progress, server, &failure) {
                    return Err((refusal, progress));
                }
                continue;
            }
        };
        let server = attempt.chosen.entry.name.clone();
        let sent_at = attempt.sent_at;
        let repeatable_failure = attempt.head.status.is_server_error()
            && call.admitted.route.may_repeat()
            && may_send(node, &call, &progress);
        if repeatable_failure {
            progress.may_have_run = true;
            node.servers.failed(&server);
            progress.left_out.push(server);
            continue;
        }
        let opened = match call.admitted.route.kind {
            CallKind::Stream if attempt.head.status.is_success() => {
                open_stream(node, &call, attempt, &mut progress).await
            }
            _ => read_whole(node, &call, attempt, &mut progress).await,
        };
        match opened {
            Opened::Answer(answer) => return Ok((*answer, progress)),
            Opened::Failed(failure) => {
                note_failure(node, &call, &server, &failure, sent_at.elapsed());
                if let Err(refusal) = go_on(node, &call, &mut progress, server, &failure) {
                    return Err((refusal, progress));
                }
            }
        }
    }
}

/// Why an attempt brought no answer's head.
pub enum Stop {
    /// The call is given up.
    Refused(Refusal),
    /// A server failed it.
    Failed(ServerName, Failure, Instant),
}

/// Sends a call to the best server and reads the head of the answer.
pub async fn attempt(
    node: &Arc<Node>,
    call: &Arc<Call>,
    progress: &mut Progress,
    last_event_id: Option<u64>,
) -> Result<Attempt, Stop> {
    let time_left = call.admitted.deadline.saturating_duration_since(Instant::now());
    if time_left < LEAST_TIME {
        return Err(Stop::Refused(out_of_time(progress)));
    }
    let model = call.head.model.as_ref();
    let is_urgent = is_urgent(&call.admitted);
    let own_zone = &node.settings.zone;
    let service = &call.admitted.service;
    let chosen = node.servers.choose(service, model, is_urgent, own_zone, &progress.left_out);
    let Some(chosen) = chosen else {
        return Err(Stop::Refused(given_up(progress, "no backend server can take the call")));
    };
    let in_flight = InFlight::begin(node, &chosen, is_urgent);
    let sent_at = Instant::now();
    let sending = send(node, call, &chosen, last_event_id);
    let sent = match tokio::time::timeout_at(call.admitted.deadline, sending).await {
        Ok(sent) => sent,
        Err(_) => {
            progress.sends += 1;
            progress.may_have_run = true;
            return Err(Stop::Refused(out_of_time(progress)));
        }
    };
    let server = chosen.entry.name.clone();
    match sent {
        Ok((channel, head, response)) => {
            progress.sends += 1;
            if !head.is_of_call {
                let failure = Failure {
                    what: "the answer belongs to another call",
                    error: String::new(),
                    arrived: true,
                    may_have_run: true,
                };
                return Err(Stop::Failed(server, failure, sent_at));
            }
            if head.not_run {
                let failure = Failure {
                    what: "the server did not run it",
                    error: head.status.to_string(),
                    arrived: true,
                    may_have_run: false,
                };
                return Err(Stop::Failed(server, failure, sent_at));
            }
            Ok(Attempt { chosen, channel, head, response, in_flight, sent_at })
        }
        Err(error) => {
            let arrived = matches!(error, SendError::Broken(_));
            progress.sends += u32::from(arrived);
            let what = if arrived { "the connection broke" } else { "the server was not reached" };
            let failure =
                Failure { what, error: error.to_string(), arrived, may_have_run: arrived };
            Err(Stop::Failed(server, failure, sent_at))
        }
    }
}

async fn send(
    node: &Node,
    call: &Call,
    chosen: &Chosen,
    last_event_id: Option<u64>,
) -> Result<(Channel, AnswerHead, Response<Incoming>), SendError> {
    let address = chosen.entry.address;
    let kept = node.channels.take(address);
    let mut was_kept = kept.is_some();
    let mut channel = match kept {
        Some(channel) => {
            metrics::counter!("fl_connections_reused_total").increment(1);
            channel
        }
        None => open(address).await?,
    };
    loop {
        let order = SendOrder {
            server: chosen.entry.name.clone(),
            time_left: call.admitted.deadline.saturating_duration_since(Instant::now()),
            workspace: call.admitted.workspace.clone(),
            last_event_id,
            engine_priority: call.head.model.as_ref().map(|_| engine_priority(&call.admitted)),
        };
        let request =
            node.ports.codec.server_request(&call.parts, &call.passed, call.body.clone(), &order);
        let request = request.map_err(|error| SendError::NotSent(error.to_string()))?;
        match channel.send(request).await {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                let head = node.ports.codec.read_answer(&call.head.id, &parts);
                channel.set_keep_alive(head.keep_alive);
                return Ok((channel, head, Response::from_parts(parts, body)));
            }
            // A kept connection that closed before a byte was written tells nothing of the server.
            Err(SendError::NotSent(_)) if was_kept => {
                was_kept = false;
                channel = open(address).await?;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Whether a call belongs to the band whose first token is due soonest.
fn is_urgent(admitted: &Admitted) -> bool {
    admitted.route.target <= TARGET_BANDS[0]
}

/// Urgency at a model engine: the call's rank first, then how soon its first token is due.
///
/// A short question that waits behind the reading of a long prompt is late, but a long prompt hardly
/// notices a short question.
fn engine_priority(admitted: &Admitted) -> u8 {
    let by_target = TARGET_BANDS.iter().filter(|band| admitted.route.target > **band).count() as u8;
    let bands = TARGET_BANDS.len() as u8 + 1;
    (admitted.priority.saturating_mul(bands) + by_target).min(LEAST_ENGINE_PRIORITY)
}

async fn open(address: std::net::SocketAddr) -> Result<Channel, SendError> {
    metrics::counter!("fl_connections_opened_total").increment(1);
    Channel::open(address).await
}

/// Decides whether a failed call goes on at another server.
fn go_on(
    node: &Arc<Node>,
    call: &Call,
    progress: &mut Progress,
    server: ServerName,
    failure: &Failure,
) -> Result<(), Refusal> {
    progress.left_out.push(server);
    progress.may_have_run |= failure.may_have_run;
    if !failure.arrived {
        progress.unreached += 1;
        if progress.unreached < UNREACHED_MAX {
            return Ok(());
        }
        return Err(given_up(progress, "no backend server could be reached"));
    }
    let may_repeat = !failure.may_have_run || call.admitted.route.may_repeat();
    if may_repeat && may_send(node, call, progress) {
        return Ok(());
    }
    Err(given_up(progress, failure.what))
}

/// Says whether the call may be sent once more, and takes that from the budget.
pub fn may_send(node: &Arc<Node>, call: &Call, progress: &Progress) -> bool {
    let nodes = node.peers.nodes();
    let take = |window: &mut RepeatWindow| window.try_repeat(boot_time());
    let service = &call.admitted.service;
    let may_send =
        progress.sends < call.admitted.route.servers_max && node.repeats.with(service, nodes, take);
    if may_send {
        metrics::counter!("fl_repeats_total").increment(1);
    }
    may_send
}

/// Logs a failure and remembers it of the server.
pub fn note_failure(node: &Node, call: &Call, server: &str, failure: &Failure, after: Duration) {
    if failure.may_have_run || !failure.arrived {
        node.servers.failed(server);
    }
    metrics::counter!("fl_attempts_failed_total", "failure" => failure.what).increment(1);
    node.log.write(&AttemptFailed {
        request_id: &call.head.id,
        server,
        failure: failure.what,
        error: &failure.error,
        may_have_run: failure.may_have_run,
        after_ms: after.as_millis() as u64,
    });
}

fn given_up(progress: &Progress, reason: &'static str) -> Refusal {
    if progress.may_have_run {
        return Refusal { status: StatusCode::BAD_GATEWAY, reason, retry_after: None };
    }
    Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(FULL_RETRY) }
}

fn out_of_time(progress: &Progress) -> Refusal {
    let reason = "the time for the call is over";
    let status = match progress.may_have_run {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Refusal { status, reason, retry_after: None }
}
