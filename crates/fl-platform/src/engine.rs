//! The client of model engines' streams; see `fl_protocol::engine` for the protocol.

use crate::http::{HttpClient, HttpError, build_json_request};
use bytes::{Buf as _, Bytes, BytesMut};
use displaydoc::Display;
use fl_protocol::TokenOffset;
use fl_protocol::chat::END_MARKER;
use fl_protocol::engine::{StreamRequest, StreamToken};
use http::{Method, Response, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::time::Duration;
use thiserror::Error;

const EVENT_END: &[u8] = b"\n\n";
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Why a stream could not be opened or read on.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EngineError {
    /// the engine does not know this stream; start it anew
    UnknownStream,
    /// the engine has this stream already; resume it
    AlreadyStarted,
    /// the engine refused the stream with status {0}: {1}; choose another runner
    Refused(u16, String),
    /// the engine sent nothing for {0:?}; resume on a new connection
    TimedOut(Duration),
    /// the connection ended before the end marker; resume on a new connection
    ConnectionLost,
    /// the engine sent what cannot be read: {0}; resume on a new connection
    Unreadable(String),
    /// {0}
    Http(HttpError),
}

/// Tokens that arrived together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReceivedTokens {
    /// The offset of the first of them.
    pub first_offset: TokenOffset,
    /// Their texts.
    pub tokens: Vec<String>,
    /// Whether the end marker followed.
    pub ended: bool,
}

/// Opens, resumes and cancels streams at engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Makes a client over pooled connections; a stream that breaks off closes its connection.
    pub fn new(http: HttpClient) -> Self {
        EngineClient { http }
    }

    /// Starts a stream; returns once the engine has taken it.
    pub async fn open(
        &self,
        address: &str,
        stream_id: &str,
        order: &StreamRequest,
        timeout: Duration,
    ) -> Result<TokenReader, EngineError> {
        let body = serde_json::to_vec(order)
            .map_err(|error| EngineError::Unreadable(error.to_string()))?;
        let uri = format!("http://{address}/v1/streams/{stream_id}");
        let request =
            build_json_request(Method::POST, &uri, Bytes::from(body)).map_err(EngineError::Http)?;
        let response = self.http.send(request, timeout).await.map_err(EngineError::Http)?;
        read_head(response).await
    }

    /// Resumes a stream from an offset.
    pub async fn resume(
        &self,
        address: &str,
        stream_id: &str,
        from: TokenOffset,
        timeout: Duration,
    ) -> Result<TokenReader, EngineError> {
        let uri = format!("http://{address}/v1/streams/{stream_id}?from={from}");
        let request =
            build_json_request(Method::GET, &uri, Bytes::new()).map_err(EngineError::Http)?;
        let response = self.http.send(request, timeout).await.map_err(EngineError::Http)?;
        read_head(response).await
    }

    /// Cancels a stream, which frees its slot.
    pub async fn cancel(
        &self,
        address: &str,
        stream_id: &str,
        timeout: Duration,
    ) -> Result<(), EngineError> {
        let uri = format!("http://{address}/v1/streams/{stream_id}");
        let request =
            build_json_request(Method::DELETE, &uri, Bytes::new()).map_err(EngineError::Http)?;
        self.http.fetch(request, timeout).await.map_err(EngineError::Http)?;
        Ok(())
    }
}

async fn read_head(response: Response<Incoming>) -> Result<TokenReader, EngineError> {
    match response.status() {
        StatusCode::OK => Ok(TokenReader { body: response.into_body(), buffer: BytesMut::new() }),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownStream),
        StatusCode::CONFLICT => Err(EngineError::AlreadyStarted),
        status => Err(EngineError::Refused(status.as_u16(), String::new())),
    }
}

/// Reads the tokens of one connection of a stream.
pub struct TokenReader {
    body: Incoming,
    buffer: BytesMut,
}

impl TokenReader {
    /// Reads the next tokens, as many as have arrived.
    pub async fn next(&mut self, timeout: Duration) -> Result<ReceivedTokens, EngineError> {
        loop {
            let run = self.parse()?;
            if run.ended || !run.tokens.is_empty() {
                return Ok(run);
            }
            self.fill(timeout).await?;
        }
    }

    async fn fill(&mut self, timeout: Duration) -> Result<(), EngineError> {
        if self.buffer.len() > EVENT_LIMIT_BYTES {
            return Err(EngineError::Unreadable("an event over 1 MiB".to_string()));
        }
        match tokio::time::timeout(timeout, self.body.frame()).await {
            Err(_) => Err(EngineError::TimedOut(timeout)),
            Ok(None) | Ok(Some(Err(_))) => Err(EngineError::ConnectionLost),
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer.extend_from_slice(data);
                }
                Ok(())
            }
        }
    }

    /// Takes all whole events off the buffer; stops before a token that does not follow on.
    fn parse(&mut self) -> Result<ReceivedTokens, EngineError> {
        let mut run = ReceivedTokens::default();
        let mut taken_bytes = 0;
        while let Some(length) = find_event(&self.buffer[taken_bytes..]) {
            let event = read_event(&self.buffer[taken_bytes..taken_bytes + length])?;
            match event {
                Event::Token { offset, text } => {
                    let expected = run.first_offset + run.tokens.len() as TokenOffset;
                    if run.tokens.is_empty() {
                        run.first_offset = offset;
                    } else if offset != expected {
                        break;
                    }
                    run.tokens.push(text);
                }
                Event::End => run.ended = true,
                Event::Other => {}
            }
            taken_bytes += length + EVENT_END.len();
        }
        self.buffer.advance(taken_bytes);
        Ok(run)
    }
}

enum Event {
    Token { offset: TokenOffset, text: String },
    End,
    Other,
}

fn find_event(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_END.len()).position(|window| window == EVENT_END)
}

fn read_event(bytes: &[u8]) -> Result<Event, EngineError> {
    let unreadable = |what: &str| EngineError::Unreadable(what.to_string());
    let text = std::str::from_utf8(bytes).map_err(|_| unreadable("an event that is not UTF-8"))?;
    let mut id = None;
    let mut data = None;
    for line in text.split('\n') {
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.parse::<TokenOffset>().ok();
        } else if let Some(value) = line.strip_prefix("data: ") {
            data = Some(value);
        }
    }
    match (id, data) {
        (_, Some(END_MARKER)) => Ok(Event::End),
        (Some(offset), Some(data)) => {
            let token: StreamToken =
                serde_json::from_str(data).map_err(|_| unreadable("a token without text"))?;
            Ok(Event::Token { offset, text: token.text })
        }
        _ => Ok(Event::Other),
    }
}
