//! Answers on their way back: read whole, or relayed event by event.

use crate::channels::Channel;
use crate::drive::{self, Attempt, Call, Failure, Progress, Stop};
use crate::events::{EventCutter, WholeEvent};
use crate::log::event::StreamResumed;
use crate::node::Node;
use crate::servers::InFlight;
use bytes::{Bytes, BytesMut};
use fl_kernel::clock::unix_ms;
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of an answer that is read whole.
const WHOLE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// An answer for a caller.
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
    /// The server that gave it.
    pub server: String,
    /// What was predicted of the wait, in milliseconds.
    pub predicted_ms: f64,
    /// Calls in flight at the server, as believed when it was chosen.
    pub in_flight: u32,
}

/// The body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Events as they come.
    Events(Box<EventRelay>),
}

/// What came of an answer's beginning.
pub enum Opened {
    /// It goes to the caller.
    Answer(Box<Answer>),
    /// It cannot be used.
    Failed(Failure),
}

/// Relays the events of a stream, over several servers if it may be resumed.
pub struct EventRelay {
    node: Arc<Node>,
    call: Arc<Call>,
    progress: Progress,
    source: Source,
    cutter: EventCutter,
    first: Option<WholeEvent>,
    last_event_id: Option<u64>,
    last_event_at: Instant,
    ended: bool,
}

struct Source {
    server: String,
    body: Incoming,
    channel: Option<Channel>,
    _in_flight: InFlight,
}

/// What a relay gives next.
pub enum RelayStep {
    /// One event.
    Event(Bytes),
    /// The stream is whole.
    End,
    /// The stream broke off.
    Broken(&'static str),
}

/// Reads an answer whole, so that a broken one can still be replaced by another or by a failure.
pub async fn read_whole(
    node: &Arc<Node>,
    call: &Call,
    attempt: Attempt,
    progress: &mut Progress,
) -> Opened {
    count_run(node, call, progress);
    progress.may_have_run = true;
    let (parts, body) = attempt.response.into_parts();
    let reading = tokio::time::timeout_at(call.admitted.deadline, collect(body)).await;
    let bytes = match reading {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => return broken("the answer broke off", error),
        Err(_) => return broken("the answer was not whole in time", String::new()),
    };
    if attempt.head.status.is_success() && !attempt.head.is_signed {
        return broken("the answer is not signed", String::new());
    }
    let channel = attempt.channel;
    let keeper = node.clone();
    tokio::spawn(async move { keeper.channels.keep(channel).await });
    Opened::Answer(Box::new(Answer {
        status: attempt.head.status,
        headers: node.ports.codec.returned_headers(&parts.headers),
        body: AnswerBody::Whole(bytes),
        server: attempt.chosen.entry.name,
        predicted_ms: attempt.chosen.placement.wait_ms,
        in_flight: attempt.chosen.in_flight,
    }))
}

async fn collect(mut body: Incoming) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > WHOLE_BYTES_MAX {
            return Err(format!("it is larger than {WHOLE_BYTES_MAX} bytes"));
        }
    }
    Ok(bytes.freeze())
}

/// Waits for the first event of a stream, before which another server may still take over.
pub async fn open_stream(
    node: &Arc<Node>,
    call: &Arc<Call>,
    attempt: Attempt,
    progress: &mut Progress,
) -> Opened {
    if !attempt.head.is_signed {
        return broken("the answer is not signed", String::new());
    }
    progress.may_have_run = true;
    let (parts, body) = attempt.response.into_parts();
    let mut in_flight = attempt.in_flight;
    let mut cutter = EventCutter::default();
    let mut body = body;
    let first = tokio::time::timeout_at(call.admitted.deadline, next_event(&mut body, &mut cutter));
    let first = match first.await {
        Ok(Ok(first)) => first,
        Ok(Err(error)) => return broken("the stream broke off before its first event", error),
        Err(_) => return broken("the stream did not begin in time", String::new()),
    };
    count_run(node, call, progress);
    in_flight.first_token(attempt.sent_at.elapsed());
    let server = attempt.chosen.entry.name.clone();
    let source = Source {
        server: server.clone(),
        body,
        channel: Some(attempt.channel),
        _in_flight: in_flight,
    };
    let relay = EventRelay {
        node: node.clone(),
        call: call.clone(),
        progress: progress.clone(),
        source,
        cutter,
        ended: first.is_none(),
        first,
        last_event_id: call.head.last_event_id,
        last_event_at: Instant::now(),
    };
    let mut headers = node.ports.codec.returned_headers(&parts.headers);
    // The rest may come from another server, whose part has another length.
    headers.remove(header::CONTENT_LENGTH);
    Opened::Answer(Box::new(Answer {
        status: attempt.head.status,
        headers,
        body: AnswerBody::Events(Box::new(relay)),
        server,
        predicted_ms: attempt.chosen.placement.wait_ms,
        in_flight: attempt.chosen.in_flight,
    }))
}

/// Reads the next whole event; none at the stream's proper end.
async fn next_event(
    body: &mut Incoming,
    cutter: &mut EventCutter,
) -> Result<Option<WholeEvent>, String> {
    loop {
        if let Some(event) = cutter.cut() {
            return Ok(Some(event));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                cutter.push(data).map_err(|error| error.to_string())?;
            }
            Some(Err(error)) => return Err(error.to_string()),
            None if cutter.has_rest() => return Err("it ended inside an event".to_string()),
            None => return Ok(None),
        }
    }
}

impl EventRelay {
    /// Gives the next event, from another server if the one before broke off.
    pub async fn step(&mut self) -> RelayStep {
        if let Some(event) = self.first.take() {
            return self.give(event);
        }
        if self.ended {
            return self.end().await;
        }
        loop {
            let reading = next_event(&mut self.source.body, &mut self.cutter);
            match tokio::time::timeout_at(self.call.admitted.deadline, reading).await {
                Ok(Ok(Some(event))) if self.is_known(&event) => {}
                Ok(Ok(Some(event))) => return self.give(event),
                Ok(Ok(None)) => return self.end().await,
                Err(_) => return RelayStep::Broken("the time for the call is over"),
                Ok(Err(error)) => {
                    if !self.resume(error).await {
                        return RelayStep::Broken("the stream broke off");
                    }
                }
            }
        }
    }

    /// The server that the stream comes from.
    pub fn server(&self) -> &str {
        &self.source.server
    }

    /// Servers the call was sent to.
    pub fn sends(&self) -> u32 {
        self.progress.sends
    }

    fn give(&mut self, event: WholeEvent) -> RelayStep {
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        let pause = self.last_event_at.elapsed();
        self.last_event_at = Instant::now();
        metrics::histogram!("fl_between_events_seconds").record(pause);
        RelayStep::Event(event.bytes)
    }

    /// Says whether the caller has an event already.
    fn is_known(&self, event: &WholeEvent) -> bool {
        matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last)
    }

    async fn end(&mut self) -> RelayStep {
        self.ended = true;
        if let Some(channel) = self.source.channel.take() {
            self.node.channels.keep(channel).await;
        }
        RelayStep::End
    }

    /// Goes on at another server, if the stream may.
    async fn resume(&mut self, error: String) -> bool {
        let failure =
            Failure { what: "the stream broke off", error, arrived: true, may_have_run: true };
        loop {
            let server = self.source.server.clone();
            drive::note_failure(&self.node, &self.call, &server, &failure, Duration::ZERO);
            self.source.channel = None;
            self.cutter.clear();
            if !self.progress.left_out.contains(&server) {
                self.progress.left_out.push(server);
            }
            let may_go_on = self.call.admitted.route.may_repeat()
                && self.last_event_id.is_some()
                && drive::may_send(&self.node, &self.call, &self.progress);
            if !may_go_on {
                return false;
            }
            match self.reopen().await {
                Ok(()) => return true,
                Err(Some(server)) => self.source.server = server,
                Err(None) => return false,
            }
        }
    }

    /// Opens the rest of the stream elsewhere; names the server that failed, if one was asked.
    async fn reopen(&mut self) -> Result<(), Option<String>> {
        let last_event_id = self.last_event_id;
        let attempt =
            drive::attempt(&self.node, &self.call, &mut self.progress, last_event_id).await;
        let attempt = match attempt {
            Ok(attempt) => attempt,
            Err(Stop::Refused(_)) => return Err(None),
            Err(Stop::Failed(server, _, _)) => return Err(Some(server)),
        };
        let server = attempt.chosen.entry.name.clone();
        if !attempt.head.status.is_success() || !attempt.head.is_signed {
            return Err(Some(server));
        }
        self.node.log.write(&StreamResumed {
            request_id: &self.call.head.id,
            server: &server,
            last_event_id: last_event_id.unwrap_or(0),
        });
        self.source = Source {
            server,
            body: attempt.response.into_body(),
            channel: Some(attempt.channel),
            _in_flight: attempt.in_flight,
        };
        Ok(())
    }
}

/// Counts the call as begun, once.
fn count_run(node: &Node, call: &Call, progress: &mut Progress) {
    if progress.counted {
        return;
    }
    progress.counted = true;
    if let Some(workspace) = &call.admitted.workspace {
        node.usage.count(workspace, unix_ms(), node.settings.bounds.usage_window);
    }
}

fn broken(what: &'static str, error: String) -> Opened {
    Opened::Failed(Failure { what, error, arrived: true, may_have_run: true })
}

/// When a call was given up because its time was over.
pub fn is_over(call: &Call) -> bool {
    Instant::now() >= call.admitted.deadline
}
