//! Relays the events of a stream, over several servers if it may be resumed.

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

/// Relays the events of a stream, over several servers if it may be resumed.
pub struct EventRelay {
    pub(super) node: Arc<Node>,
    pub(super) call: Arc<Call>,
    pub(super) progress: Progress,
    pub(super) source: Source,
    pub(super) splitter: SseSplitter,
    pub(super) first: Option<SseEvent>,
    pub(super) last_event_id: Option<u64>,
    pub(super) last_event_at: Instant,
    pub(super) ended: bool,
}

/// Where the events come from.
pub(super) struct Source {
    pub(super) server: String,
    pub(super) body: Incoming,
    pub(super) connection: Option<Connection>,
    /// Counts the call at the server for as long as this lives.
    #[expect(dead_code, reason = "it counts by being held")]
    pub(super) in_flight: InFlightCall,
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

/// Reads the next whole event; none at the stream's proper end.
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
            None if splitter.has_partial() => return Err("it ended inside an event".to_string()),
            None => return Ok(None),
        }
    }
}

impl EventRelay {
    /// Gives the next event, from another server if the one before broke off.
    pub async fn next_step(&mut self) -> RelayStep {
        if let Some(event) = self.first.take() {
            return self.give(event);
        }
        if self.ended {
            return self.end().await;
        }
        loop {
            let reading = next_event(&mut self.source.body, &mut self.splitter);
            match tokio::time::timeout_at(self.call.admission.deadline, reading).await {
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

    fn give(&mut self, event: SseEvent) -> RelayStep {
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        let pause = self.last_event_at.elapsed();
        self.last_event_at = Instant::now();
        metrics::histogram!("fl_between_events_seconds").record(pause);
        RelayStep::Event(event.bytes)
    }

    /// Says whether the caller has an event already.
    fn is_known(&self, event: &SseEvent) -> bool {
        matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last)
    }

    async fn end(&mut self) -> RelayStep {
        self.ended = true;
        if let Some(connection) = self.source.connection.take() {
            self.node.keep_connection(connection, &self.call.admission.service).await;
        }
        RelayStep::End
    }

    /// Goes on at another server, if the stream may.
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
        self.source = Source {
            server,
            body: attempt.response.into_body(),
            connection: Some(attempt.connection),
            in_flight: attempt.in_flight,
        };
        Ok(())
    }
}
