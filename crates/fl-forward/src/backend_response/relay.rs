//! Relays the events of a stream to a caller; resumes it at another server if the route allows
//! that.

use crate::attempt::{self, Attempt, AttemptError, AttemptFailure, CrashSign, Resumption};
use crate::connection_pool::Connection;
use crate::crash_suspects;
use crate::forwarding::{self, Call, Progress};
use crate::log::event::StreamResumed;
use crate::node::Node;
use crate::rollouts::AnswerWatch;
use crate::servers::InFlightCall;
use crate::sse::{SseError, SseEvent, SseSplitter};
use crate::stream_origins;
use bytes::Bytes;
use fl_clients::{INCLUDED_BYTES, NoMemory, Reservation, hold_bytes};
use fl_protocol::forward::ServerEntry;
use fl_routing::stream_origins::StreamOrigin;
use http::header;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Relays the events of a stream to a caller; resumes it at another server if the route allows
/// that.
pub struct EventRelay {
    pub(super) node: Arc<Node>,
    pub(super) call: Arc<Call>,
    pub(super) progress: Progress,
    pub(super) source: EventSource,
    /// The service and the software version that began the stream.
    pub(super) origin: StreamOrigin,
    /// Whether the node that stores origins was told, or need not be.
    pub(super) is_origin_stored: bool,
    pub(super) first_event: Option<SseEvent>,
    pub(super) last_event_id: Option<u64>,
    pub(super) last_event_at: Instant,
    pub(super) has_ended: bool,
}

/// The server and the connection that the events come from.
pub(super) struct EventSource {
    node: Arc<Node>,
    pub(super) server: ServerEntry,
    /// The peer through which they come; `None` if this node reached the server.
    pub(super) peer: Option<SocketAddr>,
    /// When the call was sent to the server.
    sent_at: Instant,
    body: Incoming,
    /// Whether the response has neither a length nor chunks, so that its end is that of its
    /// connection.
    ends_with_connection: bool,
    has_sent_event: bool,
    splitter: SseSplitter,
    /// Memory of an incomplete event that is large.
    partial_event_memory: Option<Reservation>,
    connection: Option<Connection>,
    /// Counts the call as in flight at the server until it is dropped.
    in_flight: InFlightCall,
    pub(super) watch: AnswerWatch,
}

/// The next step of a relayed stream.
pub enum RelayStep {
    /// One event with its blank line at the end.
    Event(Bytes),
    /// The stream ended after its last event.
    End,
    /// The stream broke off, with the reason that is logged.
    Broken(&'static str),
}

/// Why the next event of a stream cannot be read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(super) enum StreamError {
    /// the connection broke: {0}
    Broken(hyper::Error),
    /// the last event is cut off
    CutOff,
    /// the connection ended before the first event
    Empty,
    /// the server sends no event stream: {0}
    NoEvents(#[from] SseError),
    /// no memory is free for an event
    NoMemory(#[from] NoMemory),
}

impl StreamError {
    /// Returns the failure of the attempt whose stream it ended.
    ///
    /// `peer` is the one through which it came, if it did.
    pub(super) fn into_failure(
        self,
        reason: &'static str,
        peer: Option<SocketAddr>,
    ) -> AttemptFailure {
        let broke_connection =
            matches!(self, StreamError::Broken(_) | StreamError::CutOff | StreamError::Empty);
        AttemptFailure {
            reason,
            error: self.to_string(),
            reached_server: true,
            may_have_run: true,
            crash_sign: CrashSign::after(broke_connection, peer),
            is_misdirected: false,
        }
    }
}

impl EventSource {
    /// Reads events from the response of an attempt.
    pub(super) fn new(node: &Arc<Node>, attempt: Attempt) -> Self {
        let (parts, body) = attempt.response.into_parts();
        let is_framed = parts.headers.contains_key(header::CONTENT_LENGTH)
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        EventSource {
            node: node.clone(),
            server: attempt.chosen.entry,
            peer: attempt.peer,
            sent_at: attempt.sent_at,
            body,
            ends_with_connection: !is_framed,
            has_sent_event: false,
            splitter: SseSplitter::default(),
            partial_event_memory: None,
            connection: Some(attempt.connection),
            in_flight: attempt.in_flight,
            watch: attempt.watch,
        }
    }

    /// Reads the next complete event; returns `None` when the stream ends after a complete event.
    pub(super) async fn next_event(&mut self) -> Result<Option<SseEvent>, StreamError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.has_sent_event = true;
                self.in_flight.on_event();
                let bytes = hold_bytes(&self.node.clients, event.bytes).await?;
                return Ok(Some(SseEvent { bytes, ..event }));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    self.node.links.record_received();
                    let data = frame.data_ref().map_or(&[][..], |data| data);
                    self.splitter.push(data)?;
                    self.reserve_partial_event().await?;
                }
                Some(Err(error)) => return Err(StreamError::Broken(error)),
                None if self.splitter.has_partial() => return Err(StreamError::CutOff),
                None if self.ends_with_connection && !self.has_sent_event => {
                    return Err(StreamError::Empty);
                }
                None => return Ok(None),
            }
        }
    }

    /// Reserves memory for an incomplete event that is large; its size at least doubles.
    async fn reserve_partial_event(&mut self) -> Result<(), NoMemory> {
        let pending_bytes = self.splitter.pending_bytes();
        let reserved_bytes = self.partial_event_memory.as_ref().map_or(0, Reservation::bytes);
        if pending_bytes <= INCLUDED_BYTES {
            self.partial_event_memory = None;
        } else if pending_bytes > reserved_bytes {
            let bytes = pending_bytes.next_power_of_two();
            let reserving = self.node.clients.reserve_for_answer(bytes);
            self.partial_event_memory = Some(reserving.await?);
        }
        Ok(())
    }

    /// Records that the server has prefilled the prompt of the call.
    pub(super) fn on_first_token(&mut self) {
        self.in_flight.on_first_token(self.sent_at.elapsed());
    }
}

impl EventRelay {
    /// Returns the next event that the caller does not have. Resumes the stream at another server
    /// if the connection breaks off.
    pub async fn next_step(&mut self) -> RelayStep {
        if let Some(event) = self.first_event.take() {
            return self.deliver(event);
        }
        if self.has_ended {
            return self.finish();
        }
        loop {
            let reading = self.source.next_event();
            match tokio::time::timeout_at(self.call.admission.deadline, reading).await {
                Ok(Ok(Some(event))) if self.is_duplicate(&event) => {}
                Ok(Ok(Some(event))) => return self.deliver(event),
                Ok(Ok(None)) => return self.finish(),
                Err(_) => return RelayStep::Broken("the time for the call is over"),
                Ok(Err(error)) => {
                    if !self.resume(error).await {
                        return RelayStep::Broken("the stream broke off");
                    }
                }
            }
        }
    }

    /// Returns the name of the server that the stream comes from.
    pub fn server(&self) -> &str {
        &self.source.server.name
    }

    /// Returns the peer through which the stream comes; `None` if this node reached the server.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.source.peer
    }

    /// Returns the number of servers that the call was sent to.
    pub fn sends(&self) -> u32 {
        self.progress.sends
    }

    fn deliver(&mut self, event: SseEvent) -> RelayStep {
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        self.source.watch.on_event(&self.node.log);
        let interval = self.last_event_at.elapsed();
        self.last_event_at = Instant::now();
        metrics::histogram!("fl_between_events_seconds").record(interval);
        self.store_origin();
        RelayStep::Event(event.bytes)
    }

    /// Has the origin stored once a second one is possible for streams of the route.
    fn store_origin(&mut self) {
        let route = &self.call.admission.route;
        if !self.is_origin_stored && self.node.stream_origins.is_stored(route) {
            self.is_origin_stored = true;
            stream_origins::announce(&self.node, &self.call.head, route, self.origin);
        }
    }

    /// Returns whether the caller already has an event.
    fn is_duplicate(&self, event: &SseEvent) -> bool {
        matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last)
    }

    fn finish(&mut self) -> RelayStep {
        self.has_ended = true;
        self.source.watch.on_end(&self.node.log);
        crash_suspects::note_answer(&self.node, &self.call);
        if let Some(connection) = self.source.connection.take() {
            let (node, service) = (self.node.clone(), self.call.admission.service.clone());
            // The server may not have read the whole request yet; the caller does not wait for that.
            tokio::spawn(async move { node.keep_connection(connection, &service).await });
        }
        RelayStep::End
    }

    /// Resumes the stream at another server; returns false if it may not be resumed.
    async fn resume(&mut self, error: StreamError) -> bool {
        self.source.watch.on_failure(true, &self.node.log);
        let mut failure = error.into_failure("the stream broke off", self.source.peer);
        loop {
            let server = self.source.server.clone();
            let sent_at = self.source.sent_at;
            forwarding::record_failure(&self.node, &self.call, &server, &failure, sent_at).await;
            self.source.connection = None;
            if !self.progress.excluded_servers.contains(&server.name) {
                self.progress.excluded_servers.push(server.name);
            }
            let may_crash_more = failure.crash_sign != CrashSign::None
                && self.node.crash_suspects.is_suspect(&self.call);
            let may_resume = self.call.admission.route.is_retryable()
                && self.last_event_id.is_some()
                && !may_crash_more
                && forwarding::try_take_retry(&self.node, &self.call, &self.progress);
            if !may_resume {
                return false;
            }
            match self.reconnect().await {
                Ok(()) => return true,
                Err(AttemptError::Refused(_)) => return false,
                Err(AttemptError::Failed(server, next_failure, sent_at)) => {
                    self.source.server = *server;
                    self.source.sent_at = sent_at;
                    failure = next_failure;
                }
            }
        }
    }

    /// Opens the rest of the stream at another server.
    async fn reconnect(&mut self) -> Result<(), AttemptError> {
        let last_event_id = self.last_event_id;
        let resumption = Resumption { last_event_id, origin: Some(self.origin) };
        let mut attempt =
            attempt::send_attempt(&self.node, &self.call, &mut self.progress, resumption).await?;
        if !attempt.head.status.is_success() || !attempt.head.is_signed {
            attempt.watch.on_failure(false, &self.node.log);
            let failure = AttemptFailure {
                reason: "the rest of the stream was not sent",
                error: attempt.head.status.to_string(),
                reached_server: true,
                may_have_run: true,
                ..AttemptFailure::default()
            };
            let server = Box::new(attempt.chosen.entry);
            return Err(AttemptError::Failed(server, failure, attempt.sent_at));
        }
        self.node.log.write(&StreamResumed {
            request_id: &self.call.head.id,
            server: &attempt.chosen.entry.name,
            software_version: &attempt.chosen.entry.software_version,
            version_before: &self.source.server.software_version,
            last_event_id: last_event_id.unwrap_or(0),
        });
        self.source = EventSource::new(&self.node, attempt);
        Ok(())
    }
}
