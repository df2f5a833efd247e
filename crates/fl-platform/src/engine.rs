//! Client for the token streams of model engines; `fl_protocol::engine` describes the protocol.

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

const EVENT_SEPARATOR: &[u8] = b"\n\n";
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Error of opening or reading a stream.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EngineError {
    /// the engine does not know this stream; start it again
    UnknownStream,
    /// the engine already runs this stream; resume it
    AlreadyStarted,
    /// the engine rejected the stream with status {0}: {1}; choose another runner
    Refused(u16, String),
    /// the engine sent nothing for {0:?}; resume on a new connection
    TimedOut(Duration),
    /// the connection ended before the end marker; resume on a new connection
    ConnectionLost,
    /// the engine sent an invalid event: {0}; resume on a new connection
    Unreadable(String),
    /// {0}
    Http(HttpError),
}

/// Consecutive tokens that were read at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReceivedTokens {
    /// Offset of the first token in the stream.
    pub first_offset: TokenOffset,
    /// Texts of the tokens, in order.
    pub tokens: Vec<String>,
    /// Whether the end marker followed, so that the stream is complete.
    pub ended: bool,
}

/// Client that opens, resumes and cancels streams.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client on an HTTP client; a stream that is dropped early closes its connection.
    pub fn new(http: HttpClient) -> Self {
        EngineClient { http }
    }

    /// Starts a stream; returns once the engine has accepted it.
    pub async fn open(
        &self,
        address: &str,
        stream_id: &str,
        stream_request: &StreamRequest,
        timeout: Duration,
    ) -> Result<TokenReader, EngineError> {
        let body = serde_json::to_vec(stream_request)
            .map_err(|error| EngineError::Unreadable(error.to_string()))?;
        let uri = format!("http://{address}/v1/streams/{stream_id}");
        let request =
            build_json_request(Method::POST, &uri, Bytes::from(body)).map_err(EngineError::Http)?;
        let response = self.http.send(request, timeout).await.map_err(EngineError::Http)?;
        check_response(response).await
    }

    /// Resumes a stream from the token with offset `from`.
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
        check_response(response).await
    }

    /// Cancels a stream and frees its slot on the engine.
    pub async fn cancel(
        &self,
        address: &str,
        stream_id: &str,
        timeout: Duration,
    ) -> Result<(), EngineError> {
        let uri = format!("http://{address}/v1/streams/{stream_id}");
        let request =
            build_json_request(Method::DELETE, &uri, Bytes::new()).map_err(EngineError::Http)?;
        self.http.fetch_within(request, timeout).await.map_err(EngineError::Http)?;
        Ok(())
    }
}

async fn check_response(response: Response<Incoming>) -> Result<TokenReader, EngineError> {
    match response.status() {
        StatusCode::OK => Ok(TokenReader { body: response.into_body(), buffer: BytesMut::new() }),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownStream),
        StatusCode::CONFLICT => Err(EngineError::AlreadyStarted),
        status => Err(EngineError::Refused(status.as_u16(), String::new())),
    }
}

/// Reads the tokens of a stream from one connection.
pub struct TokenReader {
    body: Incoming,
    buffer: BytesMut,
}

impl TokenReader {
    /// Returns all tokens that have arrived, and waits for at least one or for the end marker.
    ///
    /// `timeout` bounds the time between two frames.
    pub async fn next(&mut self, timeout: Duration) -> Result<ReceivedTokens, EngineError> {
        loop {
            let received = self.take_tokens()?;
            if received.ended || !received.tokens.is_empty() {
                return Ok(received);
            }
            self.read_frame(timeout).await?;
        }
    }

    async fn read_frame(&mut self, timeout: Duration) -> Result<(), EngineError> {
        if self.buffer.len() > MAX_EVENT_BYTES {
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

    /// Removes all complete events from the buffer and returns their tokens.
    ///
    /// Stops before a token whose offset does not follow the previous one.
    fn take_tokens(&mut self) -> Result<ReceivedTokens, EngineError> {
        let mut received = ReceivedTokens::default();
        let mut consumed_bytes = 0;
        while let Some(length) = find_event(&self.buffer[consumed_bytes..]) {
            let event = parse_event(&self.buffer[consumed_bytes..consumed_bytes + length])?;
            match event {
                Event::Token { offset, text } => {
                    let expected = received.first_offset + received.tokens.len() as TokenOffset;
                    if received.tokens.is_empty() {
                        received.first_offset = offset;
                    } else if offset != expected {
                        break;
                    }
                    received.tokens.push(text);
                }
                Event::End => received.ended = true,
                Event::Other => {}
            }
            consumed_bytes += length + EVENT_SEPARATOR.len();
        }
        self.buffer.advance(consumed_bytes);
        Ok(received)
    }
}

enum Event {
    Token { offset: TokenOffset, text: String },
    End,
    Other,
}

fn find_event(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_SEPARATOR.len()).position(|window| window == EVENT_SEPARATOR)
}

fn parse_event(bytes: &[u8]) -> Result<Event, EngineError> {
    let invalid = |what: &str| EngineError::Unreadable(what.to_string());
    let text = std::str::from_utf8(bytes).map_err(|_| invalid("an event that is not UTF-8"))?;
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
                serde_json::from_str(data).map_err(|_| invalid("a token without text"))?;
            Ok(Event::Token { offset, text: token.text })
        }
        _ => Ok(Event::Other),
    }
}
