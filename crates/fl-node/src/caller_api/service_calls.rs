//! Calls of plain services, addressed by name.

use super::auth::{self, Caller};
use super::{CallerApi, Refusal, malformed_request, response};
use bytes::Bytes;
use fl_kernel::names;
use fl_kernel::services::Ledger;
use fl_protocol::call::ServiceCall;
use fl_protocol::chat::{FIRST_TRY_HEADER, IDEMPOTENCY_KEY_HEADER, SERVICES_PATH};
use fl_protocol::{Problem, RequestId, derive_request_id};
use http::request::Parts;
use http::{Request, Response, StatusCode, header};
use response::ResponseBody;
use std::sync::Arc;

/// Serves `/v1/services/{name}/{path}`.
pub async fn handle(
    api: &Arc<CallerApi>,
    caller: &Caller,
    head: &Parts,
    body: Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let path_and_query = head.uri.path_and_query().map_or(head.uri.path(), |path| path.as_str());
    let rest = path_and_query.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let name_length = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(name_length);
    let id = resolve_call_id(caller, head, name)?;
    let call = ServiceCall {
        id,
        is_first_try: is_first_try(head)?,
        workspace: caller.workspace.name.clone(),
        service: name.to_string(),
        method: head.method.to_string(),
        path: if path.starts_with('/') { path.to_string() } else { format!("/{path}") },
        body: body.to_vec(),
        content_type: auth::header_text(&head.headers, header::CONTENT_TYPE.as_str())?
            .unwrap_or_else(|| "application/octet-stream".to_string()),
    };
    let ledger = api.registry().find::<dyn Ledger>(names::LEDGER)?;
    let from_ledger = |problem| Refusal { problem, id: Some(id), from_ledger: true };
    let response = ledger.call(call).await.map_err(from_ledger)?;
    let status = StatusCode::from_u16(response.status)
        .map_err(|_| malformed_request("the service answered with an invalid HTTP status"))?;
    Ok(response::build(
        status,
        &response.content_type,
        Some(id),
        response::full_body(response.body),
    ))
}

/// Returns whether an earlier attempt with the same idempotency key may have run.
///
/// Only the ledger knows for certain; this is what the headers alone tell.
pub fn may_have_run<B>(request: &Request<B>) -> bool {
    let headers = request.headers();
    let is_first_attempt = headers.get(FIRST_TRY_HEADER).is_some_and(|value| value == "true");
    let has_key = headers.contains_key(IDEMPOTENCY_KEY_HEADER);
    request.uri().path().starts_with(SERVICES_PATH) && has_key && !is_first_attempt
}

fn is_first_try(head: &Parts) -> Result<bool, Problem> {
    Ok(auth::header_text(&head.headers, FIRST_TRY_HEADER)?.is_some_and(|value| value == "true"))
}

fn resolve_call_id(caller: &Caller, head: &Parts, name: &str) -> Result<RequestId, Problem> {
    let not_allowed =
        || Problem::NotAllowed { kind: "service".to_string(), name: name.to_string() };
    let service = caller.configuration.service(name).ok_or_else(not_allowed)?;
    if !caller.workspace.may_call_service(name) {
        return Err(not_allowed());
    }
    match auth::header_text(&head.headers, IDEMPOTENCY_KEY_HEADER)? {
        Some(key) => Ok(derive_request_id(&caller.workspace.name, &key)),
        None if service.repeatable => Ok(rand::random()),
        None => Err(Problem::KeyRequired(name.to_string())),
    }
}
