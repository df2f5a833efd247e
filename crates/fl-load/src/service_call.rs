//! Sends one call to a plain service and retries it with the same idempotency key.

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

/// Maximum number of attempts of one call; all of them carry the same idempotency key.
const MAX_ATTEMPTS: usize = 4;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What the caller finally knows about its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ServiceOutcome {
    /// The service responded. Holds the body of the response.
    Answered(Bytes),
    /// The call did not run. Holds the kind of problem.
    NotRun(String),
    /// The call may have run. Holds the kind of problem.
    Unknown(String),
    /// No node responded.
    Unanswered,
}

/// Sends the call until its outcome is final or all attempts are used up, and returns the last
/// outcome.
pub(crate) async fn send_service_call(
    client: &HttpClient,
    nodes: &[SocketAddr],
    first_node: usize,
    credentials: &Credentials<'_>,
    class: &str,
    call: &ScheduledServiceCall,
) -> ServiceOutcome {
    let mut outcome = ServiceOutcome::Unanswered;
    for attempt in 0..MAX_ATTEMPTS {
        let node = nodes[(first_node + attempt) % nodes.len()];
        outcome = match client.send(node, credentials, build_request(class, call)).await {
            Ok(response) => read_outcome(response).await,
            Err(SendError::NotSent | SendError::Disconnected(_)) => ServiceOutcome::Unanswered,
        };
        let is_final = match &outcome {
            ServiceOutcome::Unanswered => false,
            ServiceOutcome::NotRun(kind) => kind != "not-ready",
            ServiceOutcome::Unknown(kind) => kind != "still-running",
            ServiceOutcome::Answered(_) => true,
        };
        if is_final {
            return outcome;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    outcome
}

fn build_request(class: &str, call: &ScheduledServiceCall) -> OutgoingRequest {
    let mut headers = vec![(CLASS_HEADER, class.to_string())];
    headers.extend(call.key.iter().map(|key| (IDEMPOTENCY_KEY_HEADER, key.clone())));
    let method = if call.method == "GET" { Method::GET } else { Method::POST };
    let path = format!("{SERVICES_PATH}{}{}", call.service, call.path);
    OutgoingRequest { method, path, headers, body: Bytes::new() }
}

async fn read_outcome(response: Response<Incoming>) -> ServiceOutcome {
    let success = response.status().is_success();
    let Ok(body) = response.into_body().collect().await else { return ServiceOutcome::Unanswered };
    let body = body.to_bytes();
    if success {
        return ServiceOutcome::Answered(body);
    }
    let Ok(problem) = serde_json::from_slice::<ProblemBody>(&body) else {
        return ServiceOutcome::Unknown("no-problem-body".to_string());
    };
    let kind = problem.kind.rsplit(':').next().unwrap_or_default().to_string();
    match problem.what_was_done {
        ExecutionState::NotRun => ServiceOutcome::NotRun(kind),
        ExecutionState::Unknown | ExecutionState::Partial => ServiceOutcome::Unknown(kind),
    }
}
