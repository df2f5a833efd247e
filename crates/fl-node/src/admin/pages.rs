//! Routes admin requests and renders the pages.

use super::AdminState;
use super::status::{collect_status, not_ready_reasons};
use bytes::Bytes;
use fl_protocol::admin::*;
use fl_protocol::parse_request_id;
use fl_timeline::EventFilter;
use http::{Method, Response, StatusCode, Uri, header};
use http_body_util::Full;
use serde::Serialize;

const TEXT: &str = "text/plain; charset=utf-8";
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON: &str = "application/json";

/// Handles a request for an admin page.
pub(super) fn handle_request(
    method: &Method,
    uri: &Uri,
    state: &AdminState,
) -> Response<Full<Bytes>> {
    if method != Method::GET && method != Method::HEAD {
        let message = "admin pages are read-only; use GET\n";
        return page(StatusCode::METHOD_NOT_ALLOWED, TEXT, message.to_string());
    }
    match uri.path() {
        HEALTH_PATH => page(StatusCode::OK, TEXT, "ok\n".to_string()),
        READY_PATH => ready_page(state),
        METRICS_PATH => page(StatusCode::OK, PROMETHEUS_TEXT, state.metrics.render()),
        STATUS_PATH => json_page(&collect_status(state)),
        TIME_LINE_PATH => time_line_page(uri, state),
        _ => not_found_page(),
    }
}

fn ready_page(state: &AdminState) -> Response<Full<Bytes>> {
    let reasons = not_ready_reasons(state);
    if reasons.is_empty() {
        return page(StatusCode::OK, TEXT, "ready\n".to_string());
    }
    page(StatusCode::SERVICE_UNAVAILABLE, TEXT, reasons.join("\n") + "\n")
}

fn time_line_page(uri: &Uri, state: &AdminState) -> Response<Full<Bytes>> {
    match parse_filter(uri.query().unwrap_or_default()) {
        Ok(filter) => json_page(&state.event_log.page(&filter)),
        Err(message) => page(StatusCode::BAD_REQUEST, TEXT, message + "\n"),
    }
}

fn parse_filter(query: &str) -> Result<EventFilter, String> {
    let mut filter = EventFilter::default();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=').unwrap_or((pair, "")) {
            ("request", id) if parse_request_id(id).is_some() => {
                filter.request_id = Some(id.to_ascii_lowercase());
            }
            ("request", id) => {
                return Err(format!("request={id}: expected 32 hexadecimal digits"));
            }
            ("since_ms", text) => {
                let expected = format!("since_ms={text}: expected milliseconds since 1970");
                filter.since_ms = text.parse().map_err(|_| expected)?;
            }
            (key, _) => return Err(format!("{key}: unknown parameter; use request or since_ms")),
        }
    }
    Ok(filter)
}

fn not_found_page() -> Response<Full<Bytes>> {
    let paths = [HEALTH_PATH, READY_PATH, METRICS_PATH, STATUS_PATH, TIME_LINE_PATH];
    let message = format!("no such page; the pages are {}\n", paths.join(", "));
    page(StatusCode::NOT_FOUND, TEXT, message)
}

fn json_page<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_string(value) {
        Ok(text) => page(StatusCode::OK, JSON, text + "\n"),
        Err(error) => page(StatusCode::INTERNAL_SERVER_ERROR, TEXT, format!("{error}\n")),
    }
}

fn page(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
