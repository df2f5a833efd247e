//! The largest workspace does not starve the others, and admission refuses calls that would miss
//! their deadline.

use bytes::Bytes;
use fl_protocol::chat::CHAT_PATH;
use fl_protocol::{Configuration, Workspace, sha256_hex};
use fl_standins::EngineOptions;
use fl_testbed::caller::{ChatStream, chat_request, open_stream};
use fl_testbed::testbed::default_configuration;
use fl_testbed::{Testbed, TestbedOptions};
use http::{Method, Request};
use http_body_util::Full;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

const LARGE_CALLS: usize = 60;
const SMALL_CALLS: usize = 4;
const RESPONSE_TOKENS: u64 = 25;
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const LONG_DEADLINE_MS: u64 = 60_000;
const SHORT_DEADLINE_MS: u64 = 500;

fn configuration(deadline_ms: u64) -> Configuration {
    let mut configuration = default_configuration();
    let template = configuration.workspaces[0].clone();
    let workspace = |name: &str| {
        let mut workspace = Workspace { name: name.to_string(), ..template.clone() };
        workspace.key_sha256_hex = sha256_hex(name.as_bytes());
        workspace.classes.iter_mut().for_each(|class| class.deadline_ms = deadline_ms);
        workspace
    };
    configuration.workspaces = vec![workspace("large"), workspace("small")];
    configuration
}

/// Starts one node with one runner of four slots, so that calls have to queue.
async fn start_small_testbed(deadline_ms: u64) -> Arc<Testbed> {
    let mut options = TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"));
    options.data_centers = 1;
    options.nodes = 1;
    options.runners = 1;
    options.engine = EngineOptions { slots: 4, between_tokens_ms: 10, ..options.engine };
    options.configuration = Some(configuration(deadline_ms));
    Arc::new(Testbed::start(options).await)
}

/// The status and the `Retry-After` header of a refusal.
type Refusal = (u16, Option<String>);

/// Stands for a call that got no response.
const NO_RESPONSE: Refusal = (0, None);

async fn open_call(bed: &Testbed, workspace: &str, prompt: &str) -> Result<ChatStream, Refusal> {
    let body = serde_json::to_vec(&chat_request(prompt, RESPONSE_TOKENS)).unwrap_or_default();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{CHAT_PATH}", bed.nodes[0].caller_address))
        .header("x-workspace", workspace)
        .header("x-class", "counter")
        .header("authorization", format!("Bearer {workspace}"))
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return Err(NO_RESPONSE) };
    open_stream(request, CALL_TIMEOUT).await.map_err(|reply| {
        let Ok(reply) = reply else { return NO_RESPONSE };
        let retry_after = reply.headers.get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(String::from);
        (reply.status.as_u16(), retry_after)
    })
}

fn spawn_calls(
    bed: &Arc<Testbed>,
    calls: &mut JoinSet<Result<bool, Refusal>>,
    workspace: &'static str,
    count: usize,
    ended_calls: &Arc<AtomicUsize>,
) {
    for number in 0..count {
        let (bed, ended_calls) = (bed.clone(), ended_calls.clone());
        calls.spawn(async move {
            let stream = open_call(&bed, workspace, &format!("{workspace} {number}")).await?;
            let outcome = bed.finish(stream, &[0]).await;
            ended_calls.fetch_add(1, Ordering::SeqCst);
            Ok(outcome.is_complete)
        });
    }
}

#[tokio::test]
async fn small_workspace_not_starved() {
    let bed = start_small_testbed(LONG_DEADLINE_MS).await;
    let (large_ended, small_ended) = (Arc::default(), Arc::default());
    let mut large = JoinSet::new();
    spawn_calls(&bed, &mut large, "large", LARGE_CALLS, &large_ended);
    let first = large.join_next().await.expect("a call").expect("a result");
    assert_eq!(first, Ok(true));

    let mut small = JoinSet::new();
    spawn_calls(&bed, &mut small, "small", SMALL_CALLS, &small_ended);
    let small_results = small.join_all().await;
    let large_before = large_ended.load(Ordering::SeqCst);
    assert_eq!(small_results, vec![Ok(true); SMALL_CALLS]);
    assert!(
        large_before <= LARGE_CALLS / 2,
        "{large_before} calls of the large workspace ended first"
    );

    let large_results = large.join_all().await;
    assert_eq!(large_results, vec![Ok(true); LARGE_CALLS - 1], "an accepted call was dropped");
}

#[tokio::test]
async fn late_calls_refused_at_admission() {
    let bed = start_small_testbed(SHORT_DEADLINE_MS).await;
    let mut calls = JoinSet::new();
    spawn_calls(&bed, &mut calls, "large", LARGE_CALLS, &Arc::default());
    let results = calls.join_all().await;
    let complete = results.iter().filter(|result| **result == Ok(true)).count();
    let refused = results.iter().filter_map(|result| result.as_ref().err());
    let refused: Vec<&Refusal> = refused.collect();
    assert!(complete > 0 && !refused.is_empty(), "{results:?}");
    assert_eq!(complete + refused.len(), LARGE_CALLS, "an accepted call was dropped: {results:?}");
    for (status, retry_after) in refused {
        assert_eq!(*status, 503);
        let seconds = retry_after.as_ref().and_then(|text| text.parse::<u64>().ok());
        assert!(seconds.is_some_and(|seconds| seconds > 0), "{retry_after:?}");
    }
}
