//! Responses as server-sent events.

use super::response::{ResponseBody, build};
use crate::model_requests::{ReadStep, ResponseReader};
use bytes::Bytes;
use fl_protocol::chat::{END_MARKER, MOVED_EVENT, PROBLEM_EVENT, RESTART_EVENT};
use fl_protocol::{OwnerEpoch, RequestId, TokenOffset, format_request_id};
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::fmt::Write as _;

/// The estimated size of the event of one token, for the initial capacity of the buffer.
const TOKEN_EVENT_BYTES: usize = 160;

/// Streams a response; its headers with the request id are sent before the first token arrives.
pub fn stream_response(reader: ResponseReader, id: RequestId) -> Response<ResponseBody> {
    let state = Some((reader, format_request_id(id)));
    let frames = futures::stream::unfold(state, |state| async move {
        let (mut reader, id_text) = state?;
        let step = reader.next().await;
        let ends = matches!(step, ReadStep::Complete | ReadStep::Failed(_) | ReadStep::Moved);
        let bytes = Bytes::from(format_step(&step, &id_text));
        let frame = Ok::<_, Infallible>(Frame::data(bytes));
        Some((frame, (!ends).then_some((reader, id_text))))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    build(StatusCode::OK, "text/event-stream", Some(id), body)
}

/// Formats an event id: the token's offset, followed by `@` and the epoch if the text was
/// regenerated.
pub fn format_event_id(offset: TokenOffset, text_epoch: OwnerEpoch) -> String {
    if text_epoch == 0 { offset.to_string() } else { format!("{offset}@{text_epoch}") }
}

/// Parses an event id and returns the position after it; `None` if the id is malformed.
pub fn parse_position_after(event_id: &str) -> Option<(TokenOffset, OwnerEpoch)> {
    let (offset, epoch) = event_id.split_once('@').unwrap_or((event_id, "0"));
    Some((offset.parse::<TokenOffset>().ok()? + 1, epoch.parse().ok()?))
}

fn format_step(step: &ReadStep, id_text: &str) -> String {
    match step {
        ReadStep::Tokens { first_offset, text_epoch, tokens } => {
            format_tokens(*first_offset, *text_epoch, tokens, id_text)
        }
        ReadStep::Restart => format!("event: {RESTART_EVENT}\ndata: {{}}\n\n"),
        ReadStep::Idle => ": waiting\n\n".to_string(),
        ReadStep::Complete => format!("data: {END_MARKER}\n\n"),
        ReadStep::Failed(problem_json) => {
            format!("event: {PROBLEM_EVENT}\ndata: {problem_json}\n\n")
        }
        ReadStep::Moved => format!("event: {MOVED_EVENT}\ndata: {{}}\n\n"),
    }
}

fn format_tokens(
    first_offset: TokenOffset,
    text_epoch: OwnerEpoch,
    tokens: &[String],
    id_text: &str,
) -> String {
    let mut out = String::with_capacity(tokens.len() * TOKEN_EVENT_BYTES);
    for (offset, token) in (first_offset..).zip(tokens) {
        let content = serde_json::to_string(token).unwrap_or_default();
        let event_id = format_event_id(offset, text_epoch);
        let _ = write!(
            out,
            "id: {event_id}\ndata: {{\"id\":\"{id_text}\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":{content}}}}}]}}\n\n"
        );
    }
    out
}
