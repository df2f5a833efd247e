//! Each caller gets the complete response to its own request, and never that of another request.

#![allow(clippy::expect_used)]

use fl_standins::{EngineFaults, EngineOptions};
use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{Testbed, TestbedOptions};
use rstest::rstest;
use std::sync::Arc;

const CALLERS: usize = 40;
const TOKENS: u64 = 60;

/// Many concurrent callers share the connections that the nodes keep to the engines, while
/// responses are late, out of order or interrupted.
#[rstest]
#[case::no_faults(EngineFaults::default())]
#[case::reordered(EngineFaults { delay_first_byte_jitter_ms: 400, ..EngineFaults::default() })]
#[case::stalled(EngineFaults { silence_open: true, ..EngineFaults::default() })]
#[tokio::test]
async fn concurrent_responses_separate(#[case] faults: EngineFaults) {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    options.engine = EngineOptions { slots: 64, between_tokens_ms: 5, ..options.engine };
    let bed = Arc::new(Testbed::start(options).await);
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..CALLERS {
        let bed = bed.clone();
        calls.spawn(async move {
            let prompt = format!("guest {index} asks");
            let stream =
                bed.open_chat(index % 6, &chat_request(&prompt, TOKENS), "counter", None).await;
            let stream = stream.expect("the call was refused");
            (prompt, bed.finish(stream, &[0, 1, 2]).await)
        });
    }
    for engine in &bed.engines {
        engine.set_faults(faults.clone());
    }
    while let Some(ended) = calls.join_next().await {
        let (prompt, outcome) = ended.expect("a call");
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.text, expected_answer(&prompt, TOKENS));
    }
}

/// A caller of another workspace cannot read a response, even if it knows the request id.
#[tokio::test]
async fn other_workspace_denied() {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    let mut configuration = options.configuration.clone().expect("a configuration");
    let mut other = configuration.workspaces[0].clone();
    other.name = "other".to_string();
    configuration.workspaces.push(other);
    options.configuration = Some(configuration);
    let bed = Testbed::start(options).await;
    let stream = bed.open_chat(0, &chat_request("a secret", 5), "counter", None).await;
    let outcome = bed.finish(stream.expect("the call was refused"), &[0]).await;
    for node in [0, 1] {
        let path = format!("/v1/requests/{}", outcome.request_id);
        let mut call = fl_testbed::caller::request_builder(
            http::Method::GET,
            bed.nodes[node].caller_address,
            &path,
        )
        .body(http_body_util::Full::new(bytes::Bytes::new()))
        .expect("a request");
        call.headers_mut().insert("x-workspace", http::HeaderValue::from_static("other"));
        let timeout = std::time::Duration::from_secs(30);
        let http = fl_platform::HttpClient::new(fl_platform::ConnectionReuse::Never);
        let reply = http.fetch(call, timeout).await.expect("a reply");
        assert_eq!(reply.status.as_u16(), 404);
    }
}
