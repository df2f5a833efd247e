//! Model calls: accepted, or matched to an earlier call with the same idempotency key.

use super::auth::{self, Caller};
use super::{CallerApi, Refusal, event_stream, malformed_request, response};
use crate::model_requests::{self, AdmittedCall, ReadStep, ResponseReader};
use bytes::Bytes;
use fl_protocol::chat::{
    ChatMessage, ChatRequest, ChatResponse, IDEMPOTENCY_KEY_HEADER, ResponseChoice, Usage,
    count_tokens,
};
use fl_protocol::{Problem, ProblemBody, RequestId, derive_request_id, format_request_id};
use http::{HeaderMap, Response, StatusCode};
use response::ResponseBody;
use std::sync::Arc;
use std::time::Duration;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a model call, or the response to an earlier call with the same idempotency key.
pub async fn handle(
    api: &Arc<CallerApi>,
    caller: &Caller,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let body_json =
        String::from_utf8(body.to_vec()).map_err(|_| malformed_request("the body is not UTF-8"))?;
    let chat: ChatRequest = serde_json::from_str(&body_json)
        .map_err(|error| malformed_request(&format!("the body is not a chat request: {error}")))?;
    check_model(caller, &chat.model)?;
    let key = auth::header_text(headers, IDEMPOTENCY_KEY_HEADER)?;
    let id = match &key {
        Some(key) => derive_request_id(&caller.workspace.name, key),
        None => rand::random::<RequestId>(),
    };
    let streamed = chat.stream;
    let reader = accept(api, caller, id, key.is_some(), body_json, chat)
        .await
        .map_err(|problem| Refusal::for_request(problem, id))?;
    if streamed {
        Ok(event_stream::stream_response(reader, id))
    } else {
        Ok(collect_response(reader, id).await)
    }
}

async fn accept(
    api: &Arc<CallerApi>,
    caller: &Caller,
    id: RequestId,
    has_key: bool,
    body_json: String,
    chat: ChatRequest,
) -> Result<ResponseReader, Problem> {
    if has_key && let Some(reader) = find_existing(api, id).await {
        if reader.record().fingerprint != model_requests::fingerprint(&body_json) {
            return Err(Problem::KeyReused);
        }
        return Ok(reader);
    }
    let prompt_tokens = count_tokens(&chat.prompt_text());
    let admission = api.services.admission();
    let (name, class) = (&caller.workspace.name, &caller.class);
    let permit = admission.admit(name, class, prompt_tokens, chat.max_tokens).await?;
    let call =
        AdmittedCall { id, workspace: name.clone(), class: class.clone(), body_json, chat, permit };
    let request = api.requests.accept(call).await?;
    Ok(ResponseReader::local(api.requests.clone(), api.services.clone(), request, 0, 0))
}

async fn find_existing(api: &Arc<CallerApi>, id: RequestId) -> Option<ResponseReader> {
    ResponseReader::find(api.requests.clone(), api.services.clone(), id, 0, 0).await
}

fn check_model(caller: &Caller, name: &str) -> Result<(), Problem> {
    let not_allowed =
        |kind: &str| Problem::NotAllowed { kind: kind.to_string(), name: name.to_string() };
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter.to_string())),
        None => (name, None),
    };
    let declared = caller.configuration.model(model).ok_or_else(|| not_allowed("model"))?;
    if adapter.is_some_and(|adapter| declared.adapters.binary_search(&adapter).is_err()) {
        return Err(not_allowed("adapter"));
    }
    if caller.workspace.may_call_model(name) { Ok(()) } else { Err(not_allowed("model")) }
}

/// Waits for the complete response, for callers that do not stream.
pub async fn collect_response(mut reader: ResponseReader, id: RequestId) -> Response<ResponseBody> {
    let mut content = String::new();
    let mut completion_tokens = 0;
    loop {
        match reader.next().await {
            ReadStep::Tokens { tokens, .. } => {
                completion_tokens += tokens.len() as u64;
                content.extend(tokens);
            }
            ReadStep::Restart => {
                content.clear();
                completion_tokens = 0;
            }
            ReadStep::Idle => {}
            ReadStep::Complete => {
                let body_json = &reader.record().body_json;
                return complete_response(body_json, id, content, completion_tokens);
            }
            ReadStep::Failed(problem_json) => return problem_response(&problem_json, id),
            ReadStep::Moved => {
                let reason = "the request continues at another node".to_string();
                let problem = Problem::NotReady { reason, retry_after: RETRY_AFTER };
                return response::from_problem(&problem, Some(id));
            }
        }
    }
}

fn complete_response(
    body_json: &str,
    id: RequestId,
    content: String,
    completion_tokens: u64,
) -> Response<ResponseBody> {
    let prompt = serde_json::from_str::<ChatRequest>(body_json).map(|chat| chat.prompt_text());
    let prompt_tokens = prompt.map_or(0, |text| count_tokens(&text));
    let message = ChatMessage { role: "assistant".to_string(), content };
    let response = ChatResponse {
        id: format_request_id(id),
        choices: vec![ResponseChoice { index: 0, message, finish_reason: "stop".to_string() }],
        usage: Usage { prompt_tokens, completion_tokens },
    };
    let json = model_requests::to_json(&response);
    response::build(StatusCode::OK, "application/json", Some(id), response::full_body(json))
}

fn problem_response(problem_json: &str, id: RequestId) -> Response<ResponseBody> {
    let status = serde_json::from_str::<ProblemBody>(problem_json)
        .ok()
        .and_then(|body| StatusCode::from_u16(body.status).ok())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = response::full_body(problem_json.to_string());
    response::build(status, "application/problem+json", Some(id), body)
}
