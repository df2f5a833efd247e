//! Accepted model requests, which callers can read again, resume or cancel at any node.

use super::auth::{self, Caller};
use super::{CallerApi, Refusal, event_stream, malformed_request, model_calls, response};
use crate::model_requests::ResponseReader;
use fl_protocol::chat::{ChatRequest, LAST_EVENT_ID_HEADER};
use fl_protocol::{Problem, RequestId, parse_request_id};
use http::request::Parts;
use http::{Method, Response, StatusCode};
use response::ResponseBody;
use std::sync::Arc;

/// Serves `GET` (resume) and `DELETE` (cancel) of one request.
pub async fn handle(
    api: &Arc<CallerApi>,
    caller: &Caller,
    head: &Parts,
    id_text: &str,
) -> Result<Response<ResponseBody>, Refusal> {
    let id = parse_request_id(id_text)
        .ok_or_else(|| malformed_request("a request id has 32 hexadecimal digits"))?;
    let refuse = |problem| Refusal::for_request(problem, id);
    match head.method {
        Method::GET => resume(api, caller, head, id).await.map_err(refuse),
        Method::DELETE => cancel(api, caller, id).await.map_err(refuse),
        _ => Err(refuse(malformed_request("use GET to resume and DELETE to cancel"))),
    }
}

async fn resume(
    api: &Arc<CallerApi>,
    caller: &Caller,
    head: &Parts,
    id: RequestId,
) -> Result<Response<ResponseBody>, Problem> {
    let (position, text_epoch) = match auth::header_text(&head.headers, LAST_EVENT_ID_HEADER)? {
        None => (0, 0),
        Some(text) => event_stream::parse_position_after(&text)
            .ok_or_else(|| malformed_request("last-event-id is not an event id of this API"))?,
    };
    let reader = find_own(api, caller, id, position, text_epoch).await?;
    let chat: Result<ChatRequest, _> = serde_json::from_str(&reader.record().body_json);
    let streamed = chat.is_ok_and(|chat| chat.stream);
    metrics::counter!("fl_requests_resumed_total").increment(1);
    if streamed {
        Ok(event_stream::stream_response(reader, id))
    } else {
        Ok(model_calls::collect_response(reader, id).await)
    }
}

async fn cancel(
    api: &Arc<CallerApi>,
    caller: &Caller,
    id: RequestId,
) -> Result<Response<ResponseBody>, Problem> {
    let mut reader = find_own(api, caller, id, 0, 0).await?;
    if reader.owned().is_none() {
        reader = reader.take_over().await.ok_or_else(|| unknown_request(id))?;
    }
    if let Some(request) = reader.owned() {
        api.requests.cancel(&request);
    }
    Ok(response::build(StatusCode::NO_CONTENT, "text/plain", Some(id), response::full_body("")))
}

/// Finds a request of the caller's own workspace.
///
/// A request of another workspace is reported as unknown, so that its existence is not revealed.
async fn find_own(
    api: &Arc<CallerApi>,
    caller: &Caller,
    id: RequestId,
    position: u64,
    text_epoch: u32,
) -> Result<ResponseReader, Problem> {
    let (requests, services) = (api.requests.clone(), api.services.clone());
    let found = ResponseReader::find(requests, services, id, position, text_epoch).await;
    found
        .filter(|reader| reader.record().workspace == caller.workspace.name)
        .ok_or_else(|| unknown_request(id))
}

fn unknown_request(id: RequestId) -> Problem {
    Problem::UnknownRequest(fl_protocol::format_request_id(id))
}
