//! A retry that admission refuses is not reported as *not run* if an earlier attempt with the same
//! key may have run.

#![allow(clippy::expect_used)]

use bytes::Bytes;
use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::{ExecutionState, ProblemBody};
use fl_testbed::caller::request_builder;
use fl_testbed::{Testbed, TestbedOptions};
use http::{HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::Full;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);
const PATH: &str = "/v1/services/bookings/bookings";
const KEY: &str = "group-7";

#[tokio::test]
async fn refused_retry_reports_unknown() {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    options.data_centers = 2;
    options.nodes = 2;
    let bed = Testbed::start(options).await;
    let booked = bed.call_service(0, Method::POST, "bookings/bookings", Some(KEY), "{}").await;
    assert_eq!(booked.expect("a reply").status, StatusCode::CREATED);
    let invalid_headers =
        [("authorization", "Bearer other"), ("x-class", "royal"), ("x-workspace", "none")];
    for (name, value) in invalid_headers {
        let retry = send_refused_call(&bed, &[("idempotency-key", KEY), (name, value)]).await;
        assert_eq!(retry.what_was_done, ExecutionState::Unknown, "{retry:?}");
        let first_attempt =
            [("idempotency-key", "group-8"), (name, value), ("x-first-try", "true")];
        let refusal = send_refused_call(&bed, &first_attempt).await;
        assert_eq!(refusal.what_was_done, ExecutionState::NotRun, "{refusal:?}");
        let without_key = send_refused_call(&bed, &[(name, value)]).await;
        assert_eq!(without_key.what_was_done, ExecutionState::NotRun, "{without_key:?}");
    }
}

async fn send_refused_call(bed: &Testbed, headers: &[(&'static str, &'static str)]) -> ProblemBody {
    let call = request_builder(Method::POST, bed.nodes[1].caller_address, PATH);
    let mut call = call.body(Full::new(Bytes::from("{}"))).expect("a request");
    for (name, value) in headers {
        let name = HeaderName::from_static(name);
        call.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    let reply =
        HttpClient::new(ConnectionReuse::Never).fetch(call, TIMEOUT).await.expect("a reply");
    serde_json::from_slice(&reply.body).expect("a problem body")
}
