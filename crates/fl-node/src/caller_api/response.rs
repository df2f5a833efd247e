//! Builders for HTTP responses to callers.

use bytes::Bytes;
use fl_protocol::chat::REQUEST_ID_HEADER;
use fl_protocol::{Problem, ProblemBody, RequestId, format_request_id};
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use std::convert::Infallible;

/// The body of any response to a caller, complete or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Returns a body whose content is known completely.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed_unsync()
}

/// Builds a response; `id` is sent in the request id header.
pub fn build(
    status: StatusCode,
    content_type: &str,
    id: Option<RequestId>,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Some(value) = id.and_then(|id| HeaderValue::from_str(&format_request_id(id)).ok()) {
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    response
}

/// Builds the response to a call that is not served.
pub fn from_problem(problem: &Problem, id: Option<RequestId>) -> Response<ResponseBody> {
    from_problem_body(&problem.body(id), id)
}

/// Builds the response for a problem body, with its status and `retry-after` header.
pub fn from_problem_body(body: &ProblemBody, id: Option<RequestId>) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = crate::model_requests::to_json(body);
    let mut response = build(status, "application/problem+json", id, full_body(json));
    if let Some(seconds) = body.retry_after_s {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
