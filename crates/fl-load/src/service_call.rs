//! One call of a plain service, sent again with its key when its answer was cut.

use crate::http_client::{Credentials, HttpClient, OutgoingRequest, SendError};
use crate::workload::ScheduledServiceCall;
use bytes::Bytes;
use fl_protocol::chat::{CLASS_HEADER, IDEMPOTENCY_KEY_HEADER, SERVICES_PATH};
use fl_protocol::{ExecutionState, ProblemBody};
use http::{Method, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Duration;

/// Times a desk sends one call at most, each with the same key.
const TRIES: usize = 4;
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(100);

/// What a caller was told in the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ServiceCallOutcome {
    /// The service's answer.
    Answered(Bytes),
    /// Not run, and the kind of problem.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// No answer at all.
    Nothing,
}

/// Sends the call until something final is told.
pub(crate) async fn call(
    caller: &HttpClient,
    nodes: &[SocketAddr],
    first_node: usize,
    identity: &Credentials<'_>,
    class: &str,
    call: &ScheduledServiceCall,
) -> ServiceCallOutcome {
    let mut told = ServiceCallOutcome::Nothing;
    for attempt in 0..TRIES {
        let node = nodes[(first_node + attempt) % nodes.len()];
        told = match caller.send(node, identity, outgoing(class, call)).await {
            Ok(response) => read_answer(response).await,
            Err(SendError::NotSent | SendError::Cut(_)) => ServiceCallOutcome::Nothing,
        };
        let final_word = match &told {
            ServiceCallOutcome::Nothing => false,
            ServiceCallOutcome::NotRun(kind) => kind != "not-ready",
            ServiceCallOutcome::Unknown(kind) => kind != "still-running",
            ServiceCallOutcome::Answered(_) => true,
        };
        if final_word {
            return told;
        }
        tokio::time::sleep(TRY_PAUSE).await;
    }
    told
}

fn outgoing(class: &str, call: &ScheduledServiceCall) -> OutgoingRequest {
    let mut headers = vec![(CLASS_HEADER, class.to_string())];
    headers.extend(call.key.iter().map(|key| (IDEMPOTENCY_KEY_HEADER, key.clone())));
    let method = if call.method == "GET" { Method::GET } else { Method::POST };
    let path = format!("{SERVICES_PATH}{}{}", call.service, call.path);
    OutgoingRequest { method, path, headers, body: Bytes::new() }
}

async fn read_answer(response: Response<Incoming>) -> ServiceCallOutcome {
    let success = response.status().is_success();
    let Ok(body) = response.into_body().collect().await else { return ServiceCallOutcome::Nothing };
    let body = body.to_bytes();
    if success {
        return ServiceCallOutcome::Answered(body);
    }
    let Ok(problem) = serde_json::from_slice::<ProblemBody>(&body) else {
        return ServiceCallOutcome::Unknown("no-problem-body".to_string());
    };
    let kind = problem.kind.rsplit(':').next().unwrap_or_default().to_string();
    match problem.what_was_done {
        ExecutionState::NotRun => ServiceCallOutcome::NotRun(kind),
        ExecutionState::Unknown | ExecutionState::Partial => ServiceCallOutcome::Unknown(kind),
    }
}
