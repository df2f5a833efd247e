//! Relays the events of a stream to a caller; resumes it at another server if the route allows
//! that.

use crate::attempt::{self, AttemptError, AttemptFailure};
use crate::connection_pool::Connection;
use crate::forwarding::{self, Call, Progress};
use crate::log::event::StreamResumed;
use crate::node::Node;
use crate::servers::InFlightCall;
use crate::sse::{SseEvent, SseSplitter};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Relays the events of a stream to a caller; resumes it at another server if the route allows
/// that.
pub struct EventRelay {
    pub(super) node: Arc<Node>,
    pub(super) call: Arc<Call>,
    pub(super) progress: Progress,
    pub(super) source: EventSource,
    pub(super) splitter: SseSplitter,
    pub(super) first_event: Option<SseEvent>,
    pub(super) last_event_id: Option<u64>,
    pub(super) last_event_at: Instant,
    pub(super) has_ended: bool,
}

/// The server and the connection that the events come from.
pub(super) struct EventSource {
    pub(super) server: String,
    pub(super) body: Incoming,
    pub(super) connection: Option<Connection>,
    /// Counts the call as in flight at the server until it is dropped.
    #[expect(dead_code, reason = "it counts until it is dropped")]
    pub(super) in_flight: InFlightCall,
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

/// Reads the next complete event; returns `None` when the stream ends after a complete event.
pub(super) async fn next_event(
    body: &mut Incoming,
    splitter: &mut SseSplitter,
) -> Result<Option<SseEvent>, String> {
    loop {
        if let Some(event) = splitter.next_event() {
            return Ok(Some(event));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                splitter.push(data).map_err(|error| error.to_string())?;
            }
            Some(Err(error)) => return Err(error.to_string()),
            None if splitter.has_partial() => return Err("the last event is cut off".to_string()),
            None => return Ok(None),
        }
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
            return self.finish().await;
        }
        loop {
            let reading = next_event(&mut self.source.body, &mut self.splitter);
            match tokio::time::timeout_at(self.call.admission.deadline, reading).await {
                Ok(Ok(Some(event))) if self.is_duplicate(&event) => {}
                Ok(Ok(Some(event))) => return self.deliver(event),
                Ok(Ok(None)) => return self.finish().await,
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
        &self.source.server
    }

    /// Returns the number of servers that the call was sent to.
    pub fn sends(&self) -> u32 {
        self.progress.sends
    }

    fn deliver(&mut self, event: SseEvent) -> RelayStep {
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        let interval = self.last_event_at.elapsed();
        self.last_event_at = Instant::now();
        metrics::histogram!("fl_between_events_seconds").record(interval);
        RelayStep::Event(event.bytes)
    }

    /// Returns whether the caller already has an event.
    fn is_duplicate(&self, event: &SseEvent) -> bool {
        matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last)
    }

    async fn finish(&mut self) -> RelayStep {
        self.has_ended = true;
        if let Some(connection) = self.source.connection.take() {
            self.node.keep_connection(connection, &self.call.admission.service).await;
        }
        RelayStep::End
    }

    /// Resumes the stream at another server; returns false if it may not be resumed.
    async fn resume(&mut self, error: String) -> bool {
        let failure = AttemptFailure {
            reason: "the stream broke off",
            error,
            reached_server: true,
            may_have_run: true,
            is_misdirected: false,
        };
        loop {
            let server = self.source.server.clone();
            forwarding::record_failure(&self.node, &self.call, &server, &failure, Duration::ZERO);
            self.source.connection = None;
            self.splitter.clear();
            if !self.progress.excluded_servers.contains(&server) {
                self.progress.excluded_servers.push(server);
            }
            let may_resume = self.call.admission.route.is_retryable()
                && self.last_event_id.is_some()
                && forwarding::try_take_retry(&self.node, &self.call, &self.progress);
            if !may_resume {
                return false;
            }
            match self.reconnect().await {
                Ok(()) => return true,
                Err(Some(server)) => self.source.server = server,
                Err(None) => return false,
            }
        }
    }

    /// Opens the rest of the stream at another server. An error names the server that failed, if
    /// one was tried.
    async fn reconnect(&mut self) -> Result<(), Option<String>> {
        let last_event_id = self.last_event_id;
        let attempt =
            attempt::send_attempt(&self.node, &self.call, &mut self.progress, last_event_id).await;
        let attempt = match attempt {
            Ok(attempt) => attempt,
            Err(AttemptError::Refused(_)) => return Err(None),
            Err(AttemptError::Failed(server, _, _)) => return Err(Some(server)),
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
        self.source = EventSource {
            server,
            body: attempt.response.into_body(),
            connection: Some(attempt.connection),
            in_flight: attempt.in_flight,
        };
        Ok(())
    }
}
